package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/entry"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
	"mangostile/internal/fake/engine"
	"mangostile/internal/fake/stand"
	"mangostile/internal/plat/system"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// benchEngines returns a deployment of count engines with a maximum batch of 128.
func benchEngines(count int, options engine.Options) stand.Options {
	deployment := stand.Options{Engine: options}
	for i := range count {
		deployment.Backends = append(deployment.Backends, event.VM{
			ID: fmt.Sprintf("engine-%02d", i), FailureDomain: "galle", Region: "south", Kind: event.KindEngine, Base: "straw-7b",
			ChecksFence: true, BatchMax: 128,
		})
	}
	return deployment
}

// caller sends streaming requests for one model and measures their latency.
type caller struct {
	client *http.Client
	base   string
	model  string
}

func newCaller(base, model string) *caller {
	return &caller{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}, Timeout: time.Minute}, base, model}
}

// stream sends one request and calls onToken for each event.
func (c *caller) stream(tokens int, onToken func()) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":"seven strand braid","stream":true,"max_tokens":%d}`, c.model, tokens)
	resp, err := c.client.Post(c.base+"/v1/completions", "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	r := bufio.NewReader(resp.Body)
	complete := false
	for {
		line, err := r.ReadString('\n')
		switch {
		case err == io.EOF && complete:
			return nil
		case err != nil:
			return fmt.Errorf("status %d: the stream was cut: %w", resp.StatusCode, err)
		case strings.HasPrefix(line, "data: [DONE]"):
			complete = true
		case strings.HasPrefix(line, "data: {"):
			onToken()
		}
	}
}

// firstToken returns the time to the first token of one stream of 4 tokens.
func (c *caller) firstToken() (took time.Duration, err error) {
	began := time.Now()
	err = c.stream(4, func() {
		if took == 0 {
			took = time.Since(began)
		}
	})
	return took, err
}

// openLoop calls do perSecond times a second for length, without waiting for earlier
// calls to return, and then waits for all calls.
func openLoop(perSecond int, length time.Duration, do func(i int)) {
	var wg sync.WaitGroup
	began := time.Now()
	for i := range int(length.Seconds() * float64(perSecond)) {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(perSecond))))
		wg.Go(func() { do(i) })
	}
	wg.Wait()
}

// percentile returns the p-th percentile in milliseconds.
func percentile(took []time.Duration, p float64) float64 {
	slices.Sort(took)
	return took[int(p/100*float64(len(took)-1))].Seconds() * 1000
}

// benchNode starts one entry VM and loads the adapter with a first request.
func benchNode(b *testing.B, deployment stand.Options) *node {
	b.Helper()
	n := startNodeWith(b, deployment, func(options *Options) { options.Logger = nil })
	b.Cleanup(n.stop)
	must.NoError(b, newCaller(n.serve, "braid").stream(2, func() {}))
	return n
}

const (
	firstTokenRate   = 200
	firstTokenLength = 20 * time.Second
)

// BenchmarkFirstToken compares the time to first token through one entry VM with that of
// direct requests to the stand-in engine. Both alternate in one open loop of 200 requests
// a second each.
func BenchmarkFirstToken(b *testing.B) {
	for b.Loop() {
		n := benchNode(b, benchEngines(1, engine.Options{StepTime: 10 * time.Millisecond, StepPerRequest: time.Microsecond}))
		callers := []*caller{newCaller(n.serve, "braid"), newCaller("http://"+n.standin.Backends[0].Address, "braid@v1")}
		var mu sync.Mutex
		var took [2][]time.Duration
		var failed atomic.Int64
		openLoop(2*firstTokenRate, firstTokenLength, func(i int) {
			first, err := callers[i%2].firstToken()
			if err != nil {
				failed.Add(1)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			took[i%2] = append(took[i%2], first)
		})
		for _, p := range []float64{50, 99} {
			through, straight := percentile(took[0], p), percentile(took[1], p)
			b.ReportMetric(through, fmt.Sprintf("through_p%v_ms", p))
			b.ReportMetric(straight, fmt.Sprintf("straight_p%v_ms", p))
			b.ReportMetric(through-straight, fmt.Sprintf("more_p%v_ms", p))
		}
		b.ReportMetric(float64(failed.Load()), "failed")
	}
}

const (
	concurrentStreams = 2000
	streamTokens      = 400
	streamTokenPeriod = 50 * time.Millisecond
	// streamRamp is the time over which the streams are started.
	streamRamp = 10 * time.Second
)

// BenchmarkStreamsHeld measures the gaps between tokens of 2,000 concurrent streams
// through one entry VM.
func BenchmarkStreamsHeld(b *testing.B) {
	for b.Loop() {
		n := benchNode(b, benchEngines(24, engine.Options{StepTime: streamTokenPeriod, StepPerRequest: time.Nanosecond}))
		c := newCaller(n.serve, "braid")
		var mu sync.Mutex
		var gaps []time.Duration
		var failed atomic.Int64
		maxOpen := 0
		watched, stop := context.WithCancel(context.Background())
		go func() {
			for watched.Err() == nil {
				maxOpen = max(maxOpen, n.server.edge.OpenRequests())
				time.Sleep(10 * time.Millisecond)
			}
		}()
		openLoop(int(concurrentStreams/streamRamp.Seconds()), streamRamp, func(int) {
			var own []time.Duration
			before := time.Time{}
			err := c.stream(streamTokens, func() {
				now := time.Now()
				if !before.IsZero() {
					own = append(own, now.Sub(before))
				}
				before = now
			})
			if err != nil {
				failed.Add(1)
			}
			mu.Lock()
			defer mu.Unlock()
			gaps = append(gaps, own...)
		})
		stop()
		b.ReportMetric(float64(maxOpen), "held")
		b.ReportMetric(float64(failed.Load()), "failed")
		b.ReportMetric(percentile(gaps, 50), "gap_p50_ms")
		b.ReportMetric(percentile(gaps, 95), "gap_p95_ms")
		b.ReportMetric(percentile(gaps, 99), "gap_p99_ms")
	}
}

// tableSystem is a platform whose log holds a table of many adapters, generated when it
// is read.
type tableSystem struct {
	system.System
	edits int
}

const (
	tableAdapters = 26_000
	rowsPerEdit   = 100
)

// ReadRecords implements system.System.
func (s *tableSystem) ReadRecords(ctx context.Context, stream units.StreamName, from units.Offset, wait clock.Millis) (system.RecordBatch, error) {
	end := units.Offset(0)
	if stream == event.ConfigStream {
		end = units.Offset(s.edits)
	}
	batch := system.RecordBatch{Next: from, End: end}
	if from >= end {
		sleep(ctx, wait.Duration())
		return batch, ctx.Err()
	}
	edit := event.Edit{ID: units.RecordID(fmt.Sprintf("edit-%d", from)), Author: "bench"}
	for i := range rowsPerEdit {
		adapter := units.AdapterName(fmt.Sprintf("adapter-%06d", int(from)*rowsPerEdit+i))
		for _, cell := range [][2]string{{"base", "straw-7b"}, {"versions", "v1:9,v2:1"}, {"callers", "village-app,exporter-app"}, {"priority", "1"}} {
			edit.Cells = append(edit.Cells, event.Cell{Adapter: adapter, Column: cell[0], Value: cell[1]})
		}
	}
	body, err := msgpack.Marshal(edit)
	batch.Records = []peer.Record{{Offset: from, ID: edit.ID, Body: body}}
	batch.Next = from + 1
	return batch, err
}

// AppendRecords implements system.System.
func (s *tableSystem) AppendRecords(context.Context, units.StreamName, []system.NewRecord) (units.Offset, error) {
	return 0, nil
}

// ListVMs implements system.System.
func (s *tableSystem) ListVMs(context.Context) ([]event.VM, error) { return nil, nil }

// BenchmarkIdleMemory measures the heap of an idle entry VM with 26,000 adapters.
func BenchmarkIdleMemory(b *testing.B) {
	for b.Loop() {
		before := heapInUse()
		n := &node{t: b, ended: make(chan error, 1), client: &http.Client{}}
		standin, err := stand.Start(stand.Options{})
		must.NoError(b, err)
		n.standin = standin
		options := n.options(b)
		options.System = &tableSystem{edits: tableAdapters / rowsPerEdit}
		options.Logger = nil
		n.server = New(options)
		go func() { n.ended <- n.server.Run(context.Background()) }()
		waitUntil(b, n.server.Ready)
		rows := 0
		waitUntil(b, func() bool {
			n.server.Query(context.Background(), func(c *entry.Core) { rows = len(c.Table.Rows()) })
			return rows == tableAdapters
		})
		b.ReportMetric(float64(heapInUse()-before)/(1<<20), "heap_MiB")
		b.ReportMetric(float64(rows), "adapters")
		n.stop()
	}
}

func heapInUse() int64 {
	var stats runtime.MemStats
	for range 3 {
		runtime.GC()
	}
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse)
}
