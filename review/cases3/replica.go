package main

import (
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

// heartbeatPeriod is the time between two entries of a replica.
const heartbeatPeriod = 1200 * time.Millisecond

// arrival is an order as a replica got it.
type arrival struct {
	at       time.Time
	replica  string
	holder   string
	fence    uint64
	text     string
	expected int64
	status   int
}

// replica is a stand-in of one replica of a model service or, without a model, of a plain service.
type replica struct {
	id, service, zone, version, model string
	adapterSlots                      int
	loadTime, pace                    time.Duration
	events                            int
	// front is the address in its entry, empty for its own.
	front string
	// onOrder and onRun, if not nil, are called for each order and each run.
	onOrder func(arrival)
	onRun   func(r *replica, req *http.Request)

	store     *keylog.Store
	listener  net.Listener
	server    *http.Server
	startedAt int64
	stop      chan struct{}

	mu       sync.Mutex
	silent   bool
	draining bool
	sequence int64
	// adapters holds when each adapter is loaded, runs its runs.
	adapters map[string]time.Time
	runs     map[string]int
}

// start listens and begins to write entries into the store.
func (r *replica) start(store *keylog.Store) error {
	var err error
	if r.listener, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return err
	}
	r.store, r.startedAt, r.stop = store, time.Now().UnixMilli(), make(chan struct{})
	r.adapters, r.runs = map[string]time.Time{}, map[string]int{}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = r.server.Serve(r.listener) }()
	return nil
}

// beat writes entries until the end.
func (r *replica) beat() {
	r.announce()
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-ticker.C:
			r.announce()
		}
	}
}

func (r *replica) announce() {
	r.mu.Lock()
	silent := r.silent
	r.mu.Unlock()
	if silent {
		return
	}
	if entry, err := json.Marshal(r.entry()); err == nil {
		r.store.Put("keyed.servers", r.id, entry)
	}
}

func (r *replica) address() string {
	if r.front != "" {
		return r.front
	}
	return r.listener.Addr().String()
}

func (r *replica) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := map[string]any{
		"service": r.service, "address": r.address(), "zone": r.zone, "version": r.version, "slots": 64, "state": "ready",
		"coldRemainingMs": 0, "sequence": r.sequence, "born": r.startedAt,
	}
	if r.draining {
		entry["state"] = "draining"
	}
	if r.model == "" {
		return entry
	}
	loaded, coming := []string{}, []string{}
	for name, at := range r.adapters {
		if time.Now().Before(at) {
			coming = append(coming, r.model+"/"+name+"@1")
		} else {
			loaded = append(loaded, name+"@1")
		}
	}
	entry["stage"], entry["busy"], entry["coming"] = "colocated", false, coming
	entry["models"] = []any{map[string]any{"name": r.model, "version": 1, "adapters": loaded}}
	return entry
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if id := req.Header.Get("Request-Id"); id != "" {
		w.Header().Set("Request-Id", id)
	}
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.Method + " " + req.URL.Path {
	case "GET /report":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(r.entry())
	case "POST /order":
		r.order(w, req)
	default:
		r.run(w, req)
	}
}

func (r *replica) order(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Adapter   string `json:"adapter"`
		Expected  *int64 `json:"expected"`
		Holder    string `json:"holder"`
		Fence     uint64 `json:"fence"`
	}
	at := time.Now()
	if json.NewDecoder(req.Body).Decode(&o) != nil || o.Holder == "" || o.Model != r.model || o.Adapter == "" || o.Expected == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := r.execute(o.Operation, o.Adapter, *o.Expected)
	if r.onOrder != nil {
		r.onOrder(arrival{at: at, replica: r.id, holder: o.Holder, fence: o.Fence, text: o.Operation + " " + o.Adapter, expected: *o.Expected, status: status})
	}
	w.WriteHeader(status)
}

// execute carries out an order and returns the status of the answer.
func (r *replica) execute(operation, adapter string, expected int64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, held := r.adapters[adapter]
	switch {
	case expected != r.sequence:
		return http.StatusConflict
	case operation == "load" && held:
		return http.StatusOK
	case operation == "load":
		r.sequence++
		r.adapters[adapter] = time.Now().Add(r.loadTime)
		return http.StatusAccepted
	case operation == "unload" && r.runs[adapter] == 0:
		r.sequence++
		delete(r.adapters, adapter)
		return http.StatusOK
	case operation == "unload":
		// Its runs are short: it is dropped at once when they have ended.
		r.sequence++
		go r.unloadLater(adapter)
		return http.StatusAccepted
	default:
		return http.StatusBadRequest
	}
}

func (r *replica) unloadLater(adapter string) {
	for {
		time.Sleep(5 * time.Millisecond)
		r.mu.Lock()
		if r.runs[adapter] == 0 {
			delete(r.adapters, adapter)
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
	}
}

// begin counts a run and reports whether its adapter is loaded.
func (r *replica) begin(adapter string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, held := r.adapters[adapter]
	if adapter != "" && (!held || time.Now().Before(at)) {
		return false
	}
	r.runs[adapter]++
	return true
}

func (r *replica) end(adapter string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[adapter]--
}

func (r *replica) run(w http.ResponseWriter, req *http.Request) {
	model, adapter, _ := strings.Cut(req.Header.Get("Model"), "/")
	if model != r.model || !r.begin(adapter) {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer r.end(adapter)
	if r.onRun != nil {
		r.onRun(r, req)
	}
	w.Header().Set("Server-Stamp", "stamp-"+r.id)
	if r.model == "" {
		time.Sleep(r.pace)
		_, _ = fmt.Fprintf(w, "done %s", req.Header.Get("Request-Id"))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= r.events; i++ {
		select {
		case <-time.After(r.pace):
		case <-req.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", i, r.version, req.Header.Get("Request-Id"), i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}
