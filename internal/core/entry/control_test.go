package entry

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/frame"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
)

func (w *testNet) count(m peer.Message) {
	body, err := frame.Append(nil, 0, m)
	if err != nil {
		panic(err)
	}
	w.bytes[fmt.Sprintf("%T", m)] += len(body)
}

// BenchmarkControl measures the control overhead of one of n entry VMs with 15 engines
// each and 26,000 adapters: bytes and messages sent to others, time in the core, and
// memory. The request load is that of a cluster of 340 nodes: 7 requests per second on
// each entry VM, 8 s each, and one every 2 s for an idle adapter.
func BenchmarkControl(b *testing.B) {
	for _, load := range []struct {
		name     string
		requests int
		cells    int
	}{{"idle", 0, 0}, {"requests", 7, 0}, {"requests_and_edits", 7, 10}} {
		for _, n := range []int{3, 7, 12, 24} {
			b.Run(fmt.Sprintf("%s/nodes=%d", load.name, n), func(b *testing.B) {
				for b.Loop() {
					measureControl(b, n, load.requests, load.cells)
				}
			})
		}
	}
}

// Duration of one measurement, in seconds.
const (
	warmSeconds     = 40
	measuredSeconds = 30
)

func measureControl(b *testing.B, n, requests, cells int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	w := newTestNet(1)
	w.runTime = 8 * clock.Second
	w.addDomain("galle", n, 15*n, 0)
	for i := range w.vms {
		w.vms[i].Slots, w.vms[i].BatchMax = 40, 32
	}
	for _, e := range w.engines {
		e.vm.Slots, e.vm.BatchMax = 40, 32
		for i := range 30 {
			e.resident[units.AdapterVersion{Adapter: units.AdapterName(fmt.Sprintf("a%d", w.random.IntN(26000)+i)), Version: "v1"}] = true
		}
	}
	w.startAll()
	w.runFor(6 * clock.Second)
	w.createAdapters(w.entries()[0], 26000)
	w.runFor(20 * clock.Second)
	entries := w.entries()
	var start time.Time
	for s := range warmSeconds + measuredSeconds {
		if s == warmSeconds {
			w.bytes, w.messages = map[string]int{}, map[string]int{}
			start = time.Now()
		}
		for i := range n {
			for j := range requests {
				adapter := w.random.IntN(20 * n)
				if i == 0 && j == 0 && s%2 == 0 {
					adapter = 1000 + s
				}
				w.sendRequest(entries[i], fmt.Sprintf("request-%d-%d-%d", s, i, j), adapter, units.Fingerprint(s))
			}
		}
		for k := range cells {
			w.edit(fmt.Sprintf("e-%d-%d", s, k), entries[k%n], event.Cell{
				Adapter: units.AdapterName(fmt.Sprint("a", w.random.IntN(26000))), Column: "priority", Value: fmt.Sprint(s % 10),
			})
		}
		w.runFor(clock.Second)
	}
	spent := time.Since(start)
	runtime.GC()
	runtime.ReadMemStats(&after)
	total, messages := 0, 0
	for kind, bytes := range w.bytes {
		total += bytes
		messages += w.messages[kind]
		b.ReportMetric(float64(bytes)/measuredSeconds/float64(n), kind[len("*peer."):]+"_B/s")
	}
	b.ReportMetric(float64(total)/measuredSeconds/float64(n), "B/s")
	b.ReportMetric(float64(messages)/measuredSeconds/float64(n), "messages/s")
	b.ReportMetric(float64(spent.Microseconds())/measuredSeconds/float64(n)/10_000, "core_%")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n)/(1<<20), "MB")
	runtime.KeepAlive(w)
}
