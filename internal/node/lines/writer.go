// Package lines writes log lines without ever making the program wait.
package lines

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"mangostile/internal/base/ring"
)

// capacity bounds the lines that wait to be written.
const capacity = 4096

// Writer takes lines and writes them from a duty of its own. Lines that find no
// room are counted and dropped. Make it with New.
type Writer struct {
	out     io.Writer
	queue   *ring.Ring[[]byte]
	dropped atomic.Int64
}

var _ io.Writer = (*Writer)(nil)

// New returns a writer to out; Run must be called for anything to be written.
func New(out io.Writer) *Writer {
	return &Writer{out: out, queue: ring.New[[]byte](capacity)}
}

// Write takes one line. It never waits.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.queue.Push(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped counts the lines that found no room so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until ctx is done, and then those that wait.
func (w *Writer) Run(ctx context.Context) error {
	told := int64(0)
	for {
		line, ok := w.queue.Pop(ctx)
		if !ok {
			break
		}
		if _, err := w.out.Write(line); err != nil {
			// Nobody reads: the lines are lost, the requests go on.
			w.dropped.Add(1)
		}
		if dropped := w.dropped.Load(); dropped > told {
			told = dropped
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
