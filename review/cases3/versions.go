package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case: a release replaces the replicas of a service by ones of another software version, and the store
// deletes old records of their list. Meanwhile the entry VMs are stopped and started in turn.
const (
	versionStreams  = 12
	versionEvents   = 60
	versionPace     = 200 * time.Millisecond
	versionDeadline = 15 * time.Second
	drainTime       = 3 * time.Second
	lingerTime      = 700 * time.Millisecond
	// restartDelay is the time from the end of a process to the start of the next one.
	restartDelay = 500 * time.Millisecond
	// deletionDelay is the time from the end of the old replicas to the deletion.
	deletionDelay  = 300 * time.Millisecond
	versionRetries = 3
	retryPause     = 1500 * time.Millisecond
)

// serveStore serves the store, and returns the function that ends it.
func (w *world) serveStore() (end func(), err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: w.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	w.address = listener.Addr().String()
	return func() { _ = server.Close() }, nil
}

// engine returns a replica of a model service that is not started.
func engine(id, zone, version string, pace time.Duration, events int) *replica {
	return &replica{id: id, service: "wheel-llm", zone: zone, version: version, model: "m0", adapterSlots: 8, loadTime: 250 * time.Millisecond, pace: pace, events: events}
}

// roll stops and starts the entry VMs in turn, some at a time and with a gap between these.
func (w *world) roll(atOnce int, gap time.Duration) {
	var all sync.WaitGroup
	for batch := range slices.Chunk(w.vms, atOnce) {
		for _, v := range batch {
			w.note("%s gets SIGTERM", v.name)
			v.signal(syscall.SIGTERM)
			all.Go(func() {
				<-v.done
				w.note("%s has ended", v.name)
				time.Sleep(restartDelay)
				if err := v.start(w.command); err != nil {
					w.note("%s does not start: %v", v.name, err)
				}
			})
		}
		time.Sleep(gap)
	}
	all.Wait()
}

// streamed is a stream as its client got it.
type streamed struct {
	id string
	// first is where it begins; nil for any.
	first *vm
	// pause is the time between two tries, retries how often it is taken up at most.
	pause    time.Duration
	retries  int
	last     int
	versions []string
	tries    []string
	// touchAt is when the entry VMs are in touch, in Unix ns; nil for never. takenUp is true once the
	// stream was taken up at one in touch, goneOn once it went on there.
	touchAt         *atomic.Int64
	takenUp, goneOn bool
}

func playVersions(w *world) (broken int, err error) {
	end, err := w.serveStore()
	if err != nil {
		return 0, err
	}
	defer end()
	w.zones = map[string]string{"kano-a": "ng-north", "kaduna-b": "ng-north"}
	var old, next []*replica
	for i := range 4 {
		version := []string{"v1", "v2"}[i/2]
		r := engine(fmt.Sprintf("i-%s-%d", version, i%2), []string{"kano-a", "kaduna-b"}[i%2], version, versionPace, versionEvents)
		r.onRun = func(r *replica, req *http.Request) {
			w.note("%s (%s) runs %s, Last-Event-Id %q, Resumes %q", r.id, r.version, req.Header.Get("Request-Id"), req.Header.Get("Last-Event-Id"), req.Header.Get("Resumes"))
		}
		if err := r.start(w.store); err != nil {
			return 0, err
		}
		if i < 2 {
			old = append(old, r)
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
	w.note("all entry VMs are ready; %d streams begin", versionStreams)
	var clients sync.WaitGroup
	streams := make([]*streamed, versionStreams)
	for i := range streams {
		streams[i] = &streamed{id: fmt.Sprintf("s%02d", i), pause: retryPause, retries: versionRetries}
		clients.Go(func() { streams[i].follow(w, i) })
	}
	time.Sleep(1500 * time.Millisecond)
	w.note("release: replicas of v2 start")
	for _, r := range next {
		go r.beat()
	}
	time.Sleep(1500 * time.Millisecond)
	w.note("release: replicas of v1 report draining")
	for _, r := range old {
		r.drain()
	}
	var restarts sync.WaitGroup
	if w.trouble {
		restarts.Go(func() { w.roll(1, time.Second) })
	}
	time.Sleep(drainTime + lingerTime)
	w.note("release: replicas of v1 exit, their entries are removed")
	for _, r := range old {
		r.leave()
	}
	time.Sleep(deletionDelay)
	w.note("the store deletes the old records of the operator and the replicas")
	w.store.Forget("keyed.op")
	w.store.Forget("keyed.servers")
	restarts.Wait()
	clients.Wait()
	for _, s := range streams {
		w.note("stream %s: %d events, of %s; %s", s.id, s.last, strings.Join(s.versions, " then "), strings.Join(s.tries, "; "))
		if len(s.versions) > 1 {
			broken++
		}
	}
	w.note("%d streams hold events of two versions; more than 2 break the rule", broken)
	if broken <= 2 {
		broken = 0
	}
	return broken, nil
}

// follow begins the stream, and takes it up where it broke until its deadline.
func (s *streamed) follow(w *world, n int) {
	deadline := time.Now().Add(versionDeadline)
	for try := 0; len(s.tries) <= s.retries && time.Now().Before(deadline) && s.last < versionEvents; try++ {
		if try > 0 {
			time.Sleep(s.pause)
		}
		v := w.vms[(n+try)%len(w.vms)]
		switch {
		case s.first == nil:
		case try == 0:
			v = s.first
		case v == s.first:
			// Retries reach other entry VMs.
			continue
		}
		if try > 0 && !v.ready() {
			continue
		}
		before, inTouch := s.last, s.touchAt != nil && time.Now().UnixNano() > s.touchAt.Load()
		s.tries = append(s.tries, v.name+" "+s.attempt(v, fmt.Sprintf("%s-%d", s.id, try), time.Until(deadline)))
		if inTouch && before > 0 {
			s.takenUp, s.goneOn = true, s.goneOn || s.last > before
		}
	}
}

// attempt makes one attempt and returns how it ended.
func (s *streamed) attempt(v *vm, id string, left time.Duration) string {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.ip+":8149/chat/x", strings.NewReader("hello"))
	if err != nil {
		return err.Error()
	}
	req.Host, req.Close = "kanoride.example", true
	req.Header.Set("Request-Id", id)
	req.Header.Set("Model", "m0")
	req.Header.Set("Token-Counts", "200,300")
	req.Header.Set("Deadline-Ms", fmt.Sprint(left.Milliseconds()))
	if s.last > 0 {
		req.Header.Set("Last-Event-Id", fmt.Sprint(s.last))
		req.Header.Set("Resumes", s.id+"-0")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprint(resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		id, ok := strings.CutPrefix(lines.Text(), "id: ")
		if !ok || !lines.Scan() {
			continue
		}
		var number int
		if _, err := fmt.Sscan(id, &number); err != nil {
			continue
		}
		// Only a whole event counts.
		data, blank := lines.Text(), lines.Scan() && lines.Text() == ""
		if !blank {
			break
		}
		s.last = number
		version := strings.Fields(strings.TrimPrefix(data, "data: "))[0]
		if len(s.versions) == 0 || s.versions[len(s.versions)-1] != version {
			s.versions = append(s.versions, version)
		}
	}
	if lines.Err() != nil {
		return fmt.Sprintf("broken off after event %d", s.last)
	}
	return fmt.Sprintf("ended after event %d", s.last)
}

// drain reports that the replica is draining.
func (r *replica) drain() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.announce()
}

// leave ends the replica and removes its entry.
func (r *replica) leave() {
	close(r.stop)
	r.mu.Lock()
	r.silent = true
	r.mu.Unlock()
	_ = r.server.Close()
	r.store.Put("keyed.servers", r.id, nil)
}
