package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The case: an entry VM that sends orders is turned away by the store, and the links between it and one
// replica lose packets for a part of that time.
const (
	engines      = 5
	entryVMs     = 4
	adapterSlots = 4
	adapters     = 60
	leaseTime    = 3 * time.Second
	thawSlack    = 300 * time.Millisecond
	rounds       = 6
	roundTime    = 15 * time.Second
	// The store turns one entry VM away for awayTime. From lossyAfter on, for lossyTime, lossShare of
	// the packets between it and one of the replicas are lost.
	awayTime   = 9 * time.Second
	lossyAfter = 2500 * time.Millisecond
	lossyTime  = 5 * time.Second
	lossShare  = 0.3
	// lostFrom is when the losses hit orders: the lease ends 4 to 5 s after the store has turned its
	// holder away.
	lostFrom = 4 * time.Second
)

// orders are those that the replicas got.
type orders struct {
	mu   sync.Mutex
	list []arrival
	// heals are the times after which late orders are excused for thawSlack.
	heals []time.Time
}

func (o *orders) add(a arrival) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, a)
}

// last returns the holder that sent the last order, and to which replica.
func (o *orders) last() (arrival, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.list) == 0 {
		return arrival{}, false
	}
	return o.list[len(o.list)-1], true
}

func (o *orders) healed() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.heals = append(o.heals, time.Now())
}

// check counts the orders with which two holders took turns within leaseTime at one replica, and those
// with a lower fence than one before. Orders within thawSlack after a heal don't count.
func (o *orders) check(w *world) (broken int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	slices.SortStableFunc(o.list, func(a, b arrival) int { return a.at.Compare(b.at) })
	before := map[string]arrival{}
	for _, a := range o.list {
		w.noteAt(a.at, "order at %s from %s fence %d: %s, expected %d: %d", a.replica, a.holder, a.fence, a.text, a.expected, a.status)
		if slices.ContainsFunc(o.heals, func(heal time.Time) bool { return !a.at.Before(heal) && a.at.Sub(heal) <= thawSlack }) {
			continue
		}
		b, ok := before[a.replica]
		if ok && a.holder != b.holder && a.at.Sub(b.at) < leaseTime {
			w.noteAt(a.at, "BROKEN: %s orders %s %d ms after %s", a.holder, a.replica, a.at.Sub(b.at).Milliseconds(), b.holder)
			broken++
		}
		if ok && a.fence < b.fence {
			w.noteAt(a.at, "BROKEN: fence %d after %d at %s", a.fence, b.fence, a.replica)
			broken++
		}
		if !ok || a.fence >= b.fence {
			before[a.replica] = a
		} else {
			b.at, b.holder = a.at, a.holder
			before[a.replica] = b
		}
	}
	return broken
}

func playLease(w *world) (broken int, err error) {
	end, err := w.serveStore()
	if err != nil {
		return 0, err
	}
	defer end()
	w.zones = map[string]string{"kano-a": "ng-north", "kaduna-b": "ng-north"}
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	if seed == 0 {
		seed = time.Now().UnixNano()
	}
	w.note("seed %d, trouble %t", seed, w.trouble)
	var got orders
	links := map[string]*link{}
	for i := range engines {
		r := &replica{
			id: fmt.Sprintf("i-%d", i+1), service: "wheel-llm", zone: []string{"kano-a", "kaduna-b"}[i%2], version: "v1", model: "m0",
			adapterSlots: adapterSlots, loadTime: 250 * time.Millisecond, pace: 15 * time.Millisecond, events: 8, onOrder: got.add,
		}
		if err := r.start(w.store); err != nil {
			return 0, err
		}
		l, err := newLink(r.listener.Addr().String())
		if err != nil {
			return 0, err
		}
		l.onLoss = func(delay time.Duration) {
			w.note("a segment to or from %s is lost for %d ms", r.id, delay.Milliseconds())
		}
		r.front = l.listener.Addr().String()
		links[r.id] = l
		go r.beat()
	}
	if err := configure(w); err != nil {
		return 0, err
	}
	prefix, err := freeNet()
	if err != nil {
		return 0, err
	}
	for i := range entryVMs {
		if _, err := w.addVM(prefix, []string{"kano-a", "kaduna-b"}[i%2]); err != nil {
			return 0, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return 0, err
	}
	w.note("all entry VMs are ready")
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	var served, failed atomic.Int64
	for _, v := range w.vms {
		for i := range 8 {
			clients.Go(func() { demand(ctx, v, rand.New(rand.NewSource(seed+int64(100+i))), &served, &failed) })
		}
	}
	time.Sleep(8 * time.Second)
	for round := range rounds {
		disturb(w, &got, links, round)
		time.Sleep(roundTime - awayTime)
	}
	cancel()
	clients.Wait()
	time.Sleep(500 * time.Millisecond)
	broken = got.check(w)
	for id, l := range links {
		sent, lost := l.counts()
		w.note("%s: %d of %d segments lost while the link was lossy", id, lost, sent)
	}
	w.note("clients: %d requests served, %d refused or failed; %d orders", served.Load(), failed.Load(), len(got.list))
	if served.Load() < 100 || len(got.list) < 100 {
		return 0, fmt.Errorf("only %d requests served and %d orders", served.Load(), len(got.list))
	}
	return broken, nil
}

// disturb plays one round.
func disturb(w *world, got *orders, links map[string]*link, round int) {
	last, ok := got.last()
	i := slices.IndexFunc(w.vms, func(v *vm) bool { return v.name == last.holder })
	if !ok || i < 0 || !w.trouble {
		time.Sleep(awayTime)
		return
	}
	holder, l := w.vms[i], links[last.replica]
	w.note("round %d: the store turns %s away", round+1, holder.name)
	holder.store.Refuse(true)
	holder.store.Reset()
	time.Sleep(lossyAfter)
	w.note("the links between %s and %s lose packets", holder.name, last.replica)
	l.lose(holder.name, lossShare, time.Now().Add(lostFrom-lossyAfter))
	time.Sleep(lossyTime)
	l.heal()
	w.note("they lose none any more")
	got.healed()
	time.Sleep(awayTime - lossyAfter - lossyTime)
	holder.store.Refuse(false)
	w.note("the store serves %s again", holder.name)
	got.healed()
}

// configure writes the operator's configuration.
func configure(w *world) error {
	value, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "chat", "host": "kanoride.example", "pathPrefix": "/chat/", "kind": "stream", "service": "wheel-llm", "timeoutMs": 8000,
			"targetLatencyMs": 1000, "gapAimMs": 400, "priority": 1, "maxAttempts": 2, "sticky": true, "resumable": true,
		}},
		"services": []any{map[string]any{"name": "wheel-llm", "healthPath": "/health", "maxConnections": 490, "engine": map[string]any{
			"slots": 64, "kvCapacityTokens": 200056, "stride": 5, "adapterSlots": adapterSlots, "weightsMb": 35300, "loadsPerS": 2.1,
			"models": []any{map[string]any{"name": "m0", "weightsMb": 34300, "loadS": 1.0, "adapters": 3000, "adapterMb": 40}},
		}}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	w.store.Put("keyed.op", "config", value)
	return nil
}

// demand sends requests for changing adapters, one after the other, until ctx is done.
func demand(ctx context.Context, v *vm, draw *rand.Rand, served, failed *atomic.Int64) {
	client := http.Client{Timeout: 9 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	for n := 0; ctx.Err() == nil; n++ {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.ip+":8149/chat/x", bytes.NewReader([]byte("hello")))
		if err != nil {
			return
		}
		req.Host = "kanoride.example"
		req.Header.Set("Request-Id", fmt.Sprintf("%s-%x-%d", v.name, draw.Int63(), n))
		req.Header.Set("Model", fmt.Sprintf("m0/a%d", 1+draw.Intn(adapters)))
		req.Header.Set("Token-Counts", "200,40")
		req.Header.Set("Deadline-Ms", "5000")
		ok := false
		if resp, err := client.Do(req); err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			ok = err == nil && resp.StatusCode == http.StatusOK
			_ = resp.Body.Close()
		}
		if ok {
			served.Add(1)
		} else {
			failed.Add(1)
			time.Sleep(100 * time.Millisecond)
		}
	}
}
