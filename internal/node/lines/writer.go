// Package lines writes log lines asynchronously, so that logging never blocks the program.
package lines

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"mangostile/internal/base/ring"
)

// queueCapacity is the maximum number of queued lines.
const queueCapacity = 4096

// Writer queues lines and writes them from the goroutine that calls Run. If the queue is
// full, lines are dropped and counted. Create it with New.
type Writer struct {
	out     io.Writer
	queue   *ring.Ring[[]byte]
	dropped atomic.Int64
}

var _ io.Writer = (*Writer)(nil)

// New returns a writer to out. Nothing is written until Run is called.
func New(out io.Writer) *Writer {
	return &Writer{out: out, queue: ring.New[[]byte](queueCapacity)}
}

// Write queues one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.queue.Push(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were lost because the queue was full or out
// returned an error. Errors that occur after Run's ctx is done are not counted.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until ctx is done, and then the lines that are still queued. When the
// number of dropped lines has grown, it writes a line with the total. It always returns
// nil.
func (w *Writer) Run(ctx context.Context) error {
	lastReported := int64(0)
	for {
		line, ok := w.queue.Pop(ctx)
		if !ok {
			break
		}
		if _, err := w.out.Write(line); err != nil {
			// A failed output, such as a closed pipe, must not affect requests.
			w.dropped.Add(1)
		}
		if dropped := w.dropped.Load(); dropped > lastReported {
			lastReported = dropped
			_, _ = fmt.Fprintf(w.out, "log_lines_dropped: total=%d\n", dropped)
		}
	}
	for {
		line, ok := w.queue.TryPop()
		if !ok {
			return nil
		}
		_, _ = w.out.Write(line)
	}
}
