package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mangostile/internal/fake/grid"

	"github.com/shoenig/test/must"
)

// completeBody returns the body of a complete stream of the given number of events.
func completeBody(id string, events int) string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d\n\n", i, id, i)
	}
	return b.String()
}

// recordDeadly records sound requests before and after five crashes up to 400 ms, the later
// ones with a status, and runs of deadly requests after these crashes.
func recordDeadly(d *deployment, at func(ms int) time.Time, deadlyRuns, status int) {
	stream := func(id string, ms, status int) *request {
		q := &request{id: id, path: "/stream/x", sent: at(ms), ended: at(ms + 20), status: status, complete: true}
		if status == 200 {
			q.stamp, q.body = "stamp-e", completeBody(id, streamEvents)
		}
		return q
	}
	for i := range 25 {
		d.history.addRequest(stream(fmt.Sprint("before-", i), -10000, 200))
		d.history.addRequest(stream(fmt.Sprint("after-", i), 8500, status))
	}
	for i := range deadlyRuns {
		q := stream(fmt.Sprint("deadly-", i), 4500, 502)
		q.deadly = true
		d.history.addRequest(q)
		d.history.recordRun(grid.Run{ID: q.id, Replica: "e", Service: "llm", At: at(4500)})
	}
}

// recordTakeUp records a stream that began at version 1, broke off after four events and was taken
// up at a version.
func recordTakeUp(d *deployment, run func(id, server, service string, ms int) grid.Run, version string, sent time.Time) {
	d.history.addRequest(&request{id: "a", path: "/stream/x", sent: sent, ended: sent, status: 200, stamp: "stamp-llm-1", body: completeBody("a", 4)})
	rest := strings.TrimPrefix(completeBody("b", streamEvents), completeBody("b", 4))
	d.history.addRequest(&request{id: "b", path: "/stream/x", sent: sent, ended: sent, status: 200, stamp: "stamp-llm-2", body: rest, complete: true, resumes: "a", lastEvent: 4})
	first, second := run("a", "llm-1", "llm", 5), run("b", "llm-2", "llm", 50)
	first.Version, second.Version, second.ResumedFrom = "1", version, "4"
	d.history.recordRun(first)
	d.history.recordRun(second)
}

// recordLimited records calls at a server with a limit of one a second, a period apart.
func recordLimited(d *deployment, run func(id, server, service string, ms int) grid.Run, period time.Duration) {
	from := run("", "", "", 0).At
	d.history.limits = []namedLimit{{server: "plain-1", perMinute: 60, from: from.Add(-time.Millisecond), to: from.Add(time.Minute)}}
	for i := range int(8500 * time.Millisecond / period) {
		id, ms := fmt.Sprint("r", i), i*int(period.Milliseconds())
		r := run(id, "plain-1", "plain", ms)
		d.history.addRequest(&request{id: id, path: "/once/x", sent: r.At, ended: r.At.Add(20 * time.Millisecond), status: 200, stamp: "stamp-plain-1", body: "done " + id, complete: true})
		d.history.recordRun(r)
	}
}

// TestChecksFindBrokenPromises checks that each violation in a history is reported, and
// that permitted histories are not. Otherwise a soak could pass with a check that finds
// nothing.
func TestChecksFindBrokenPromises(t *testing.T) {
	t0 := time.Now().Add(-time.Minute)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	ended := make(chan struct{})
	close(ended)
	running := make(chan struct{})
	run := func(id, server, service string, ms int) grid.Run {
		return grid.Run{ID: id, Replica: server, Service: service, At: at(ms), Done: ended}
	}
	served := func(id, path string) *request {
		return &request{id: id, path: path, sent: at(0), ended: at(20), status: 200, stamp: "stamp-p", body: "done " + id, complete: true}
	}
	for _, tc := range []struct {
		name string
		set  func(d *deployment)
		want string
	}{
		{"all is well", func(d *deployment) {
			d.history.addRequest(served("r", "/once/x"))
			d.history.recordRun(run("r", "plain-1", "plain", 5))
		}, ""},
		{"ran unasked", func(d *deployment) { d.history.recordRun(run("r", "plain-1", "plain", 5)) }, "nobody asked"},
		{"ran twice", func(d *deployment) {
			d.history.addRequest(served("r", "/once/x"))
			d.history.recordRun(run("r", "plain-1", "plain", 5))
			d.history.recordRun(run("r", "plain-2", "plain", 8))
		}, "ran twice"},
		{"refused and ran", func(d *deployment) {
			d.history.addRequest(&request{id: "r", path: "/once/x", sent: at(0), ended: at(20), status: 503, complete: true})
			d.history.recordRun(run("r", "plain-1", "plain", 5))
		}, "refused as not run"},
		{"denied", func(d *deployment) {
			d.history.addRequest(&request{id: "r", path: "/once/x", sent: at(0), ended: at(20), status: 404, complete: true})
		}, "was denied"},
		{"no stamp", func(d *deployment) {
			q := served("r", "/once/x")
			q.stamp = ""
			d.history.addRequest(q)
		}, "without the server's stamp"},
		{"foreign stamp", func(d *deployment) {
			d.history.addRequest(&request{id: "r", path: "/once/x", sent: at(0), ended: at(20), status: 502, stamp: "stamp-p", complete: true})
		}, "no server gave"},
		{"another's body", func(d *deployment) {
			q := served("r", "/look/x")
			q.body = "done q"
			d.history.addRequest(q)
		}, "belongs to another"},
		{"stream too short", func(d *deployment) {
			q := served("r", "/stream/x")
			q.body = completeBody("r", streamEvents-1)
			d.history.addRequest(q)
		}, "ended as complete"},
		{"event doubled", func(d *deployment) {
			q := served("r", "/stream/x")
			q.body, q.complete = completeBody("r", 2)+completeBody("r", 2), false
			d.history.addRequest(q)
		}, "missing, doubled"},
		{"old configuration", func(d *deployment) {
			d.history.versions = []time.Time{at(-20000), at(-20000), at(-10000)}
			d.history.addRequest(served("r", "/look/x"))
			d.history.recordRun(run("r", "other-1", "other", 5))
		}, "no configuration since version 2 allows"},
		{"old configuration within its time", func(d *deployment) {
			d.history.versions = []time.Time{at(-20000), at(-20000), at(-3000)}
			d.history.addRequest(served("r", "/look/x"))
			d.history.recordRun(run("r", "other-1", "other", 5))
		}, ""},
		{"old configuration after a fault", func(d *deployment) {
			d.history.versions = []time.Time{at(-20000), at(-20000), at(-10000)}
			d.history.storeFaults.list = [][2]time.Time{{at(-9000), at(-8000)}}
			d.history.addRequest(served("r", "/look/x"))
			d.history.recordRun(run("r", "other-1", "other", 5))
		}, ""},
		{"server that left", func(d *deployment) {
			d.history.leavingSince = map[string]time.Time{"plain-1": at(-6000)}
			d.history.addRequest(served("r", "/once/x"))
			d.history.recordRun(run("r", "plain-1", "plain", 5))
		}, "said that it leaves"},
		{"server that said in an answer that it leaves", func(d *deployment) {
			q := served("r", "/once/x")
			q.leaving, q.headAt, q.stamp = true, at(20), "stamp-plain-1"
			d.history.addRequest(q)
			late := served("q", "/once/x")
			late.sent = at(4100)
			d.history.addRequest(late)
			d.history.recordRun(run("q", "plain-1", "plain", 4105))
			d.history.storeFaults.list = [][2]time.Time{{at(0), at(5000)}}
		}, "its answer said that it leaves"},
		{"requests in a back-off", func(d *deployment) {
			for i, ms := range []int{0, 400, 600, 700, 800} {
				id := fmt.Sprint("r", i)
				d.history.addRequest(served(id, "/look/x"))
				d.history.recordBackoff(grid.Refusal{ID: id, Replica: "plain-1", At: at(ms), Backoff: time.Second})
			}
		}, "3 requests by vm0 reached plain-1 in a back-off"},
		{"requests after a back-off", func(d *deployment) {
			for i, ms := range []int{0, 400, 600, 700, 1100, 1200} {
				id := fmt.Sprint("r", i)
				d.history.addRequest(served(id, "/look/x"))
				d.history.recordBackoff(grid.Refusal{ID: id, Replica: "plain-1", At: at(ms), Backoff: time.Second})
			}
		}, ""},
		{"requests beyond a limit", func(d *deployment) { recordLimited(d, run, 200*time.Millisecond) }, "plain-1 with a limit of 60 requests a minute got 20 in 4s, 11 are allowed"},
		{"requests within a limit", func(d *deployment) { recordLimited(d, run, 400*time.Millisecond) }, ""},
		{"stream of two versions", func(d *deployment) {
			q := served("r", "/stream/x")
			q.body = completeBody("r", streamEvents)
			d.history.addRequest(q)
			first, second := run("r", "llm-1", "llm", 5), run("r", "llm-2", "llm", 50)
			first.Version, second.Version, second.ResumedFrom = "1", "2", "4"
			d.history.recordRun(first)
			d.history.recordRun(second)
		}, "went on at version 2, begun at 1"},
		{"stream of two versions over its attempts", func(d *deployment) { recordTakeUp(d, run, "2", at(40)) }, "went on at version 2, a began it at 1"},
		{"stream taken up at its version", func(d *deployment) { recordTakeUp(d, run, "1", at(40)) }, ""},
		{"streams that are taken up are refused", func(d *deployment) {
			for i := range 2 * minTakenUp {
				id := fmt.Sprint("r", i)
				q := served(id, "/stream/x")
				q.body = completeBody(id, streamEvents)
				if i >= minTakenUp {
					q.resumes, q.lastEvent, q.siblings, q.status, q.stamp = "r0", i, minSiblings, 503, ""
				}
				d.history.addRequest(q)
			}
		}, "0 of 12 streams that were taken up went on, 12 of 12 new ones began"},
		{"cut off by a stop", func(d *deployment) {
			d.history.stops = []stop{{requestedAt: at(0), ended: at(4000), undisturbed: true}}
			d.history.addRequest(&request{id: "r", path: "/once/x", sent: at(10), ended: at(500), err: os.ErrClosed})
		}, "cut off by the stop"},
		{"crossed a close", func(d *deployment) {
			d.history.stops = []stop{{requestedAt: at(0), ended: at(4000), undisturbed: true}}
			d.history.addRequest(&request{id: "r", path: "/once/x", sent: at(10), ended: at(20), err: os.ErrClosed})
		}, ""},
		{"runs after callers left", func(d *deployment) {
			for i := range 10 {
				id := fmt.Sprint("r", i)
				d.history.addRequest(&request{id: id, path: "/stream/x", sent: at(0), ended: at(50), disconnectedAt: at(50)})
				r := run(id, "llm-1", "llm", 5)
				r.Done = running
				d.history.recordRun(r)
			}
		}, "10 of 10 runs went on after their callers left"},
		{"runs that ended long after callers left", func(d *deployment) {
			for i := range 10 {
				id := fmt.Sprint("r", i)
				d.history.addRequest(&request{id: id, path: "/look/linger", sent: at(0), ended: at(50), disconnectedAt: at(50)})
				e := &execution{Run: run(id, "plain-1", "plain", 5), ended: at(100)}
				if i < 5 {
					e.ended = at(1400)
				}
				d.history.addRun(e)
			}
		}, "5 of 10 runs went on after their callers left"},
		{"actions go on after callers left", func(d *deployment) {
			for i := range 10 {
				id := fmt.Sprint("r", i)
				d.history.addRequest(&request{id: id, path: "/once/linger", sent: at(0), ended: at(50), disconnectedAt: at(50)})
				d.history.addRun(&execution{Run: run(id, "plain-1", "plain", 5)})
			}
		}, ""},
		{"runs that began after callers left", func(d *deployment) {
			for i := range 4 {
				id := fmt.Sprint("r", i)
				d.history.addRequest(&request{id: id, path: "/once/x", sent: at(0), ended: at(50), disconnectedAt: at(50)})
				d.history.addRun(&execution{Run: run(id, "plain-1", "plain", 600), ended: at(610)})
			}
		}, "4 runs began after their callers had left"},
		{"too many repeats", func(d *deployment) {
			for i := range 100 {
				id := fmt.Sprint("r", i)
				d.history.addRequest(served(id, "/look/x"))
				d.history.recordRun(run(id, "plain-1", "plain", 5))
				d.history.recordRun(run(id, "plain-1", "plain", 6))
			}
		}, "repeats"},
		{"deadly part runs three times after it is known", func(d *deployment) { recordDeadly(d, at, 3, 200) }, ""},
		{"deadly part runs too often after it is known", func(d *deployment) { recordDeadly(d, at, 4, 200) }, "4 requests with the deadly part ran later"},
		{"sound requests refused beside the deadly part", func(d *deployment) { recordDeadly(d, at, 0, 503) }, "0 of 25 served after 5 crashes, 25 of 25 before"},
		{"a process broke", func(d *deployment) {
			must.NoError(t, os.WriteFile(filepath.Join(d.dir, "vm0.log"), []byte("x\npanic: nil map\n"), 0o600))
		}, "nil map"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, err := grid.New(handoverInterval)
			must.NoError(t, err)
			defer g.Close()
			d := &deployment{Grid: g, t: t, dir: t.TempDir()}
			d.vms = []*vm{{dir: d.dir}}
			d.history.versions = []time.Time{at(-20000), at(-20000)}
			must.NoError(t, os.WriteFile(filepath.Join(d.dir, "vm0.log"), nil, 0o600))
			tc.set(d)
			var crashes []time.Time
			for i := range knownCrashes {
				crashes = append(crashes, at(100*i))
			}
			got := strings.Join(append(d.violations(), d.deadlyViolationsAt(crashes, at(0))...), "\n")
			if tc.want == "" {
				must.Eq(t, "", got)
			} else {
				must.StrContains(t, got, tc.want)
			}
		})
	}
}
