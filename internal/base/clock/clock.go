// Package clock provides the program's clock, with a resolution of one millisecond.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is an instant or a duration in milliseconds. The origin of an instant is
// arbitrary and differs between processes, so an instant must not be sent to another
// process; a duration may be.
type Millis int64

// Second, Minute and Hour are durations.
const (
	Second Millis = 1000
	Minute Millis = 60 * Second
	Hour   Millis = 60 * Minute
)

// Duration converts m, a duration, to that of the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// String formats m as a duration, such as "1.5s".
func (m Millis) String() string {
	return m.Duration().String()
}

// FromDuration converts d to milliseconds, rounding toward zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock is a source of time. The zero value uses the monotonic clock of the machine and
// so is not affected by changes of the wall clock.
type Clock struct {
	// manual is the time of a manual clock, in ms; nil selects the machine's clock.
	manual *atomic.Int64
}

var processStart = time.Now()

// NewManual returns a clock whose time changes only by Advance. Its copies share the same
// time.
func NewManual(start Millis) Clock {
	manual := new(atomic.Int64)
	manual.Store(int64(start))
	return Clock{manual: manual}
}

// Now returns the current instant. That of the machine's clock is at least Hour, so that the
// zero Millis lies in the past.
func (c Clock) Now() Millis {
	if c.manual != nil {
		return Millis(c.manual.Load())
	}
	return FromDuration(time.Since(processStart)) + Hour
}

// BootNow returns the current instant of a clock that also runs while the machine is
// suspended. Placers' leases are measured by it, so that none still seems valid after the
// machine slept past its end. Its instants must not be compared with those of Now.
func (c Clock) BootNow() Millis {
	if c.manual != nil {
		return c.Now()
	}
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// A kernel that lacks this clock never suspends a process without its knowledge,
		// so Now is enough.
		return c.Now()
	}
	return Millis(now.Nano() / int64(time.Millisecond))
}

// Advance moves a manual clock forward by d. It has no effect on the machine's clock.
func (c Clock) Advance(d Millis) {
	if c.manual != nil {
		c.manual.Add(int64(d))
	}
}

// WallNow returns the wall clock in milliseconds since the Unix epoch. It may jump, so use
// it only for times that people or other systems read.
func WallNow() Millis {
	return Millis(time.Now().UnixMilli())
}
