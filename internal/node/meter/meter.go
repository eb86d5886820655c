package meter

import (
	"io"
	"strconv"
	"time"

	"mangostile/internal/base/errs"
	"mangostile/internal/base/quota"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// reportPeriod is the maximum age of the values that Write returns.
const reportPeriod = time.Second

// Meter collects the metrics of an entry VM. Create it with New; all methods of a nil
// Meter do nothing.
type Meter struct {
	reporter reporter
	scope    tally.Scope
	closer   io.Closer

	firstToken   tally.Histogram
	tokenGap     tally.Histogram
	loadStall    tally.Histogram
	appendTime   tally.Histogram
	processDelay tally.Histogram
}

// latencyBuckets are the upper bounds of the histogram buckets for the latency of a first
// token, a load, an append or a delay; gapBuckets are those for the time between two tokens.
var (
	latencyBuckets = tally.DurationBuckets{
		time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
		100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, 720 * time.Millisecond, time.Second, 2 * time.Second,
		5 * time.Second, 10 * time.Second, 30 * time.Second,
	}
	gapBuckets = tally.DurationBuckets{
		time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 35 * time.Millisecond,
		55 * time.Millisecond, 80 * time.Millisecond, 150 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second,
	}
)

// New returns a meter. It runs a reporting goroutine until it is closed.
func New() *Meter {
	m := &Meter{}
	options := tally.ScopeOptions{Prefix: "mangostile", Separator: "_", CachedReporter: &m.reporter, OmitCardinalityMetrics: true}
	m.scope, m.closer = tally.NewRootScope(options, reportPeriod)
	m.firstToken = m.scope.Histogram("first_token_seconds", latencyBuckets)
	m.tokenGap = m.scope.Histogram("token_gap_seconds", gapBuckets)
	m.loadStall = m.scope.Histogram("load_stall_seconds", latencyBuckets)
	m.appendTime = m.scope.Histogram("append_seconds", latencyBuckets)
	m.processDelay = m.scope.Histogram("process_delay_seconds", latencyBuckets)
	return m
}

// Close reports all values once more and stops the meter.
func (m *Meter) Close() error {
	if m == nil {
		return nil
	}
	return errors.Wrap(m.closer.Close(), "close meter")
}

// Write writes all metrics in the Prometheus text exposition format. Values are up to one
// second old.
func (m *Meter) Write(w io.Writer) {
	if m != nil {
		m.reporter.write(w)
	}
}

// Answered counts an answer by its HTTP status.
func (m *Meter) Answered(status int) {
	if m != nil {
		m.scope.Tagged(map[string]string{"code": strconv.Itoa(status)}).Counter("requests_total").Inc(1)
	}
}

// Refused counts a refusal by its code and by whether the request may have run.
func (m *Meter) Refused(refusal *errs.Refusal) {
	if m != nil {
		tags := map[string]string{"code": string(refusal.Code), "ran": string(refusal.Ran)}
		m.scope.Tagged(tags).Counter("refusals_total").Inc(1)
	}
}

// Attempted counts an attempt at a backend server by its result.
func (m *Meter) Attempted(result string) {
	if m != nil {
		m.scope.Tagged(map[string]string{"result": result}).Counter("attempts_total").Inc(1)
	}
}

// FirstToken records the time from a request's arrival to the first part of its answer.
func (m *Meter) FirstToken(took time.Duration) {
	if m != nil {
		m.firstToken.RecordDuration(took)
	}
}

// TokenGap records the time between two parts of a stream.
func (m *Meter) TokenGap(took time.Duration) {
	if m != nil {
		m.tokenGap.RecordDuration(took)
	}
}

// LoadStalled records the time that a request waited for its adapter to be loaded.
func (m *Meter) LoadStalled(took time.Duration) {
	if m != nil {
		m.loadStall.RecordDuration(took)
	}
}

// Appended counts the records of one append to the log service and records its latency.
func (m *Meter) Appended(result string, records int, took time.Duration) {
	if m != nil {
		m.scope.Tagged(map[string]string{"result": result}).Counter("append_records_total").Inc(int64(records))
		m.appendTime.RecordDuration(took)
	}
}

// Forwarded counts the bytes of requests forwarded to a region and of their answers.
func (m *Meter) Forwarded(region string, bytes int) {
	if m != nil {
		m.scope.Tagged(map[string]string{"region": region}).Counter("forwarded_bytes_total").Inc(int64(bytes))
	}
}

// Held sets the memory that requests hold together, and how often more was refused.
func (m *Meter) Held(p *quota.Pool) {
	m.Set("held_bytes", float64(p.Used()))
	m.Set("held_refused", float64(p.Refused()))
}

// Set sets a gauge. tags are alternating label names and values. A gauge that is no longer
// set keeps its last value.
func (m *Meter) Set(name string, value float64, tags ...string) {
	if m == nil {
		return
	}
	scope := m.scope
	if len(tags) > 0 {
		tagged := map[string]string{}
		for i := 0; i+1 < len(tags); i += 2 {
			tagged[tags[i]] = tags[i+1]
		}
		scope = scope.Tagged(tagged)
	}
	scope.Gauge(name).Update(value)
}
