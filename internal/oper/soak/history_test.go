package soak

import (
	"strings"
	"sync"
	"time"

	"mangostile/internal/fake/grid"
)

// forever is later than any time in a run.
var forever = time.Now().Add(1000 * time.Hour)

// spans are the periods in which a fault is active. The zero value has none.
type spans struct {
	mu   sync.Mutex
	list [][2]time.Time
}

// begin opens a span and returns the function that closes it.
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

// free reports whether no fault was active from settleWindow before from until to.
func (s *spans) free(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, span := range s.list {
		if span[0].Before(to) && span[1].After(from.Add(-settleWindow)) {
			return false
		}
	}
	return true
}

// request is one request of a caller and its outcome.
type request struct {
	id, path string
	model    string
	parts    []string
	vm       int
	// resumes is the id of the attempt that began the stream which this one takes up, lastEvent
	// the id of the last event that the caller has of it; siblings is the number of servers of
	// the stream's version that ran then.
	resumes             string
	lastEvent, siblings int
	// began is the server that began the stream, tries the number of attempts at lastEvent.
	began  string
	tries  int
	reused bool
	// deadly reports whether the prompt has the part that crashes engines.
	deadly bool
	sent   time.Time
	ended  time.Time
	// disconnectedAt is when the caller closed its connection, or zero if it did not.
	disconnectedAt time.Time
	status         int
	stamp          string
	body           string
	// leaving reports that the server said in the answer that it leaves, headAt when the head
	// of the answer came.
	leaving bool
	headAt  time.Time
	// complete reports whether the answer ended as HTTP requires.
	complete bool
	err      error
}

func (q *request) isStream() bool        { return strings.HasPrefix(q.path, "/stream/") }
func (q *request) isNonIdempotent() bool { return strings.HasPrefix(q.path, "/once/") }
func (q *request) lingers() bool         { return strings.HasSuffix(q.path, grid.LingerPath) }
func (q *request) served() bool          { return q.status == 200 && q.complete }

// execution is a run and its end.
type execution struct {
	grid.Run
	// ended is the zero time while the run goes on.
	ended time.Time
}

// outlived reports whether the run went on after an instant, whether or not it has ended since.
func (e *execution) outlived(at time.Time) bool { return e.ended.IsZero() || e.ended.After(at) }

// history records what callers and backend servers saw. The zero value is empty.
type history struct {
	mu       sync.Mutex
	requests []*request
	runs     map[string][]*execution
	// backoff are the refusals of servers that asked for a back-off.
	backoff []grid.Refusal
	// limits are those that servers named.
	limits []namedLimit
	// versions holds the time at which each configuration was written, by version.
	versions []time.Time
	// leavingSince holds the time at which each leaving server announced it.
	leavingSince map[string]time.Time
	// stops holds the requests to entry VMs to stop.
	stops []stop
	// storeFaults holds the times of faults of the store, serverFaults those of any
	// backend server.
	storeFaults, serverFaults spans
}

// stop is one request to an entry VM to stop.
type stop struct {
	vm          int
	requestedAt time.Time
	ended       time.Time
	// undisturbed reports whether no other fault affected the entry VM during the stop.
	undisturbed bool
}

func (h *history) recordRun(run grid.Run) {
	e := &execution{Run: run}
	h.addRun(e)
	go func() {
		<-run.Done
		h.mu.Lock()
		defer h.mu.Unlock()
		e.ended = time.Now()
	}()
}

func (h *history) recordBackoff(r grid.Refusal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.backoff = append(h.backoff, r)
}

func (h *history) addRun(e *execution) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runs == nil {
		h.runs = map[string][]*execution{}
	}
	h.runs[e.ID] = append(h.runs[e.ID], e)
}

func (h *history) addRequest(q *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, q)
}

func (h *history) recordVersion(version int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.versions) <= version {
		h.versions = append(h.versions, time.Now())
	}
}

func (h *history) recordLeaving(server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leavingSince == nil {
		h.leavingSince = map[string]time.Time{}
	}
	h.leavingSince[server] = time.Now()
}

// servedSince counts the requests sent since an instant whose callers did not disconnect,
// and how many of them were served. Requests that crash servers don't count.
func (h *history) servedSince(since time.Time) (served, all int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, q := range h.requests {
		if q.sent.Before(since) || !q.disconnectedAt.IsZero() || q.deadly {
			continue
		}
		all++
		if q.served() {
			served++
		}
	}
	return served, all
}
