// Package clock provides the one clock type of the program, in milliseconds.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is an instant or a length of time in milliseconds. An instant counts
// from an arbitrary start of its own process and must not be sent to another
// process; a length may be.
type Millis int64

// Second and Minute are lengths of time.
const (
	Second Millis = 1000
	Minute Millis = 60 * Second
	Hour   Millis = 60 * Minute
)

// Duration converts a length of time for use with the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// String formats m as a length of time, such as "1.5s".
func (m Millis) String() string {
	return m.Duration().String()
}

// FromDuration converts d, rounding toward zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock tells the time. The zero value follows the monotonic clock of the
// machine, so that steps of the wall clock do not show.
type Clock struct {
	// manual is nil for the machine's clock.
	manual *atomic.Int64
}

var processStart = time.Now()

// NewManual returns a clock that stands still until it is advanced. Copies
// share the same time.
func NewManual(start Millis) Clock {
	manual := new(atomic.Int64)
	manual.Store(int64(start))
	return Clock{manual: manual}
}

// Now returns the present instant.
func (c Clock) Now() Millis {
	if c.manual != nil {
		return Millis(c.manual.Load())
	}
	return FromDuration(time.Since(processStart)) + Hour
}

// BootNow returns the present instant on a clock that goes on while the machine is
// suspended. Its instants must not be compared with those of Now.
func (c Clock) BootNow() Millis {
	if c.manual != nil {
		return c.Now()
	}
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// A kernel without this clock does not suspend processes unseen.
		return c.Now()
	}
	return Millis(now.Nano() / int64(time.Millisecond))
}

// Advance moves a manual clock forward by d. It does nothing to the machine's
// clock.
func (c Clock) Advance(d Millis) {
	if c.manual != nil {
		c.manual.Add(int64(d))
	}
}

// WallNow returns the machine's wall clock in milliseconds since the Unix
// epoch. It may jump; use it only for times that people or other systems read.
func WallNow() Millis {
	return Millis(time.Now().UnixMilli())
}
