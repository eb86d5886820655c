// Package meter collects the metrics of an entry VM and exposes them in the Prometheus
// text format.
package meter

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// reporter stores the values that tally reports and writes them in the text exposition
// format. The zero value is empty.
type reporter struct {
	mu       sync.Mutex
	families map[string]*family
}

var _ tally.CachedStatsReporter = (*reporter)(nil)

// family holds all series of one metric name.
type family struct {
	kind string
	// series maps the text that labelText returns for a set of labels to their series.
	series map[string]*series
}

// series is the value of one metric with one set of labels.
type series struct {
	// count is a counter's value, or the number of samples in a histogram bucket.
	count atomic.Int64
	// bits holds a gauge's value as float64 bits.
	bits atomic.Uint64
	// buckets holds the buckets of a histogram by upper bound in seconds. mu guards it.
	mu      sync.Mutex
	buckets map[float64]*series
}

func (r *reporter) find(name, kind string, tags map[string]string) *series {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.families == nil {
		r.families = map[string]*family{}
	}
	f := r.families[name]
	if f == nil {
		f = &family{kind: kind, series: map[string]*series{}}
		r.families[name] = f
	}
	labels := labelText(tags)
	s := f.series[labels]
	if s == nil {
		s = &series{}
		f.series[labels] = s
	}
	return s
}

// labelText formats labels sorted by name, without the enclosing braces.
func labelText(tags map[string]string) string {
	parts := make([]string, 0, len(tags))
	for _, name := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, name+"="+strconv.Quote(tags[name]))
	}
	return strings.Join(parts, ",")
}

// Capabilities implements tally.CachedStatsReporter.
func (r *reporter) Capabilities() tally.Capabilities { return r }

// Reporting implements tally.Capabilities.
func (r *reporter) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (r *reporter) Tagging() bool { return true }

// Flush implements tally.CachedStatsReporter.
func (r *reporter) Flush() {}

// AllocateCounter implements tally.CachedStatsReporter.
func (r *reporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return r.find(name, "counter", tags)
}

// AllocateGauge implements tally.CachedStatsReporter.
func (r *reporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return r.find(name, "gauge", tags)
}

// AllocateTimer implements tally.CachedStatsReporter. The meter has no timers; one would
// show its last value as a gauge in seconds.
func (r *reporter) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return r.find(name, "gauge", tags)
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (r *reporter) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return r.find(name, "histogram", tags)
}

// ReportCount implements tally.CachedCount.
func (s *series) ReportCount(value int64) { s.count.Add(value) }

// ReportGauge implements tally.CachedGauge.
func (s *series) ReportGauge(value float64) { s.bits.Store(math.Float64bits(value)) }

// ReportTimer implements tally.CachedTimer.
func (s *series) ReportTimer(interval time.Duration) { s.ReportGauge(interval.Seconds()) }

// ReportSamples implements tally.CachedHistogramBucket.
func (s *series) ReportSamples(value int64) { s.count.Add(value) }

// ValueBucket implements tally.CachedHistogram.
func (s *series) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	if upper == math.MaxFloat64 {
		upper = math.Inf(1)
	}
	return s.bucket(upper)
}

// DurationBucket implements tally.CachedHistogram.
func (s *series) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	if upper == math.MaxInt64 {
		return s.bucket(math.Inf(1))
	}
	return s.bucket(upper.Seconds())
}

func (s *series) bucket(upper float64) *series {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.buckets == nil {
		s.buckets = map[float64]*series{}
	}
	if s.buckets[upper] == nil {
		s.buckets[upper] = &series{}
	}
	return s.buckets[upper]
}

// write writes all metrics, sorted by name and labels.
func (r *reporter) write(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.families)) {
		f := r.families[name]
		fmt.Fprintf(w, "# TYPE %s %s\n", name, f.kind)
		for _, labels := range slices.Sorted(maps.Keys(f.series)) {
			f.series[labels].write(w, f.kind, name, labels)
		}
	}
}

func (s *series) write(w io.Writer, kind, name, labels string) {
	switch kind {
	case "counter":
		fmt.Fprintf(w, "%s%s %d\n", name, withBraces(labels), s.count.Load())
	case "gauge":
		fmt.Fprintf(w, "%s%s %v\n", name, withBraces(labels), math.Float64frombits(s.bits.Load()))
	default:
		s.writeBuckets(w, name, labels)
	}
}

// writeBuckets writes a histogram with cumulative buckets: each counts all samples up to
// its upper bound. It writes no sum of the samples.
func (s *series) writeBuckets(w io.Writer, name, labels string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bounds := slices.SortedFunc(maps.Keys(s.buckets), cmp.Compare[float64])
	var sum int64
	for _, bound := range bounds {
		sum += s.buckets[bound].count.Load()
		if !math.IsInf(bound, 1) {
			fmt.Fprintf(w, "%s_bucket%s %d\n", name, withBraces(joinLabels(labels, fmt.Sprintf("le=%q", fmt.Sprint(bound)))), sum)
		}
	}
	fmt.Fprintf(w, "%s_bucket%s %d\n", name, withBraces(joinLabels(labels, `le="+Inf"`)), sum)
	fmt.Fprintf(w, "%s_count%s %d\n", name, withBraces(labels), sum)
}

func joinLabels(labels, more string) string {
	if labels == "" {
		return more
	}
	return labels + "," + more
}

func withBraces(labels string) string {
	if labels == "" {
		return ""
	}
	return "{" + labels + "}"
}
