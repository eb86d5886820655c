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
	seeds  = flag.Int("seeds", 0, "number of seeds of TestSeeds")
	first  = flag.Uint64("first", 1, "first seed of TestSeeds")
	atOnce = flag.Int("at_once", 3, "seeds that are played at the same time")
	keep   = flag.String("logs", "", "directory for the logs of seeds that failed")
	bigVMs = flag.Int("vms", 0, "entry VMs of each deployment; 0 goes by the seed")
)

// ciSeeds are played in every run of the tests: plans with many kinds of faults.
var ciSeeds = []uint64{1, 2, 3}

// onceFailed are seeds that failed before their cause was mended.
var onceFailed = []struct {
	seed  uint64
	cause string
}{}

// TestShortSoak plays fixed seeds and those that once failed.
func TestShortSoak(t *testing.T) {
	list := append([]uint64(nil), ciSeeds...)
	for _, once := range onceFailed {
		list = append(list, once.seed)
	}
	playAll(t, list)
}

// TestSeeds plays as many seeds as its flags say.
func TestSeeds(t *testing.T) {
	var list []uint64
	for i := range *seeds {
		list = append(list, *first+uint64(i))
	}
	playAll(t, list)
}

func playAll(t *testing.T, list []uint64) {
	places := make(chan struct{}, *atOnce)
	var group sync.WaitGroup
	for _, seed := range list {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playSeed(t, seed) })
		})
	}
	group.Wait()
}

// Times of a run.
const (
	recoverPoll = 200 * time.Millisecond
	// recoverView is how far back the share of served requests is looked at.
	recoverView = 2 * time.Second
	// recoverShare is the part of requests that must be served after the faults.
	recoverShare = 0.25
)

func playSeed(t *testing.T, seed uint64) {
	p := newPlan(seed)
	if *bigVMs > 0 {
		p.vms = *bigVMs
	}
	dir := t.TempDir()
	if *keep != "" {
		dir = filepath.Join(*keep, fmt.Sprint("seed-", seed))
		must.NoError(t, os.MkdirAll(dir, 0o700))
	}
	d := deploy(t, p, dir)
	defer d.close()
	d.awaitReady()
	d.began = time.Now()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var callers sync.WaitGroup
	for i := range p.callers {
		callers.Go(func() { d.call(ctx, i) })
	}
	d.play(ctx)
	served, all, took := d.recovered()
	cancel()
	callers.Wait()
	// Runs whose callers left just now get their time to end.
	time.Sleep(leftTerm)
	broken := d.broken()
	t.Logf("seed %d: %d entry VMs, %d requests, served again %d of %d after %s; looked at %+v", seed, p.vms, len(d.history.requests), served, all, took, d.seen)
	if float64(served) < recoverShare*float64(all) || all == 0 {
		broken = append(broken, fmt.Sprintf("%s after the last fault only %d of %d requests are served", took, served, all))
	}
	if len(broken) == 0 {
		if *keep != "" {
			must.NoError(t, os.RemoveAll(dir))
		}
		return
	}
	for _, f := range p.faults {
		t.Log(f)
	}
	for _, promise := range broken[:min(len(broken), 20)] {
		t.Error(promise)
	}
}

// recovered waits until requests are served again as before, or until the term for
// that is over.
func (d *deployment) recovered() (served, all int, took time.Duration) {
	began := time.Now()
	for {
		time.Sleep(recoverPoll)
		took = time.Since(began)
		served, all = d.history.share(time.Now().Add(-min(recoverView, took)))
		if took > recoverView && 2*served > all || took > recoverTerm+recoverView {
			return served, all, took.Round(time.Millisecond)
		}
	}
}
