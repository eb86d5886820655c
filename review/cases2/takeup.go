package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"mangostile/internal/fake/grid"
)

// Traffic of the case, like the longest streams of the small sites.
const (
	events          = 58
	eventPace       = 100 * time.Millisecond
	streamsPerVM    = 6
	newStreams      = 24
	eventsBefore    = 8
	settleTime      = 10 * time.Second
	takeUpDelay     = 300 * time.Millisecond
	takeUpTries     = 3
	streamTimeout   = 15 * time.Second
	leastTakenUp    = 12
	leastShareOfNew = 0.5
)

// stream is what a client has of a stream.
type stream struct {
	id, resumes string
	status      int
	stamp       string
	// first and last are the ids of the first and the last event of the answer, 0 for none.
	first, last int
	complete    bool
	reason      string
}

// read sends a request for a stream and reads the answer until it ends or stop is closed.
func read(front, id, resumes string, lastEvent int, begins *sync.WaitGroup, stop <-chan struct{}) (s stream) {
	var once sync.Once
	begun := func() {
		if begins != nil {
			once.Do(begins.Done)
		}
	}
	defer begun()
	s = stream{id: id, resumes: resumes}
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	if stop != nil {
		go func() {
			select {
			case <-stop:
				cancel()
			case <-ctx.Done():
			}
		}()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/chat/x", nil)
	if err != nil {
		s.reason = err.Error()
		return s
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(streamTimeout.Milliseconds()))
	req.Header.Set("Model", "m")
	req.Header.Set("Token-Counts", "600,280")
	if resumes != "" {
		req.Header.Set("Last-Event-Id", fmt.Sprint(lastEvent))
		req.Header.Set("Resumes", resumes)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		s.reason = err.Error()
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	s.status, s.stamp = resp.StatusCode, resp.Header.Get("Server-Stamp")
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		var n int
		if _, err := fmt.Sscanf(lines.Text(), "id: %d", &n); err == nil {
			if s.first == 0 {
				s.first = n
			}
			s.last = n
			if n >= eventsBefore {
				begun()
			}
		} else if resp.StatusCode != http.StatusOK {
			s.reason += lines.Text()
		}
	}
	s.complete = lines.Err() == nil && s.last == events
	return s
}

// takeUp tells whether streams can be taken up at the last entry VM when all others are killed at once.
func takeUp(r *recorder, trouble bool) (int, error) {
	d, err := newDeployment(r)
	if err != nil {
		return unable, err
	}
	defer d.close()
	var mu sync.Mutex
	versions := map[string]string{}
	for i, at := range []struct{ zone, version string }{{"kano-a", "v1"}, {"kaduna-b", "v1"}, {"kano-a", "v2"}, {"lagos-a", "v2"}} {
		replica := &grid.Replica{ID: fmt.Sprintf("i-%d", i), Service: "llm", Zone: at.zone, Version: at.version, Model: "m", AdapterSlots: 8, Events: events, Pace: eventPace}
		versions["stamp-"+replica.ID] = at.version
		if err := d.grid.Start(replica); err != nil {
			return unable, err
		}
	}
	d.grid.OnRun = func(run grid.Run) {
		r.note("replica %s (%s) runs %s from event %q", run.Replica, run.Version, run.ID, run.ResumedFrom)
	}
	if err := d.grid.Configure(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "chat", "host": "h.example", "pathPrefix": "/chat/", "kind": "stream", "service": "llm", "resumable": true, "sticky": true,
			"timeoutMs": 15000, "targetLatencyMs": 800, "gapAimMs": 400, "maxAttempts": 2,
		}},
		"services": []any{map[string]any{"name": "llm", "healthPath": "/health", "maxConnections": 490, "engine": map[string]any{
			"slots": 96, "kvCapacityTokens": 200056, "stride": 5, "weightsMb": 35300, "adapterSlots": 8, "loadsPerS": 2.1,
			"models": []any{map[string]any{"name": "m", "weightsMb": 34300, "adapterMb": 40, "loadS": 1, "adapters": 3000}},
		}}},
		"limits": map[string]any{"maxBodyBytes": 4 << 20, "maxHeaderBytes": 16384, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}); err != nil {
		return unable, err
	}
	for _, vm := range []struct{ name, zone, region string }{
		{"front-kano-a-1", "kano-a", "ng-north"},
		{"front-kano-a-2", "kano-a", "ng-north"},
		{"front-kano-a-3", "kano-a", "ng-north"},
		{"front-kaduna-b-1", "kaduna-b", "ng-north"},
		{"front-kaduna-b-2", "kaduna-b", "ng-north"},
		{"front-lagos-a-1", "lagos-a", "ng-south"},
		{"front-lagos-a-2", "lagos-a", "ng-south"},
	} {
		if _, err := d.add(vm.name, vm.zone, vm.region, "", zonesOfSite); err != nil {
			return unable, err
		}
	}
	for _, vm := range d.vms {
		if err := vm.start(); err != nil {
			return unable, err
		}
	}
	for _, vm := range d.vms {
		if err := vm.awaitReady(); err != nil {
			return unable, err
		}
	}
	time.Sleep(settleTime)
	survivor, others := d.vms[0], d.vms[1:]

	// Each client reads a stream through one of the entry VMs that are killed.
	var reading, begins sync.WaitGroup
	stop := make(chan struct{})
	var taken []stream
	wentOn, mixed := 0, 0
	for i := range streamsPerVM * len(others) {
		vm := others[i%len(others)]
		begins.Add(1)
		reading.Go(func() {
			id := fmt.Sprintf("first-%d", i)
			r.note("client sends %s to %s", id, vm.name)
			first := read(vm.front, id, "", 0, &begins, stop)
			r.note("client has of %s: status %d of %s, events %d to %d, complete %v %s", id, first.status, first.stamp, first.first, first.last, first.complete, first.reason)
			if first.complete || first.last == 0 {
				return
			}
			var next stream
			for try := range takeUpTries {
				time.Sleep(takeUpDelay << try)
				again := fmt.Sprintf("again-%d-%d", i, try)
				r.note("client takes %s up as %s after event %d at %s", id, again, first.last, survivor.name)
				next = read(survivor.front, again, id, first.last, nil, nil)
				r.note("client has of %s: status %d of %s, events %d to %d, complete %v %s", again, next.status, next.stamp, next.first, next.last, next.complete, next.reason)
				if next.first > 0 {
					break
				}
			}
			mu.Lock()
			defer mu.Unlock()
			taken = append(taken, next)
			if next.first > 0 {
				wentOn++
				if versions[next.stamp] != versions[first.stamp] {
					mixed++
				}
			}
		})
	}
	begins.Wait()
	if trouble {
		for _, vm := range others {
			r.note("%s is killed", vm.name)
			vm.kill()
		}
	} else {
		r.note("clients lose their connections")
		close(stop)
	}
	var fresh sync.WaitGroup
	begun := 0
	for i := range newStreams {
		time.Sleep(takeUpDelay / 4)
		fresh.Go(func() {
			id := fmt.Sprintf("new-%d", i)
			r.note("client sends %s to %s", id, survivor.name)
			s := read(survivor.front, id, "", 0, nil, nil)
			r.note("client has of %s: status %d of %s, events %d to %d, complete %v %s", id, s.status, s.stamp, s.first, s.last, s.complete, s.reason)
			mu.Lock()
			defer mu.Unlock()
			if s.first > 0 {
				begun++
			}
		})
	}
	reading.Wait()
	fresh.Wait()
	if survivor.ended() {
		return unable, fmt.Errorf("%s has ended: %s", survivor.name, survivor.lastLog())
	}
	reasons := map[string]int{}
	for _, s := range taken {
		if s.first == 0 {
			reasons[strings.TrimSpace(fmt.Sprint(s.status, " ", s.reason))]++
		}
	}
	for reason, n := range reasons {
		r.say("%d streams that were taken up ended with: %s", n, reason)
	}
	r.say("%d of %d streams that were taken up went on, %d of these at another version; %d of %d new streams began", wentOn, len(taken), mixed, begun, newStreams)
	if len(taken) < leastTakenUp {
		return unable, fmt.Errorf("only %d streams were taken up", len(taken))
	}
	if mixed > 2 || float64(wentOn)/float64(len(taken)) < leastShareOfNew*float64(begun)/newStreams {
		return broken, nil
	}
	return held, nil
}
