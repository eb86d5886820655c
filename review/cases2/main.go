// Command cases2 plays the scripts of the second review.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Results of a case, as exit status.
const (
	held = iota
	broken
	unable
)

func main() {
	cases := map[string]func(r *recorder, trouble bool) (int, error){"crowd": crowd, "takeup": takeUp, "options": optionsAnswers}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE RECORD")
		os.Exit(unable)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		started.killAll()
		os.Exit(unable)
	}()
	r, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	result, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.say("the case could not run: %v", err)
		result = unable
	}
	r.close()
	os.Exit(result)
}
