//go:build wholerun

package slopes

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/frame"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/once"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/table"

	"github.com/shoenig/test/must"
)

var recordDir = flag.String("record", "", "`directory` to write slopes.json and slopes.md to")

// The target size, at which the fits are evaluated.
const (
	targetMembers       = 24
	targetServers       = 357
	targetDomains       = 14
	targetRows          = 26000
	targetRate          = 7 // 2,400 requests/s over 340 entry VMs
	targetVMs           = 5340
	targetExecutionTime = 17 * clock.Second // 317 tokens at 55 ms
	targetResident      = 8
)

// series holds one quantity at several sizes and its linear fit by least squares: the value
// is Base + Slope × size, and AtTarget at the size Target.
type series struct {
	Name     string    `json:"name"`
	Per      string    `json:"of"`
	Unit     string    `json:"unit"`
	Sizes    []float64 `json:"sizes"`
	Values   []float64 `json:"values"`
	Base     float64   `json:"base"`
	Slope    float64   `json:"slope"`
	Target   float64   `json:"target"`
	AtTarget float64   `json:"at_target"`
}

func (s *series) add(size, value float64) {
	s.Sizes = append(s.Sizes, size)
	s.Values = append(s.Values, value)
}

func (s *series) fit() {
	n := float64(len(s.Sizes))
	var x, y, xx, xy float64
	for i := range s.Sizes {
		x += s.Sizes[i]
		y += s.Values[i]
		xx += s.Sizes[i] * s.Sizes[i]
		xy += s.Sizes[i] * s.Values[i]
	}
	s.Slope = (n*xy - x*y) / (n*xx - x*x)
	s.Base = (y - s.Slope*x) / n
	s.AtTarget = s.Base + s.Slope*s.Target
}

// TestSlopes measures all series, logs their fits and, with the flag record, writes them to
// files. It sets no limit to the values and fails only if a simulated deployment does.
func TestSlopes(t *testing.T) {
	var all []*series
	for _, measure := range []func(*testing.T) []*series{membersSlopes, requestSlopes, residentSlopes, domainSlopes, editSlopes, tableSlopes, listSlopes, actionSlopes} {
		all = append(all, measure(t)...)
	}
	for _, s := range all {
		s.fit()
		t.Logf("%s: %.4g + %.4g %s a %s; %.4g at %g (measured %.4g at %v)", s.Name, s.Base, s.Slope, s.Unit, s.Per, s.AtTarget, s.Target, s.Values, s.Sizes)
	}
	if *recordDir == "" {
		return
	}
	body, err := json.MarshalIndent(all, "", "  ")
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(filepath.Join(*recordDir, "slopes.json"), append(body, '\n'), 0o644))
	must.NoError(t, os.WriteFile(filepath.Join(*recordDir, "slopes.md"), []byte(markdownPage(all)), 0o644))
}

// deploymentSeries measures a deployment of each size and returns a series for each
// quantity.
func deploymentSeries(t *testing.T, name, per string, target float64, sizes []float64, at func(size float64) deployment) []*series {
	quantities := []struct {
		name, unit string
		value      func(m *measured) float64
	}{
		{"peer links, sent", "B/s", func(m *measured) float64 { return m.SentBytes }},
		{"peer links, sent as heartbeats", "B/s", func(m *measured) float64 { return m.ByKind["Heartbeat"] }},
		{"peer links, sent as grant messages", "B/s", func(m *measured) float64 {
			return m.ByKind["GrantRequest"] + m.ByKind["GrantReply"] + m.ByKind["GrantRelease"]
		}},
		{"peer links, received", "B/s", func(m *measured) float64 { return m.ReceivedBytes }},
		{"messages sent", "1/s", func(m *measured) float64 { return m.SentMessages }},
		{"backend servers' reports", "B/s", func(m *measured) float64 { return m.BackendBytes }},
		{"processor time of the core and of coding messages", "of a core", func(m *measured) float64 { return m.CoreShare }},
	}
	var all []*series
	for _, q := range quantities {
		all = append(all, &series{Name: name + ": " + q.name, Per: per, Unit: q.unit, Target: target})
	}
	for _, size := range sizes {
		m := newNode(t, at(size)).measure()
		for i, q := range quantities {
			all[i].add(size, q.value(&m))
		}
	}
	return all
}

func membersSlopes(t *testing.T) []*series {
	return deploymentSeries(t, "failure domain, 15 replicas an entry VM", "entry VM of the failure domain", targetMembers, []float64{6, 12, 18, 24}, func(size float64) deployment {
		members := int(size)
		return deployment{
			members: members, servers: members * targetServers / targetMembers, domains: 1, rows: 4000, residents: targetResident,
			rate: targetRate, executionTime: targetExecutionTime,
		}
	})
}

func requestSlopes(t *testing.T) []*series {
	return deploymentSeries(t, "requests at 24 entry VMs", "request a second", targetRate, []float64{0, 3.5, 7, 14}, func(size float64) deployment {
		return deployment{
			members: targetMembers, servers: targetServers, domains: 1, rows: 4000, residents: targetResident, rate: size, executionTime: targetExecutionTime,
		}
	})
}

func residentSlopes(t *testing.T) []*series {
	return deploymentSeries(t, "adapters on an engine at 24 entry VMs", "resident adapter", targetResident, []float64{2, 4, 8, 16}, func(size float64) deployment {
		return deployment{
			members: targetMembers, servers: targetServers, domains: 1, rows: 8000, residents: int(size), rate: 1, executionTime: targetExecutionTime,
		}
	})
}

// domainSlopes measures the delegate of a failure domain, which sends summaries of its
// own domain to the others.
func domainSlopes(t *testing.T) []*series {
	sent := &series{Name: "failure domains: summaries sent by a delegate", Per: "failure domain", Unit: "B/s", Target: targetDomains}
	for _, domains := range []int{1, 4, 8, 14} {
		m := newNode(t, deployment{members: 3, servers: 6, domains: domains, rows: 100, residents: 1}).measure()
		sent.add(float64(domains), m.ByKind["DomainSummary"])
	}
	return []*series{sent}
}

// editSlopes measures the records of edits and the messages that forward them.
func editSlopes(t *testing.T) []*series {
	body := &series{Name: "edits: record in the log", Per: "cell", Unit: "B", Target: 1}
	message := &series{Name: "edits: message that passes one record on", Per: "cell", Unit: "B", Target: 1}
	n := &node{t: t, deployment: deployment{rows: targetRows}}
	for _, cells := range []int{1, 10, 100, 1000} {
		edit := event.Edit{ID: "edit-9908a5dc-b610-4840-9e8d-000000000000", Author: "operator", AtMillis: 1_790_000_000_000}
		for i := range cells {
			edit.Cells = append(edit.Cells, event.Cell{Adapter: n.adapter(i).Adapter, Column: "versions", Value: "v1:90,v2:10", ReadAt: 100_000})
		}
		record := n.record(edit, 100_000)
		buf, err := frame.Append(nil, 1, &peer.ConfigRecords{From: record.Offset, Records: []peer.Record{record}})
		must.NoError(t, err)
		body.add(float64(cells), float64(len(record.Body)))
		message.add(float64(cells), float64(len(buf)))
	}
	return []*series{body, message}
}

// liveHeapBytes returns the bytes of live objects on the heap.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// tableSlopes measures the table's memory and snapshot, and the times to encode and restore
// the snapshot and to apply an edit.
func tableSlopes(t *testing.T) []*series {
	memory := &series{Name: "table: memory", Per: "row", Unit: "B", Target: targetRows}
	snapshot := &series{Name: "table: snapshot", Per: "row", Unit: "B", Target: targetRows}
	encode := &series{Name: "table: time to encode a snapshot", Per: "row", Unit: "ms", Target: targetRows}
	restore := &series{Name: "table: time to restore a snapshot", Per: "row", Unit: "ms", Target: targetRows}
	apply := &series{Name: "table: time to fold an edit of one cell", Per: "row", Unit: "us", Target: targetRows}
	for _, rows := range []int{1000, 5000, 10000, 26000} {
		n := &node{t: t, deployment: deployment{rows: rows}}
		before := liveHeapBytes()
		var source table.Table
		for i := range rows {
			source.Fold(n.record(event.Edit{ID: units.RecordID(fmt.Sprintf("import-%d", i)), Author: "operator", Cells: []event.Cell{
				{Adapter: n.adapter(i).Adapter, Column: "base", Value: "straw-7b"},
				{Adapter: n.adapter(i).Adapter, Column: "versions", Value: "v1:90,v2:10"},
				{Adapter: n.adapter(i).Adapter, Column: "callers", Value: "village-app"},
			}}, i))
		}
		memory.add(float64(rows), liveHeapBytes()-before)
		start := time.Now()
		body, err := source.Snapshot()
		must.NoError(t, err)
		encode.add(float64(rows), time.Since(start).Seconds()*1000)
		snapshot.add(float64(rows), float64(len(body)))
		var restored table.Table
		start = time.Now()
		newer, err := restored.Restore(body)
		must.NoError(t, err)
		must.True(t, newer)
		restore.add(float64(rows), time.Since(start).Seconds()*1000)
		const edits = 2000
		records := make([]peer.Record, edits)
		for i := range records {
			records[i] = n.record(event.Edit{ID: units.RecordID(fmt.Sprintf("edit-%d", i)), Author: "operator", Cells: []event.Cell{
				{Adapter: n.adapter(i).Adapter, Column: "weight", Value: "7", ReadAt: source.Next()},
			}}, rows+i)
		}
		start = time.Now()
		for i := range records {
			source.Fold(records[i])
		}
		apply.add(float64(rows), time.Since(start).Seconds()*1e6/edits)
		runtime.KeepAlive(&source)
	}
	return []*series{memory, snapshot, encode, restore, apply}
}

// listSlopes measures the size of the list of VMs and the time to decode and apply it.
func listSlopes(t *testing.T) []*series {
	size := &series{Name: "list of VMs: one answer", Per: "VM", Unit: "B", Target: targetVMs}
	apply := &series{Name: "list of VMs: time to decode and take up", Per: "VM", Unit: "ms", Target: targetVMs}
	for _, domains := range []int{1, 4, 8, 14} {
		n := newNode(t, deployment{members: targetMembers, servers: targetServers, domains: domains, rows: 100, residents: 1})
		body, err := json.Marshal(map[string]any{"vms": n.vms})
		must.NoError(t, err)
		size.add(float64(len(n.vms)), float64(len(body)))
		const times = 20
		start := time.Now()
		for range times {
			var answer struct {
				VMs []event.VM `json:"vms"`
			}
			must.NoError(t, json.Unmarshal(body, &answer))
			n.step(event.VMsListed{VMs: answer.VMs})
		}
		apply.add(float64(len(n.vms)), time.Since(start).Seconds()*1000/times)
	}
	return []*series{size, apply}
}

// actionSlopes measures the records and the memory of actions. Each action appends an
// intent and an outcome.
func actionSlopes(t *testing.T) []*series {
	bytes := &series{Name: "actions: bytes in the log, 300 B outcomes", Per: "action", Unit: "B", Target: 1}
	memory := &series{Name: "actions: memory where its stream is followed", Per: "remembered action", Unit: "B", Target: 36000}
	for _, actions := range []int{2000, 8000, 16000} {
		before := liveHeapBytes()
		var ledger once.Ledger
		var out event.Effects
		total := 0
		var records []peer.Record
		key := once.Scope("village-app", "ledger", "0199a1f0-0000-7000-8000-000000000000")
		ledger.Follow(0, key, "r", &out)
		stream := once.StreamOf(key)
		for i := range actions {
			actionKey := once.Scope("village-app", "ledger", fmt.Sprintf("0199a1f0-0000-7000-8000-%012d", i))
			request := units.RequestID(fmt.Sprintf("9908a5dc-b610-4840-9e8d-%012d", i))
			for _, entry := range []once.Entry{
				{Key: actionKey, Digest: 1, Request: request},
				{Key: actionKey, Digest: 1, Request: request, Outcome: &once.Outcome{Status: 200, ContentType: "application/json", Body: make([]byte, 300)}},
			} {
				body := once.Encode(entry)
				total += len(body)
				records = append(records, peer.Record{Offset: units.Offset(len(records)), ID: units.RecordID("intent-" + string(request)), At: keyEpoch, Body: body})
			}
		}
		ledger.Fold(event.RecordsRead{Stream: stream, Records: records, Next: units.Offset(len(records)), End: units.Offset(len(records))}, &out)
		records = nil
		out.Reset()
		memory.add(float64(actions), liveHeapBytes()-before)
		bytes.add(float64(actions), float64(total))
		runtime.KeepAlive(&ledger)
	}
	return []*series{bytes, memory}
}

// keyEpoch is the creation time in the keys of actionSlopes, which are UUIDs of version 7.
const keyEpoch clock.Millis = 0x0199a1f00000

func markdownPage(all []*series) string {
	var text strings.Builder
	text.WriteString(`# Slopes of one entry VM

Written by the command below. One core with its codec runs in virtual time; its
peers, backend servers and callers are made-up messages of the real types. Fits are
by least squares, value = base + slope × size.

    go test -tags wholerun -count 1 -timeout 10m ./internal/oper/slopes -args -record ../../../docs/measurements

`)
	fmt.Fprintf(&text, "Date %s, %s, %d processors, other builds at work on the machine.\n\n", time.Now().UTC().Format(time.RFC3339), runtime.Version(), runtime.NumCPU())
	text.WriteString("| quantity | unit | sizes | measured | base | slope, each | at the target size |\n|---|---|---|---|---|---|---|\n")
	for _, s := range all {
		fmt.Fprintf(&text, "| %s | %s | %s | %s | %.4g | %.4g a %s | %.4g at %g |\n", s.Name, s.Unit, formatValues(s.Sizes), formatValues(s.Values), s.Base, s.Slope, s.Per, s.AtTarget, s.Target)
	}
	return text.String()
}

func formatValues(values []float64) string {
	parts := make([]string, len(values))
	for i, v := range values {
		parts[i] = fmt.Sprintf("%.4g", v)
	}
	return strings.Join(parts, ", ")
}
