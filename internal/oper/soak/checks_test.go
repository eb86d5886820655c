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

// seen counts what the checks had to look at, so that a run tells whether it could
// have broken a promise at all.
type seen struct {
	lookups int
	// stops are those asked of entry VMs while nothing else was wrong.
	stops int
	// left are runs whose callers left, resumed those that go on where another broke.
	left, resumed int
}

// broken lists the promises that a run did not keep.
func (d *deployment) broken() (list []string) {
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
		if why := h.wrongAnswer(q); why != "" {
			fail("%s at %s by vm%d: %s: status %d, %d bytes, error %v", q.id, q.path, q.vm, why, q.status, len(q.body), q.err)
		}
	}
	for _, wrong := range d.Wrongs() {
		fail("backend servers saw: %s", wrong)
	}
	list = append(list, d.wrongServices(byID)...)
	list = append(list, d.lostAtStops()...)
	list = append(list, d.runsAfterLeaving()...)
	list = append(list, h.overBudget()...)
	return append(list, d.crashes()...)
}

// wrongAnswer tells what is wrong with the answer to one request.
func (h *history) wrongAnswer(q *request) string {
	runs := fromStart(h.runs[q.id])
	switch q.status {
	case 0, 200, 408, 421, 429, 500, 502, 503, 504:
	default:
		return "a proper request was denied"
	}
	switch {
	case q.once() && runs > 1:
		return "ran twice"
	case q.once() && (q.status == 408 || q.status == 421 || q.status == 429 || q.status == 503) && runs > 0:
		return "refused as not run, and ran"
	case q.status == 200 && !strings.HasPrefix(q.stamp, "stamp-"):
		return "a success without the server's stamp"
	case q.status != 200 && q.stamp != "" && q.status != 500:
		return "a server's stamp on a status that no server gave"
	case q.status != 200:
		return ""
	case q.stream():
		return wrongStream(q)
	case q.whole && q.body != "done "+q.id:
		return "the body belongs to another request or is not whole"
	}
	return ""
}

// wrongStream checks that the events follow each other and that a stream that ends
// as complete is.
func wrongStream(q *request) string {
	want := ""
	for i := 1; i <= streamEvents; i++ {
		want += fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, q.id, i)
	}
	switch {
	case q.whole && q.body != want:
		return "a stream ended as complete and is not"
	case !strings.HasPrefix(want, q.body):
		return "an event is missing, doubled or of another request"
	}
	return ""
}

// fromStart counts runs from the beginning.
func fromStart(runs []grid.Run) (n int) {
	for _, run := range runs {
		if run.Resumed == "" {
			n++
		}
	}
	return n
}

// calm reports whether nothing struck an entry VM or the store.
func (d *deployment) calm(vm int, from, to time.Time) bool {
	return d.vms[vm].harm.free(from, to) && d.history.store.free(from, to)
}

// wrongServices finds lookups that calm entry VMs sent where only an older
// configuration allows it, and requests to servers that left.
func (d *deployment) wrongServices(byID map[string]*request) (list []string) {
	h := &d.history
	for id, runs := range h.runs {
		q := byID[id]
		if q == nil {
			continue
		}
		for _, run := range runs {
			if run.Resumed != "" {
				d.seen.resumed++
			}
			if left, ok := h.leaving[run.Replica]; ok && run.At.After(left.Add(drain)) && q.sent.After(left) && d.calm(q.vm, left, run.At) && h.servers.free(left.Add(calmTerm), run.At) {
				list = append(list, fmt.Sprintf("%s by vm%d reached %s %s after it said that it leaves", id, q.vm, run.Replica, run.At.Sub(left)))
			}
			if !strings.HasPrefix(q.path, "/look/") {
				continue
			}
			version := h.versionAt(q.sent.Add(-apply))
			allowed := map[string]bool{}
			for v := version; v < len(h.versions); v++ {
				allowed[lookService(v)] = true
			}
			d.seen.lookups++
			if !allowed[run.Service] && d.calm(q.vm, q.sent.Add(-apply), run.At) {
				list = append(list, fmt.Sprintf("%s by vm%d ran at %s, as no configuration since version %d allows", id, q.vm, run.Replica, version))
			}
		}
	}
	return list
}

// versionAt returns the configuration in force at an instant.
func (h *history) versionAt(at time.Time) int {
	version := 1
	for v, since := range h.versions {
		if v > 0 && !since.After(at) {
			version = v
		}
	}
	return version
}

// lossSlack is how long after its last byte a request may still cross the close of
// its connection.
const lossSlack = 200 * time.Millisecond

// lostAtStops finds requests that a planned stop cut off.
func (d *deployment) lostAtStops() (list []string) {
	h := &d.history
	for _, s := range h.stops {
		if !s.planned || !h.store.free(s.asked, s.ended) || !h.servers.free(s.asked, s.ended) {
			continue
		}
		d.seen.stops++
		for _, q := range h.requests {
			if q.vm != s.vm || q.sent.Before(s.asked.Add(-requestTerm)) || q.sent.After(s.ended) || q.ended.Before(s.asked) || !q.left.IsZero() || q.err == nil {
				continue
			}
			if len(h.runs[q.id]) > 0 || q.ended.Sub(q.sent) > lossSlack {
				list = append(list, fmt.Sprintf("%s was cut off by the stop of vm%d: sent %s after it, ended %s after it, %v",
					q.id, q.vm, q.sent.Sub(s.asked), q.ended.Sub(s.asked), q.err))
			}
		}
	}
	return list
}

// Bounds of runs whose callers have left.
const (
	leftTerm = 500 * time.Millisecond
	// More than leftFew, and more than one in leftOneIn of them, may not go on longer.
	leftOneIn = 4
	leftFew   = 4
)

// runsAfterLeaving finds runs that go on though their callers left.
func (d *deployment) runsAfterLeaving() []string {
	all, late := 0, 0
	for _, q := range d.history.requests {
		if q.left.IsZero() || !d.calm(q.vm, q.sent, q.left.Add(leftTerm)) || !d.history.servers.free(q.sent, q.left.Add(leftTerm)) {
			continue
		}
		for _, run := range d.history.runs[q.id] {
			all++
			d.seen.left++
			select {
			case <-run.Done:
			default:
				late++
			}
		}
	}
	if late > leftFew && late*leftOneIn > all {
		return []string{fmt.Sprintf("%d of %d runs went on after their callers left", late, all)}
	}
	return nil
}

// overBudget finds windows with more repeated sends than the retry budget allows.
func (h *history) overBudget() (list []string) {
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

// crashes finds processes that ended by themselves and what they wrote.
func (d *deployment) crashes() (list []string) {
	for _, v := range d.vms {
		if p := v.running(); p != nil {
			select {
			case <-p.done:
				if !p.asked.Load() {
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
