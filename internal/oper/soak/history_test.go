package soak

import (
	"strings"
	"sync"
	"time"

	"mangostile/internal/fake/grid"
)

// forever is a time after all others.
var forever = time.Now().Add(1000 * time.Hour)

// spans are times in which a fault holds. The zero value holds none.
type spans struct {
	mu   sync.Mutex
	list [][2]time.Time
}

// begin opens a span and returns what closes it.
func (s *spans) begin() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.list)
	s.list = append(s.list, [2]time.Time{time.Now(), forever})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.list[i][1] = time.Now()
	}
}

// free reports whether no fault held from calmTerm before from until to.
func (s *spans) free(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, span := range s.list {
		if span[0].Before(to) && span[1].After(from.Add(-calmTerm)) {
			return false
		}
	}
	return true
}

// request is one request of a caller and what became of it.
type request struct {
	id, path string
	vm       int
	kept     bool
	sent     time.Time
	ended    time.Time
	// left is when the caller closed its connection, zero if it did not.
	left   time.Time
	status int
	stamp  string
	body   string
	// whole tells that the answer ended as HTTP says it should.
	whole bool
	err   error
}

func (q *request) stream() bool { return strings.HasPrefix(q.path, "/stream/") }
func (q *request) once() bool   { return strings.HasPrefix(q.path, "/once/") }
func (q *request) served() bool { return q.status == 200 && q.whole }

// history is what callers and backend servers saw. The zero value is empty.
type history struct {
	mu       sync.Mutex
	requests []*request
	runs     map[string][]grid.Run
	// versions holds when each configuration was written.
	versions []time.Time
	// leaving holds when servers said that they leave.
	leaving map[string]time.Time
	// stops holds when entry VMs were asked to stop.
	stops []stop
	// store holds when the store was disturbed, servers when any server was.
	store, servers spans
}

// stop is one request to an entry VM to stop.
type stop struct {
	vm    int
	asked time.Time
	ended time.Time
	// planned tells that nothing else was wrong.
	planned bool
}

func (h *history) ran(run grid.Run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runs == nil {
		h.runs = map[string][]grid.Run{}
	}
	h.runs[run.ID] = append(h.runs[run.ID], run)
}

func (h *history) add(q *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, q)
}

func (h *history) configured(version int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.versions) <= version {
		h.versions = append(h.versions, time.Now())
	}
}

func (h *history) leaves(server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaving == nil {
		h.leaving = map[string]time.Time{}
	}
	h.leaving[server] = time.Now()
}

// share returns which part of the requests that ended since an instant was served.
func (h *history) share(since time.Time) (served, all int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, q := range h.requests {
		if q.sent.Before(since) || !q.left.IsZero() {
			continue
		}
		all++
		if q.served() {
			served++
		}
	}
	return served, all
}
