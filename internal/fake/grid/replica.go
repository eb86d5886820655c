// Package grid is a stand-in of the users' platform with its replicas, operator and
// store. It records violations of the system's guarantees.
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

	"mangostile/internal/fake/port"
)

// Replica is a stand-in of one replica. Set its fields before Start; atomic ones may
// change later.
type Replica struct {
	ID      string
	Service string
	Zone    string
	// Version is the version of its software, empty for none.
	Version string
	// Model is empty for a plain service.
	Model string
	// OnListen gets the replica's listen address and returns the one that its entry
	// advertises; nil keeps the address.
	OnListen func(address string) string
	// Slots limits the requests in flight; 0 is no limit. The entry doesn't show it.
	Slots int
	// AdapterSlots is the number of adapters that fit; loading more counts a violation.
	AdapterSlots int
	// Load is the duration of an adapter's load.
	Load time.Duration
	// Events is the number of events of a stream and Pace the time before each of them;
	// Pace is also the duration of a plain service's run.
	Events int
	Pace   time.Duration
	// Linger is added to the time of requests whose path ends with LingerPath: before the
	// answer, or in the middle of a stream.
	Linger time.Duration
	// BreakAfter is the number of events after which the next stream breaks; 0 is never.
	BreakAfter atomic.Int64
	// WithholdAnswers makes requests run without an answer until the caller disconnects.
	WithholdAnswers atomic.Bool
	// SaysLeaving makes answers say that the replica leaves, while its entry does not.
	SaysLeaving atomic.Bool
	// BackoffUntil is the time until which it refuses requests and asks for no more, in Unix ms.
	BackoffUntil atomic.Int64
	// LimitPerMinute is the rate of requests per minute that its answers name for all entry VMs
	// together, 0 for none.
	LimitPerMinute atomic.Int64
	// Fail makes requests run and answers them with status 500.
	Fail atomic.Bool

	// ExtraDelay is added to the time of each event and answer, in nanoseconds.
	ExtraDelay atomic.Int64
	// LoseOrders executes orders and closes the connection without an answer.
	LoseOrders atomic.Bool
	// OrderDelay postpones the execution of orders, in nanoseconds; above 0 they get no
	// answer.
	OrderDelay atomic.Int64

	grid      *Grid
	listener  net.Listener
	server    *http.Server
	startedAt int64
	// advertised is the address in the replica's entry.
	advertised string
	// address is where Start listens; empty lets the kernel choose.
	address string
	crashed atomic.Bool
	// replaced reports whether another replica has taken over the id after a crash.
	replaced atomic.Bool

	mu sync.Mutex
	// reserved holds the address of a crashed replica, so that no other process gets it.
	reserved port.Reservation
	// orders counts the executed orders, except loads of adapters that were there already.
	// It is the sequence number in the entry.
	orders   int64
	fence    uint64
	holder   string
	holderAt time.Time
	// adapters holds the time at which the load of each adapter ends.
	adapters map[string]time.Time
	running  int
	state    string
}

// LingerPath ends the paths of requests that take longer than others.
const LingerPath = "/linger"

// lingerOf returns the additional time of a request.
func (r *Replica) lingerOf(req *http.Request) time.Duration {
	if strings.HasSuffix(req.URL.Path, LingerPath) {
		return r.Linger
	}
	return 0
}

// Address returns the host and port on which r listens.
func (r *Replica) Address() string { return r.listener.Addr().String() }

// stopListening closes all connections, and refuses new ones until releaseAddress.
func (r *Replica) stopListening() {
	_ = r.server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.reserved.Reserve(r.Address())
}

func (r *Replica) releaseAddress() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reserved.Release()
}

func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	if id := req.Header.Get("Request-Id"); id != "" {
		w.Header().Set("Request-Id", id)
	}
	if r.SaysLeaving.Load() || r.isDraining() {
		w.Header().Set("Server-Leaving", "1")
	}
	if limit := r.LimitPerMinute.Load(); limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(float64(limit)/60, 'f', -1, 64))
	}
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != r.ID {
		w.Header().Set("Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case req.Method == http.MethodGet && req.URL.Path == "/report":
		answerJSON(w, http.StatusOK, r.entry())
	case req.Method == http.MethodPost && req.URL.Path == "/order":
		r.handleOrder(w, req)
	default:
		r.run(w, req)
	}
}

func (r *Replica) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == "draining"
}

// entry returns the content of the JSON object that r writes to the store and answers to
// GET /report. Its slots are always 8, whatever the field Slots is. Each adapter has
// version 1, because r keeps no versions; adapters that still load are listed as coming.
func (r *Replica) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := map[string]any{
		"service": r.Service, "address": r.advertised, "zone": r.Zone, "slots": 8, "state": r.state, "sequence": r.orders, "born": r.startedAt,
	}
	if r.Version != "" {
		entry["version"] = r.Version
	}
	if r.Model != "" {
		adapters, coming := []string{}, []string{}
		for name, readyAt := range r.adapters {
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

func (r *Replica) handleOrder(w http.ResponseWriter, req *http.Request) {
	var o order
	if json.NewDecoder(req.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 || o.Adapter == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.checkOrder(o)
	if delay := r.OrderDelay.Load(); delay > 0 {
		time.AfterFunc(time.Duration(delay), func() { r.execute(o) })
		panic(http.ErrAbortHandler)
	}
	status := r.execute(o)
	if r.LoseOrders.Load() {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// execute executes an order and returns its HTTP status: 409 if the order was sent for
// another sequence number than the current one.
func (r *Replica) execute(o order) (status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Expected != r.orders {
		return http.StatusConflict
	}
	if o.Operation == "unload" {
		delete(r.adapters, o.Adapter)
		r.orders++
		return http.StatusOK
	}
	if _, ok := r.adapters[o.Adapter]; ok {
		return http.StatusOK
	}
	r.orders++
	r.adapters[o.Adapter] = time.Now().Add(r.Load)
	if len(r.adapters) > r.AdapterSlots {
		r.grid.countViolation("more adapters than places")
	}
	return http.StatusAccepted
}

// checkOrder counts a violation if another holder's order came within the handover interval
// or if the fence is lower than an earlier one.
func (r *Replica) checkOrder(o order) {
	now := time.Now()
	if r.grid.orderChecksSuspended(now) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder != "" && r.holder != o.Holder && now.Before(r.holderAt.Add(r.grid.HandoverInterval)) {
		r.grid.countViolation("two holders in turn")
	}
	if o.Fence < r.fence {
		r.grid.countViolation("lower fence after a higher one")
	}
	r.holder, r.holderAt, r.fence = o.Holder, now, max(r.fence, o.Fence)
}

// hasAdapter reports whether r can serve model, which is MODEL or MODEL/ADAPTER. An adapter
// counts once its load has ended.
func (r *Replica) hasAdapter(model string) bool {
	name, adapter, _ := strings.Cut(model, "/")
	if name != r.Model {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	readyAt, ok := r.adapters[adapter]
	return adapter == "" || ok && !time.Now().Before(readyAt)
}

// run executes a request.
func (r *Replica) run(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	for _, forged := range []string{"Hold", "Pin-Ms", "Kv-From", "Kv-Backup"} {
		if req.Header.Get(forged) != "" {
			r.grid.countViolation("forged header passed on")
		}
	}
	deadly := r.grid.deadlyOf(req)
	if model := req.Header.Get("Model"); model != "" && !r.hasAdapter(model) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if backoff := time.Until(time.UnixMilli(r.BackoffUntil.Load())); backoff > 0 {
		r.grid.noteBackoff(Refusal{ID: id, Replica: r.ID, At: time.Now(), Backoff: backoff})
		w.Header().Set("Retry-After", strconv.FormatFloat(backoff.Seconds(), 'f', 3, 64))
		w.Header().Set("Not-Executed", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !r.acquireSlot() {
		w.Header().Set("Not-Executed", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	done := make(chan struct{})
	defer close(done)
	defer r.releaseSlot()
	// Without a header, remaining is 0.
	remaining, _ := strconv.Atoi(req.Header.Get("Deadline-Ms"))
	r.grid.countRun(Run{
		ID: id, Replica: r.ID, Version: r.Version, Service: r.Service, ResumedFrom: req.Header.Get("Last-Event-Id"), At: time.Now(), Remaining: time.Duration(remaining) * time.Millisecond, Header: req.Header, Done: done,
	}, req.Method+req.RequestURI)
	w.Header().Set("Server-Stamp", "stamp-"+r.ID)
	extra := time.Duration(r.ExtraDelay.Load())
	switch {
	case r.WithholdAnswers.Load():
		<-req.Context().Done()
	case r.Fail.Load():
		w.WriteHeader(http.StatusInternalServerError)
	case deadly != nil && (r.Model != "" || deadly.Path != ""):
		r.runDeadly(w, req, deadly)
	case r.Model != "":
		r.stream(w, req)
	default:
		select {
		case <-time.After(r.Pace + extra + r.lingerOf(req)):
			_, _ = fmt.Fprintf(w, "done %s", id)
		case <-req.Context().Done():
		}
	}
}

// acquireSlot reserves a slot for a run. It reports false if all slots are taken.
func (r *Replica) acquireSlot() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Slots > 0 && r.running >= r.Slots {
		return false
	}
	r.running++
	return true
}

func (r *Replica) releaseSlot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

func (r *Replica) stream(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	// Without an id, from is 0 and the stream starts with its first event.
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	flusher, _ := w.(http.Flusher)
	for i := from + 1; i <= r.Events; i++ {
		if after := r.BreakAfter.Load(); after > 0 && int64(i-from) > after {
			r.BreakAfter.Store(0)
			panic(http.ErrAbortHandler)
		}
		pause := r.Pace + time.Duration(r.ExtraDelay.Load())
		if i == r.Events/2 {
			pause += r.lingerOf(req)
		}
		select {
		case <-time.After(pause):
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
