package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"

	"mangostile/internal/fake/grid"
)

// coverage counts the cases that the checks examined. If a count is 0, the run could not
// violate the guarantee behind it. The names of the fields are logged.
type coverage struct {
	lookups int
	// stops are the stops of entry VMs during which no other fault was active.
	stops int
	// leaving are answers in which a server said that it leaves.
	leaving int
	// backoff are requests that reached a server which asked for a back-off.
	backoff int
	// limited are requests that reached a server with a limit, limitWindow after it named that or later.
	limited int
	// left are executions whose callers disconnected, leftLong those of them that would have
	// lasted much longer, resumed those that continue a stream that broke on another server.
	left, leftLong, resumed int
	// takenUp are attempts that took up a stream, wentOn those of them that got events of it.
	takenUp, wentOn int
	// lateDeadly are runs of requests with the deadly part after it has to be known,
	// soundAfter the sound requests after that.
	lateDeadly, soundAfter int
}

// violations lists the guarantees that a run violated.
func (d *deployment) violations() (list []string) {
	h := &d.history
	h.mu.Lock()
	defer h.mu.Unlock()
	byID := map[string]*request{}
	for _, q := range h.requests {
		byID[q.id] = q
	}
	fail := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	for id := range h.runs {
		if byID[id] == nil {
			fail("%s ran and nobody asked for it", id)
		}
	}
	for _, q := range h.requests {
		if why := h.answerViolation(q); why != "" {
			fail("%s at %s by vm%d: %s: status %d, %d bytes, error %v", q.id, q.path, q.vm, why, q.status, len(q.body), q.err)
		}
	}
	for _, wrong := range d.Violations() {
		fail("backend servers saw: %s", wrong)
	}
	list = append(list, d.misroutedRequests(byID)...)
	list = append(list, d.requestsCutByStops()...)
	list = append(list, d.runsAtLeavingServers(byID)...)
	list = append(list, d.requestsInBackoffs(byID)...)
	list = append(list, d.requestsBeyondLimits(byID)...)
	list = append(list, d.mixedStreams()...)
	list = append(list, d.mixedAttempts(byID)...)
	list = append(list, d.lostStreams()...)
	list = append(list, d.runsAfterDisconnect()...)
	list = append(list, h.retriesOverBudget()...)
	return append(list, d.crashes()...)
}

// answerViolation returns what is wrong with the answer to a request, or "".
func (h *history) answerViolation(q *request) string {
	runs := countFreshRuns(h.runs[q.id])
	switch q.status {
	case 0, 200, 408, 421, 429, 500, 502, 503, 504:
	default:
		return "a proper request was denied"
	}
	switch {
	case q.isNonIdempotent() && runs > 1:
		return "ran twice"
	case q.isNonIdempotent() && (q.status == 408 || q.status == 421 || q.status == 429 || q.status == 503) && runs > 0:
		return "refused as not run, and ran"
	case q.status == 200 && !strings.HasPrefix(q.stamp, "stamp-"):
		return "a success without the server's stamp"
	case q.status != 200 && q.stamp != "" && q.status != 500:
		return "a server's stamp on a status that no server gave"
	case q.status != 200:
		return ""
	case q.isStream():
		return streamViolation(q)
	case q.complete && q.body != "done "+q.id:
		return "the body belongs to another request or is not whole"
	}
	return ""
}

// streamViolation checks that the events are consecutive and that a stream that ends
// normally has all of them.
func streamViolation(q *request) string {
	want := ""
	for i := q.lastEvent + 1; i <= streamEvents; i++ {
		want += fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, q.id, i)
	}
	switch {
	case q.complete && q.body != want:
		return "a stream ended as complete and is not"
	case !strings.HasPrefix(want, q.body):
		return "an event is missing, doubled or of another request"
	}
	return ""
}

// countFreshRuns counts the executions that start from the beginning.
func countFreshRuns(runs []*execution) (n int) {
	for _, run := range runs {
		if run.ResumedFrom == "" {
			n++
		}
	}
	return n
}

// undisturbed reports whether no fault affected the entry VM or the store from settleWindow
// before from until to.
func (d *deployment) undisturbed(vm int, from, to time.Time) bool {
	return d.vms[vm].faults.free(from, to) && d.history.storeFaults.free(from, to)
}

// misroutedRequests finds two kinds of requests by undisturbed entry VMs: lookups sent to a
// service that only a configuration replaced more than applyTimeout before allows, and
// requests that reached a server more than drainTimeout after it announced that it leaves.
func (d *deployment) misroutedRequests(byID map[string]*request) (list []string) {
	h := &d.history
	for id, runs := range h.runs {
		q := byID[id]
		if q == nil {
			continue
		}
		for _, run := range runs {
			if run.ResumedFrom != "" {
				d.coverage.resumed++
			}
			if left, ok := h.leavingSince[run.Replica]; ok && run.At.After(left.Add(drainTimeout)) && q.sent.After(left) && d.undisturbed(q.vm, left, run.At) && h.serverFaults.free(left.Add(settleWindow), run.At) {
				list = append(list, fmt.Sprintf("%s by vm%d reached %s %s after it said that it leaves", id, q.vm, run.Replica, run.At.Sub(left)))
			}
			if !strings.HasPrefix(q.path, "/look/") {
				continue
			}
			version := h.versionAt(q.sent.Add(-applyTimeout))
			allowed := map[string]bool{}
			for v := version; v < len(h.versions); v++ {
				allowed[lookupService(v)] = true
			}
			d.coverage.lookups++
			if !allowed[run.Service] && d.undisturbed(q.vm, q.sent.Add(-applyTimeout), run.At) {
				list = append(list, fmt.Sprintf("%s by vm%d ran at %s, as no configuration since version %d allows", id, q.vm, run.Replica, version))
			}
		}
	}
	return list
}

// runsAtLeavingServers finds requests that an entry VM took more than drainTimeout after it had
// passed on an answer in which the server said that it leaves, and sent there all the same. It holds
// for entry VMs that did not restart or pause since, whatever else is disturbed.
func (d *deployment) runsAtLeavingServers(byID map[string]*request) (list []string) {
	type hearing struct {
		vm     int
		server string
	}
	heard := map[hearing]time.Time{}
	for _, q := range d.history.requests {
		if !q.leaving {
			continue
		}
		d.coverage.leaving++
		h := hearing{q.vm, strings.TrimPrefix(q.stamp, "stamp-")}
		if since, ok := heard[h]; !ok || q.headAt.Before(since) {
			heard[h] = q.headAt
		}
	}
	for id, runs := range d.history.runs {
		q := byID[id]
		if q == nil {
			continue
		}
		for _, run := range runs {
			since, ok := heard[hearing{q.vm, run.Replica}]
			if ok && q.sent.After(since.Add(drainTimeout)) && d.vms[q.vm].faults.free(since, run.At) {
				list = append(list, fmt.Sprintf("%s by vm%d reached %s %s after its answer said that it leaves", id, q.vm, run.Replica, run.At.Sub(since)))
			}
		}
	}
	return list
}

const (
	// backoffNotice is the time after which an entry VM heeds that a server asks for a back-off, and
	// maxInBackoff the number of its requests that may reach the server after that.
	backoffNotice = 500 * time.Millisecond
	maxInBackoff  = 2
)

// requestsInBackoffs finds entry VMs whose requests reach a server in the time for which it asked
// them for none. It holds for entry VMs that did not restart or pause since.
func (d *deployment) requestsInBackoffs(byID map[string]*request) (list []string) {
	type pair struct {
		vm     int
		server string
	}
	told := map[pair][]grid.Refusal{}
	for _, r := range d.history.backoff {
		d.coverage.backoff++
		if q := byID[r.ID]; q != nil {
			told[pair{q.vm, r.Replica}] = append(told[pair{q.vm, r.Replica}], r)
		}
	}
	for p, refusals := range told {
		for i, first := range refusals {
			n := 0
			for _, r := range refusals[i+1:] {
				if since := r.At.Sub(first.At); since > backoffNotice && since < first.Backoff && d.vms[p.vm].faults.free(first.At, r.At) {
					n++
				}
			}
			if n > maxInBackoff {
				list = append(list, fmt.Sprintf("%d requests by vm%d reached %s in a back-off of %s", n, p.vm, p.server, first.Backoff))
				break
			}
		}
	}
	return list
}

// mixedStreams finds streams that went on at another software version than the one that began them.
func (d *deployment) mixedStreams() (list []string) {
	for id, runs := range d.history.runs {
		for i, run := range runs {
			if i > 0 && run.ResumedFrom != "" && run.Version != runs[i-1].Version {
				list = append(list, fmt.Sprintf("%s went on at version %s, begun at %s", id, run.Version, runs[i-1].Version))
			}
		}
	}
	return list
}

// versionAt returns the version of the configuration that was active at an instant.
func (h *history) versionAt(at time.Time) int {
	version := 1
	for v, since := range h.versions {
		if v > 0 && !since.After(at) {
			version = v
		}
	}
	return version
}

// closeRaceWindow is the longest time from sending to failure of a request that crossed the
// closing of its connection. A request that failed later, or ran, was cut off.
const closeRaceWindow = 200 * time.Millisecond

// requestsCutByStops finds requests that were cut off by a stop without other faults.
func (d *deployment) requestsCutByStops() (list []string) {
	h := &d.history
	for _, s := range h.stops {
		if !s.undisturbed || !h.storeFaults.free(s.requestedAt, s.ended) || !h.serverFaults.free(s.requestedAt, s.ended) {
			continue
		}
		d.coverage.stops++
		for _, q := range h.requests {
			if q.vm != s.vm || q.sent.Before(s.requestedAt.Add(-requestTimeout)) || q.sent.After(s.ended) || q.ended.Before(s.requestedAt) || !q.disconnectedAt.IsZero() || q.err == nil {
				continue
			}
			if len(h.runs[q.id]) > 0 || q.ended.Sub(q.sent) > closeRaceWindow {
				list = append(list, fmt.Sprintf("%s was cut off by the stop of vm%d: sent %s after it, ended %s after it, %v",
					q.id, q.vm, q.sent.Sub(s.requestedAt), q.ended.Sub(s.requestedAt), q.err))
			}
		}
	}
	return list
}

// Limits on executions whose callers have disconnected.
const (
	disconnectTimeout = 500 * time.Millisecond
	// The check fails if more than minLateRuns executions, and more than one in
	// lateRunsOneIn of those that would have lasted so long, continue after
	// disconnectTimeout.
	lateRunsOneIn = 4
	minLateRuns   = 4
	// maxLateArrivals is the number of executions that may begin after disconnectTimeout.
	maxLateArrivals = 3
)

// runsAfterDisconnect finds executions that begin or continue after their callers disconnected. An
// action may continue, so that its outcome is known.
func (d *deployment) runsAfterDisconnect() (list []string) {
	long, late, arrivals := 0, 0, 0
	for _, q := range d.history.requests {
		bound := q.disconnectedAt.Add(disconnectTimeout)
		if q.disconnectedAt.IsZero() || !d.undisturbed(q.vm, q.sent, bound) || !d.history.serverFaults.free(q.sent, bound) {
			continue
		}
		for _, run := range d.history.runs[q.id] {
			d.coverage.left++
			if run.At.After(bound) {
				arrivals++
			}
			if q.isNonIdempotent() {
				continue
			}
			if outlived := run.outlived(bound); outlived {
				late, long = late+1, long+1
			} else if q.lingers() && run.At.Add(lingerTime).After(bound) {
				long++
			}
		}
	}
	d.coverage.leftLong = long
	if late > minLateRuns && late*lateRunsOneIn > long {
		list = append(list, fmt.Sprintf("%d of %d runs went on after their callers left", late, long))
	}
	if arrivals > maxLateArrivals {
		list = append(list, fmt.Sprintf("%d runs began after their callers had left", arrivals))
	}
	return list
}

// retriesOverBudget finds windows with more retries than the retry budget allows. Each
// execution of a request after the first counts as a retry.
func (h *history) retriesOverBudget() (list []string) {
	type arrival struct {
		at     time.Time
		repeat bool
	}
	services := map[string][]arrival{}
	sent := map[string]time.Time{}
	for _, q := range h.requests {
		sent[q.id] = q.sent
	}
	for _, runs := range h.runs {
		for i, run := range runs {
			services[run.Service] = append(services[run.Service], arrival{run.At, i > 0})
		}
	}
	for service, arrivals := range services {
		sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].at.Before(arrivals[j].at) })
		for i := range arrivals {
			first, repeats := 0, 0
			for _, a := range arrivals[i:] {
				if a.at.Sub(arrivals[i].at) > retryWindow {
					break
				}
				if a.repeat {
					repeats++
				} else {
					first++
				}
			}
			if float64(repeats) > retryRatio*float64(first)+retryReserve {
				list = append(list, fmt.Sprintf("%d repeats of %d requests for %s within %s", repeats, first, service, retryWindow))
				break
			}
		}
	}
	return list
}

// crashes finds processes that ended unexpectedly or logged a crash.
func (d *deployment) crashes() (list []string) {
	for _, v := range d.vms {
		if p := v.running(); p != nil {
			select {
			case <-p.done:
				if !p.stopRequested.Load() {
					list = append(list, fmt.Sprintf("%s ended by itself: %v", v.name(), p.err))
				}
			default:
			}
		}
		text, err := os.ReadFile(filepath.Join(v.dir, v.name()+".log"))
		if err != nil {
			list = append(list, "log of "+v.name()+": "+err.Error())
		}
		for _, mark := range []string{"panic:", "DATA RACE", "fatal error"} {
			if at := strings.Index(string(text), mark); at >= 0 {
				list = append(list, v.name()+" wrote "+strconv.Quote(string(text[at:min(len(text), at+400)])))
			}
		}
	}
	return list
}
