package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"mangostile/internal/fake/keylog"
)

// heartbeat is the time between two writes of a replica's entry to the store.
const heartbeat = 1200 * time.Millisecond

// replica is a stand-in of one replica of a model service. Its process can be started again under
// its id and address; it then holds nothing.
type replica struct {
	id, service, zone string
	// modelLoad and adapterLoad are the times of loads; events and pace those of streams.
	modelLoad, adapterLoad time.Duration
	adapterSlots           int
	// slots limits the requests that run at a time; 0 is no limit.
	slots  int
	events int
	pace   time.Duration

	record *recorder
	store  *keylog.Store
	// holders has the holder of the last order by zone.
	holders *sync.Map
	server  *http.Server
	quit    chan struct{}

	mu sync.Mutex
	// address stays the same over restarts.
	address string
	// software is the version of the software of the running process.
	software string
	born     int64
	sequence int64
	running  int
	// unlisted is true once the entry was dropped.
	unlisted bool
	// models and adapters hold the time at which each load ends, adapters by MODEL/NAME.
	models, adapters map[string]time.Time
	executions       []execution
}

// execution is one run of a request.
type execution struct {
	id, software string
	after        int
}

// start starts the process. It holds the models of held.
func (r *replica) start(software string, held ...string) error {
	listener, err := net.Listen("tcp4", cmp.Or(r.address, "127.0.0.1:0"))
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.address, r.software, r.born, r.sequence = listener.Addr().String(), software, time.Now().UnixMilli(), 0
	r.models, r.adapters = map[string]time.Time{}, map[string]time.Time{}
	for _, m := range held {
		r.models[m] = time.Now()
	}
	r.server, r.quit = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Second}, make(chan struct{})
	server, quit := r.server, r.quit
	r.mu.Unlock()
	r.record.write("replica_started", "id", r.id, "software", software)
	go func() { _ = server.Serve(listener) }()
	go r.announce(quit)
	return nil
}

// stop ends the process at once.
func (r *replica) stop() {
	r.mu.Lock()
	server, quit := r.server, r.quit
	r.server = nil
	r.mu.Unlock()
	if server == nil {
		return
	}
	close(quit)
	_ = server.Close()
	r.record.write("replica_stopped", "id", r.id)
}

func (r *replica) announce(quit chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		r.put()
		select {
		case <-ticker.C:
		case <-quit:
			return
		}
	}
}

// state is the entry in the store, and the report.
func (r *replica) state() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	models, coming, busy := []any{}, []string{}, false
	for model, readyAt := range r.models {
		if now.Before(readyAt) {
			busy = true
			continue
		}
		adapters := []string{}
		for name, readyAt := range r.adapters {
			if adapter, ok := strings.CutPrefix(name, model+"/"); ok && now.Before(readyAt) {
				coming = append(coming, name+"@1")
			} else if ok {
				adapters = append(adapters, adapter+"@1")
			}
		}
		models = append(models, map[string]any{"name": model, "version": 1, "adapters": adapters})
	}
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.software, "slots": 96, "state": "ready", "coldRemainingMs": 0, "stage": "colocated",
		"models": models, "coming": coming, "busy": busy, "sequence": r.sequence, "born": r.born, "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 200056, "handles": 0,
	}
}

// unlist drops the entry. The process serves on.
func (r *replica) unlist() {
	r.mu.Lock()
	r.unlisted = true
	r.mu.Unlock()
	r.store.Put("keyed.servers", r.id, nil)
	r.record.write("replica_unlisted", "id", r.id)
}

// put writes the entry to the store.
func (r *replica) put() {
	r.mu.Lock()
	unlisted := r.unlisted
	r.mu.Unlock()
	if value, err := json.Marshal(r.state()); err == nil && !unlisted && !r.store.Down.Load() {
		r.store.Put("keyed.servers", r.id, value)
	}
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	if id := req.Header.Get("Request-Id"); id != "" {
		w.Header().Set("Request-Id", id)
	}
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Instance-Id", r.id)
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	switch req.Method + " " + req.URL.Path {
	case "GET /report":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(r.state())
	case "POST /order":
		r.order(w, req)
	default:
		r.run(w, req)
	}
}

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

// order is the body of an order.
type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expected  *int64 `json:"expected"`
	Holder    string `json:"holder"`
	Fence     uint64 `json:"fence"`
}

func (r *replica) order(w http.ResponseWriter, req *http.Request) {
	var o order
	status := http.StatusBadRequest
	if json.NewDecoder(req.Body).Decode(&o) == nil && o.Holder != "" && o.Fence > 0 && o.Model != "" {
		status = r.execute(&o)
	}
	r.record.write("order", "replica", r.id, "operation", o.Operation, "model", o.Model, "adapter", o.Adapter, "holder", o.Holder, "fence", o.Fence, "status", status)
	if status == http.StatusOK || status == http.StatusAccepted {
		r.holders.Store(r.zone, o.Holder)
	}
	w.WriteHeader(status)
}

func (r *replica) execute(o *order) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, readyAt := range r.models {
		if now.Before(readyAt) {
			return http.StatusConflict
		}
	}
	if o.Expected != nil && *o.Expected != r.sequence {
		return http.StatusConflict
	}
	held, name, load := r.models, o.Model, r.modelLoad
	if o.Adapter != "" {
		held, name, load = r.adapters, o.Model+"/"+o.Adapter, r.adapterLoad
		if _, ok := r.models[o.Model]; !ok {
			return http.StatusBadRequest
		}
	}
	_, has := held[name]
	switch {
	case o.Operation == "unload" && has:
		delete(held, name)
	case o.Operation == "load" && !has:
		held[name] = now.Add(load)
		r.sequence++
		return http.StatusAccepted
	case o.Operation == "load":
		return http.StatusOK
	}
	r.sequence++
	return http.StatusOK
}

// holds reports whether the model or adapter is loaded.
func (r *replica) holds(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.models
	if strings.Contains(name, "/") {
		held = r.adapters
	}
	readyAt, ok := held[name]
	return ok && !time.Now().Before(readyAt)
}

// run runs a request: it answers with the events after Last-Event-Id.
func (r *replica) run(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	if !r.holds(req.Header.Get("Model")) {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	// Without the header, after is 0.
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	r.mu.Lock()
	software := r.software
	if r.slots > 0 && r.running >= r.slots {
		r.mu.Unlock()
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	r.running++
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	r.executions = append(r.executions, execution{id: id, software: software, after: after})
	r.mu.Unlock()
	r.record.write("run", "id", id, "replica", r.id, "software", software, "after_event", after)
	w.Header().Set("Server-Stamp", r.id+"."+software)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	for i := after + 1; i <= r.events; i++ {
		select {
		case <-time.After(r.pace):
		case <-req.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", i, id, software); err != nil {
			return
		}
		flusher.Flush()
	}
}
