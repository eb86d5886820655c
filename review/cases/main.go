// Command cases runs one of the scripted cases of the review: it starts entry VMs as separate
// processes, with stand-ins of the platform, of backend servers and of callers in its own process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// result is the outcome of a case.
type result struct {
	// broken is true if the rule was broken.
	broken  bool
	summary string
}

// cases maps the name of a case to its function.
var cases = map[string]func(r *recorder, trouble bool) (result, error){
	"region-killed":      runRegionKilled,
	"upgrade-in-outage":  runUpgradeInOutage,
	"rollback-in-freeze": runRollbackInFreeze,
	"power-loss":         runPowerLoss,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME DIRECTORY")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, dir string) int {
	r, err := newRecorder(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		started.kill()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.write("case", "name", name, "trouble", trouble)
	got, err := cases[name](r, trouble)
	if err != nil {
		r.write("not_run", "error", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	r.write("result", "broken", got.broken, "summary", got.summary)
	fmt.Println(got.summary)
	if got.broken {
		return exitBroken
	}
	return exitHeld
}
