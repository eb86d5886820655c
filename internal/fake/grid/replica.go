// Package grid is a stand-in of the users' platform with its replicas, operator and
// store. It counts what must never happen.
package grid

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Replica is a stand-in of one replica. Fields are set before Start.
type Replica struct {
	ID      string
	Service string
	Zone    string
	// Model is empty for a plain service.
	Model string
	// OnListen is given the address at which it listens and returns the one that its
	// entry names; nil keeps the address.
	OnListen func(address string) string
	// Slots bounds the requests that run at a time; 0 is no bound.
	Slots int
	// AdapterSlots bounds the adapters that it holds.
	AdapterSlots int
	// Load is the time of an adapter's load.
	Load time.Duration
	// Events and Pace shape a stream.
	Events int
	Pace   time.Duration
	// BreakAfter breaks the next stream after so many events, 0 never does.
	BreakAfter atomic.Int64
	// Mute makes requests run and answers stay out.
	Mute atomic.Bool
	// Fail makes requests run and answer 500.
	Fail atomic.Bool

	// Crawl is a time added to each event and answer, in nanoseconds.
	Crawl atomic.Int64
	// LoseOrders carries orders out and closes the connection without an answer.
	LoseOrders atomic.Bool
	// LateOrders is the time after which orders are carried out, in nanoseconds;
	// above 0 they get no answer.
	LateOrders atomic.Int64

	grid     *Grid
	listener net.Listener
	server   *http.Server
	born     int64
	// advertised is the address that its entry names.
	advertised string
	crashed    atomic.Bool

	mu       sync.Mutex
	orders   int64
	fence    uint64
	holder   string
	holderAt time.Time
	held     map[string]time.Time
	running  int
	state    string
}

// Address returns where r listens.
func (r *Replica) Address() string { return r.listener.Addr().String() }

func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	if want := req.Header.Get("Expect-Instance"); want != "" && want != r.ID {
		w.Header().Set("Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case req.Method == http.MethodGet && req.URL.Path == "/report":
		answerJSON(w, http.StatusOK, r.entry())
	case req.Method == http.MethodPost && req.URL.Path == "/order":
		r.takeOrder(w, req)
	default:
		r.run(w, req)
	}
}

// entry is what r says of itself.
func (r *Replica) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := map[string]any{
		"service": r.Service, "address": r.advertised, "zone": r.Zone, "slots": 8, "state": r.state, "sequence": r.orders, "born": r.born,
	}
	if r.Model != "" {
		adapters, coming := []string{}, []string{}
		for name, readyAt := range r.held {
			if time.Now().Before(readyAt) {
				coming = append(coming, r.Model+"/"+name+"@1")
			} else {
				adapters = append(adapters, name+"@1")
			}
		}
		entry["models"] = []any{map[string]any{"name": r.Model, "adapters": adapters}}
		entry["coming"] = coming
	}
	return entry
}

type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expected  int64  `json:"expected"`
	Holder    string `json:"holder"`
	Fence     uint64 `json:"fence"`
}

func (r *Replica) takeOrder(w http.ResponseWriter, req *http.Request) {
	var o order
	if json.NewDecoder(req.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 || o.Adapter == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.judge(o)
	if late := r.LateOrders.Load(); late > 0 {
		time.AfterFunc(time.Duration(late), func() { r.carryOut(o) })
		panic(http.ErrAbortHandler)
	}
	status := r.carryOut(o)
	if r.LoseOrders.Load() {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

func (r *Replica) carryOut(o order) (status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Expected != r.orders {
		return http.StatusConflict
	}
	if o.Operation == "unload" {
		delete(r.held, o.Adapter)
		r.orders++
		return http.StatusOK
	}
	if _, ok := r.held[o.Adapter]; ok {
		return http.StatusOK
	}
	r.orders++
	r.held[o.Adapter] = time.Now().Add(r.Load)
	if len(r.held) > r.AdapterSlots {
		r.grid.count("more adapters than places")
	}
	return http.StatusAccepted
}

// judge counts orders of two holders that are too close.
func (r *Replica) judge(o order) {
	now := time.Now()
	if r.grid.excused(now) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder != "" && r.holder != o.Holder && now.Before(r.holderAt.Add(r.grid.Turn)) {
		r.grid.count("two holders in turn")
	}
	if o.Fence < r.fence {
		r.grid.count("lower fence after a higher one")
	}
	r.holder, r.holderAt, r.fence = o.Holder, now, max(r.fence, o.Fence)
}

func (r *Replica) holds(model string) bool {
	name, adapter, _ := strings.Cut(model, "/")
	if name != r.Model {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	readyAt, ok := r.held[adapter]
	return adapter == "" || ok && !time.Now().Before(readyAt)
}

// run runs a request.
func (r *Replica) run(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	for _, forged := range []string{"Hold", "Pin-Ms", "Kv-From", "Kv-Backup"} {
		if req.Header.Get(forged) != "" {
			r.grid.count("forged header passed on")
		}
	}
	if model := req.Header.Get("Model"); model != "" && !r.holds(model) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !r.begin() {
		w.Header().Set("Not-Executed", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	done := make(chan struct{})
	defer close(done)
	defer r.end()
	r.grid.ran(Run{
		ID: id, Replica: r.ID, Service: r.Service, Resumed: req.Header.Get("Last-Event-Id"), At: time.Now(), Done: done,
	}, req.Method+req.RequestURI)
	w.Header().Set("Server-Stamp", "stamp-"+r.ID)
	crawl := time.Duration(r.Crawl.Load())
	switch {
	case r.Mute.Load():
		<-req.Context().Done()
	case r.Fail.Load():
		w.WriteHeader(http.StatusInternalServerError)
	case r.Model != "":
		r.stream(w, req)
	default:
		select {
		case <-time.After(r.Pace + crawl):
			_, _ = fmt.Fprintf(w, "done %s", id)
		case <-req.Context().Done():
		}
	}
}

// begin takes a place for a run, if there is one.
func (r *Replica) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Slots > 0 && r.running >= r.Slots {
		return false
	}
	r.running++
	return true
}

func (r *Replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

func (r *Replica) stream(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	// A missing id counts as 0: the stream begins with its first event.
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	flusher, _ := w.(http.Flusher)
	for i := from + 1; i <= r.Events; i++ {
		if after := r.BreakAfter.Load(); after > 0 && int64(i-from) > after {
			r.BreakAfter.Store(0)
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(r.Pace + time.Duration(r.Crawl.Load())):
		case <-req.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, req.Header.Get("Request-Id"), i); err != nil {
			return
		}
		flusher.Flush()
	}
}

func answerJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return
	}
}
