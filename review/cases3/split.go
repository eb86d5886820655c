package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case: a route is split between two services, whose replicas run different software versions. The
// operator moves most of the weight from one to the other; both stay in the split. Then one entry VM is
// killed, and clients take their streams up at the others.
const (
	splitStreams = 20
	splitRetries = 2
	splitPause   = 1500 * time.Millisecond
	// splitWarmUp is how long the entry VMs have run when the streams begin: they know each other.
	splitWarmUp = 12 * time.Second
)

// configureSplit writes a configuration whose route is split between two services.
func configureSplit(w *world, version, weightA, weightB int) error {
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 490, "engine": map[string]any{
			"slots": 64, "kvCapacityTokens": 200056, "stride": 5, "adapterSlots": adapterSlots, "weightsMb": 35300, "loadsPerS": 2.1,
			"models": []any{map[string]any{"name": "m0", "weightsMb": 34300, "loadS": 1.0, "adapters": 3000, "adapterMb": 40}},
		}}
	}
	value, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "chat", "host": "kanoride.example", "pathPrefix": "/chat/", "kind": "stream", "timeoutMs": 15000,
			"targetLatencyMs": 1000, "gapAimMs": 400, "priority": 1, "maxAttempts": 2, "sticky": true, "resumable": true,
			"split": []any{map[string]any{"service": "wheel-llm", "weight": weightA}, map[string]any{"service": "wheel-llm-next", "weight": weightB}},
		}},
		"services": []any{service("wheel-llm"), service("wheel-llm-next")},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	w.store.Put("keyed.op", "config", value)
	return nil
}

func playSplit(w *world) (broken int, err error) {
	end, err := w.serveStore()
	if err != nil {
		return 0, err
	}
	defer end()
	w.zones = map[string]string{"kano-a": "ng-north", "kaduna-b": "ng-north"}
	for i := range 6 {
		r := engine(fmt.Sprintf("i-a%d", i), []string{"kano-a", "kaduna-b"}[i%2], "v1", versionPace, versionEvents)
		if i >= 3 {
			r.id, r.service, r.version = fmt.Sprintf("i-b%d", i), "wheel-llm-next", "v2"
		}
		r.onRun = func(r *replica, req *http.Request) {
			w.note("%s (%s, %s) runs %s, Last-Event-Id %q, Resumes %q", r.id, r.service, r.version, req.Header.Get("Request-Id"), req.Header.Get("Last-Event-Id"), req.Header.Get("Resumes"))
		}
		if err := r.start(w.store); err != nil {
			return 0, err
		}
		go r.beat()
	}
	if err := configureSplit(w, 1, 90, 10); err != nil {
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
	time.Sleep(splitWarmUp)
	w.note("all entry VMs are in touch; %d streams begin at %s", splitStreams, w.vms[0].name)
	var clients sync.WaitGroup
	var touchAt atomic.Int64
	streams := make([]*streamed, splitStreams)
	for i := range streams {
		streams[i] = &streamed{id: fmt.Sprintf("s%02d", i), pause: splitPause, retries: splitRetries, touchAt: &touchAt, first: w.vms[0]}
		// The others are in touch all the time.
		clients.Go(func() { streams[i].follow(w, i) })
	}
	time.Sleep(time.Second)
	if err := configureSplit(w, 2, 10, 90); err != nil {
		return 0, err
	}
	w.note("the operator moves the weight: wheel-llm 90 to 10, wheel-llm-next 10 to 90")
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.note("%s is killed", w.vms[0].name)
		w.vms[0].kill()
		time.Sleep(killedTime)
		if err := w.vms[0].start(w.command); err != nil {
			return 0, err
		}
		w.note("its process is started again")
	}
	time.Sleep(1500 * time.Millisecond)
	begun := w.probe(w.vms[1:])
	clients.Wait()
	taken, goneOn := countTakenUp(w, streams)
	w.note("%d streams were taken up at machines in touch, %d went on there; %d new ones began of %d", taken, goneOn, begun, probes)
	if taken >= leastTakenUp && 2*goneOn*probes < taken*begun {
		return 1, nil
	}
	return 0, nil
}

// countTakenUp returns how many streams were taken up at machines in touch, and how many went on there.
func countTakenUp(w *world, streams []*streamed) (taken, goneOn int) {
	for _, s := range streams {
		w.note("stream %s: %d events, of %s; %s", s.id, s.last, strings.Join(s.versions, " then "), strings.Join(s.tries, "; "))
		if s.takenUp {
			taken++
		}
		if s.goneOn {
			goneOn++
		}
	}
	return taken, goneOn
}
