package main

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case: all entry VMs are killed while streams go on. A release begins after they are back: replicas
// of another software version start beside the others, which all go on serving.
const (
	takeupStreams = 16
	// killedTime is the time from the kill to the start of the next processes.
	killedTime    = time.Second
	takeupRetries = 4
	// takeupPause is the time between two tries of a client.
	takeupPause = 2800 * time.Millisecond
	// releaseDelay is the time from the start of the processes to that of the release.
	releaseDelay = 500 * time.Millisecond
	// touchTime is how long processes have to run to count as in touch.
	touchTime = 4 * time.Second
	// probes is the number of new streams that are sent to entry VMs in touch.
	probes = 12
	// leastTakenUp is the number of streams from which on the rule counts.
	leastTakenUp = 12
)

// probe sends new streams and returns how many of them begin.
func (w *world) probe(vms []*vm) (begun int) {
	var clients sync.WaitGroup
	news := make([]*streamed, probes)
	for i := range news {
		s := &streamed{id: fmt.Sprintf("n%02d", i)}
		news[i] = s
		clients.Go(func() { s.attempt(vms[i%len(vms)], s.id+"-0", 3*time.Second) })
	}
	clients.Wait()
	for _, s := range news {
		if s.last > 0 {
			begun++
		}
	}
	return begun
}

func playTakeup(w *world) (broken int, err error) {
	end, err := w.serveStore()
	if err != nil {
		return 0, err
	}
	defer end()
	w.zones = map[string]string{"kano-a": "ng-north", "kaduna-b": "ng-north"}
	var next []*replica
	for i := range 5 {
		version := "v1"
		if i >= 3 {
			version = "v2"
		}
		r := engine(fmt.Sprintf("i-%s-%d", version, i), []string{"kano-a", "kaduna-b"}[i%2], version, versionPace, versionEvents)
		r.onRun = func(r *replica, req *http.Request) {
			w.note("%s (%s) runs %s, Last-Event-Id %q, Resumes %q", r.id, r.version, req.Header.Get("Request-Id"), req.Header.Get("Last-Event-Id"), req.Header.Get("Resumes"))
		}
		if err := r.start(w.store); err != nil {
			return 0, err
		}
		if version == "v1" {
			go r.beat()
		} else {
			next = append(next, r)
		}
	}
	if err := configure(w); err != nil {
		return 0, err
	}
	prefix, err := freeNet()
	if err != nil {
		return 0, err
	}
	for i := range 4 {
		if _, err := w.addVM(prefix, []string{"kano-a", "kaduna-b"}[i%2]); err != nil {
			return 0, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	w.note("all entry VMs are ready; %d streams begin", takeupStreams)
	var clients sync.WaitGroup
	// touchAt is when the entry VMs are in touch again, in Unix ns.
	var touchAt atomic.Int64
	touchAt.Store(math.MaxInt64)
	streams := make([]*streamed, takeupStreams)
	for i := range streams {
		streams[i] = &streamed{id: fmt.Sprintf("s%02d", i), pause: takeupPause, retries: takeupRetries, touchAt: &touchAt}
		clients.Go(func() { streams[i].follow(w, i) })
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.note("all entry VMs are killed")
		for _, v := range w.vms {
			v.signal(syscall.SIGKILL)
		}
		time.Sleep(killedTime)
		for _, v := range w.vms {
			<-v.done
			if err := v.start(w.command); err != nil {
				return 0, err
			}
		}
		w.note("the processes are started again")
	}
	touchAt.Store(time.Now().Add(touchTime).UnixNano())
	time.Sleep(releaseDelay)
	w.note("release: replicas of v2 start")
	for _, r := range next {
		go r.beat()
	}
	time.Sleep(time.Until(time.Unix(0, touchAt.Load()).Add(200 * time.Millisecond)))
	begun := w.probe(w.vms)
	clients.Wait()
	taken, goneOn := countTakenUp(w, streams)
	w.note("%d streams were taken up at machines in touch, %d went on there; %d new ones began of %d", taken, goneOn, begun, probes)
	if taken >= leastTakenUp && 2*goneOn*probes < taken*begun {
		return 1, nil
	}
	return 0, nil
}
