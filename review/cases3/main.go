// Command review3 plays a case of the third review: it starts the programs of the deploy file and
// stand-ins around them, and checks one rule. Run it in the repository's root.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"mangostile/internal/fake/keylog"
	"mangostile/internal/fake/relay"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// world is one run of a case.
type world struct {
	trouble bool
	begun   time.Time
	dir     string
	store   *keylog.Store
	address string
	command []string
	vms     []*vm
	zones   map[string]string

	mu     sync.Mutex
	record *os.File
}

// note writes a line of the record.
func (w *world) note(format string, values ...any) { w.noteAt(time.Now(), format, values...) }

func (w *world) noteAt(at time.Time, format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{at.Sub(w.begun).Seconds()}, values...)...)
}

// addVM prepares an entry VM, and starts it.
func (w *world) addVM(prefix, zone string) (*vm, error) {
	n := len(w.vms) + 1
	path, err := relay.New(w.address, 0)
	if err != nil {
		return nil, err
	}
	v := &vm{name: fmt.Sprintf("front-%s-%d", zone, n), ip: fmt.Sprintf("%s.%d", prefix, n), zone: zone, region: w.zones[zone], dir: w.dir, store: path}
	if err := v.write(w.zones); err != nil {
		return nil, err
	}
	w.vms = append(w.vms, v)
	return v, v.start(w.command)
}

// awaitReady waits until all entry VMs are ready.
func (w *world) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, v := range w.vms {
			if v.ready() {
				n++
			}
		}
		if n == len(w.vms) {
			return nil
		}
	}
	return fmt.Errorf("the entry VMs are not ready after 20 s")
}

// close ends all processes.
func (w *world) close() {
	for _, v := range w.vms {
		v.kill()
		v.store.Close()
	}
}

// closeAtSignal ends all processes if this one is to end before the case is over.
func (w *world) closeAtSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	<-signals
	w.close()
	os.Exit(exitNotRun)
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE FOLDER")
		return exitNotRun
	}
	play := map[string]func(*world) (broken int, err error){"lease": playLease, "versions": playVersions, "takeup": playTakeup, "split": playSplit}[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	w := &world{trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), dir: dir, record: record, store: &keylog.Store{}, zones: map[string]string{}}
	defer w.close()
	// A reader that closes the output must not leave the processes behind.
	signal.Ignore(syscall.SIGPIPE)
	go w.closeAtSignal()
	if w.command, err = deployedCommand("deploy/system.toml"); err == nil {
		var broken int
		if broken, err = play(w); err == nil {
			w.note("broken %d times", broken)
			fmt.Printf("%s: broken %d times\n", os.Args[1], broken)
			if broken > 0 {
				return exitBroken
			}
			return exitHeld
		}
	}
	w.note("not run: %v", err)
	fmt.Fprintln(os.Stderr, "not run:", err)
	return exitNotRun
}
