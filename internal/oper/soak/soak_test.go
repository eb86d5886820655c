package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	seeds      = flag.Int("seeds", 0, "number of seeds of TestSeeds")
	first      = flag.Uint64("first", 1, "first seed of TestSeeds")
	atOnce     = flag.Int("at_once", 3, "number of seeds run at the same time")
	logDir     = flag.String("logs", "", "directory for the logs of seeds that failed")
	vmOverride = flag.Int("vms", 0, "number of entry VMs of each deployment; 0 uses the number drawn from the seed")
)

// fixedSeeds run with every go test; their plans contain many kinds of faults.
var fixedSeeds = []uint64{1, 2, 3}

// regressionSeeds are seeds that failed before their cause was fixed.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{7115, "streams that callers took up went on at another software version"},
	{16, "crashes of backend servers behind a proxy were no evidence, so requests with a harmful part went on"},
}

// TestShortSoak runs the fixed seeds and those that failed in the past. It guards against
// wrong, lost or repeated executions and crashes when faults overlap.
func TestShortSoak(t *testing.T) {
	list := append([]uint64(nil), fixedSeeds...)
	for _, regression := range regressionSeeds {
		list = append(list, regression.seed)
	}
	runSeeds(t, list)
}

// TestSeeds runs the seeds that its flags select.
func TestSeeds(t *testing.T) {
	var list []uint64
	for i := range *seeds {
		list = append(list, *first+uint64(i))
	}
	runSeeds(t, list)
}

func runSeeds(t *testing.T, list []uint64) {
	slots := make(chan struct{}, *atOnce)
	var group sync.WaitGroup
	for _, seed := range list {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, seed) })
		})
	}
	group.Wait()
}

// Limits on the recovery after the last fault.
const (
	recoveryPollPeriod = 200 * time.Millisecond
	// recoveryWindow is the window in which the share of served requests is measured.
	recoveryWindow = 2 * time.Second
	// minServedShare is the minimum share of requests served after the faults.
	minServedShare = 0.25
)

func runSeed(t *testing.T, seed uint64) {
	p := newPlan(seed)
	if *vmOverride > 0 {
		p.vms = *vmOverride
	}
	dir := t.TempDir()
	if *logDir != "" {
		dir = filepath.Join(*logDir, fmt.Sprint("seed-", seed))
		must.NoError(t, os.MkdirAll(dir, 0o700))
	}
	d := deploy(t, p, dir)
	defer d.close()
	d.awaitReady()
	d.startedAt = time.Now()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var callers sync.WaitGroup
	for i := range p.callers {
		callers.Go(func() { d.call(ctx, i) })
	}
	d.injectFaults(ctx)
	faultsEnded := time.Now()
	served, all, took := d.awaitRecovery()
	d.awaitDeadlyRecovery(faultsEnded)
	cancel()
	callers.Wait()
	// Give executions whose callers have just disconnected time to end.
	time.Sleep(disconnectTimeout)
	violations := d.deadlyViolations()
	d.recordDeadlyCrashes()
	violations = append(violations, d.violations()...)
	t.Logf("seed %d: %d entry VMs, %d requests, served again %d of %d after %s; looked at %+v", seed, p.vms, len(d.history.requests), served, all, took, d.coverage)
	if float64(served) < minServedShare*float64(all) || all == 0 {
		violations = append(violations, fmt.Sprintf("%s after the last fault only %d of %d requests are served", took, served, all))
	}
	if len(violations) == 0 {
		if *logDir != "" {
			must.NoError(t, os.RemoveAll(dir))
		}
		return
	}
	for _, f := range p.faults {
		t.Log(f)
	}
	if p.deadly != nil {
		t.Log(p.deadly)
	}
	for _, violation := range violations[:min(len(violations), 20)] {
		t.Error(violation)
	}
}

// awaitRecovery waits until more than half of the requests in recoveryWindow are served,
// or until recoveryTimeout expires.
func (d *deployment) awaitRecovery() (served, all int, took time.Duration) {
	start := time.Now()
	for {
		time.Sleep(recoveryPollPeriod)
		took = time.Since(start)
		served, all = d.history.servedSince(time.Now().Add(-min(recoveryWindow, took)))
		if took > recoveryWindow && 2*served > all || took > recoveryTimeout+recoveryWindow {
			return served, all, took.Round(time.Millisecond)
		}
	}
}
