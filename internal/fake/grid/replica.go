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
	// Slots bounds the adapters that it holds.
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

	grid     *Grid
	listener net.Listener
	server   *http.Server
	born     int64

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
		"service": r.Service, "address": r.Address(), "zone": r.Zone, "slots": 8, "state": r.state, "sequence": r.orders, "born": r.born,
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
	r.mu.Lock()
	defer r.mu.Unlock()
	r.judge(o)
	if o.Expected != r.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if o.Operation == "unload" {
		delete(r.held, o.Adapter)
		r.orders++
		w.WriteHeader(http.StatusOK)
		return
	}
	if _, ok := r.held[o.Adapter]; ok {
		w.WriteHeader(http.StatusOK)
		return
	}
	r.orders++
	r.held[o.Adapter] = time.Now().Add(r.Load)
	if len(r.held) > r.AdapterSlots {
		r.grid.count("more adapters than places")
	}
	w.WriteHeader(http.StatusAccepted)
}

// judge counts orders of two holders that are too close.
func (r *Replica) judge(o order) {
	now := time.Now()
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
	r.mu.Lock()
	r.running++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	r.grid.ran(id, req.Method+req.RequestURI, req.Header.Get("Last-Event-Id"))
	w.Header().Set("Server-Stamp", "stamp-"+r.ID)
	switch {
	case r.Mute.Load():
		<-req.Context().Done()
	case r.Fail.Load():
		w.WriteHeader(http.StatusInternalServerError)
	case r.Model != "":
		r.stream(w, req)
	default:
		_, _ = fmt.Fprintf(w, "done %s", id)
	}
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
		case <-time.After(r.Pace):
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
