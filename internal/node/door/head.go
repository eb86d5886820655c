package door

import (
	"sync"
	"sync/atomic"

	"mangostile/internal/base/quota"
	"mangostile/internal/base/units"
)

// headHold is the memory of a long head. It may be released while another goroutine resizes it.
type headHold struct {
	// mu guards hold.
	mu   sync.Mutex
	hold *quota.Hold
	// used is true if hold may hold something.
	used atomic.Bool
}

// resize changes the memory held, unless the connection is closed.
func (h *headHold) resize(size units.Bytes, closed *atomic.Bool) error {
	h.mu.Lock()
	h.used.Store(true)
	err := h.hold.Resize(size)
	h.mu.Unlock()
	if closed.Load() {
		h.release()
	}
	return err
}

// release gives the memory back. While resize is at work, it does nothing: the connection that gives way
// may be the one that asks others to.
func (h *headHold) release() {
	if !h.used.Load() || !h.mu.TryLock() {
		return
	}
	defer h.mu.Unlock()
	h.hold.Release()
	h.used.Store(false)
}

// freeHead is the memory of a head that is not counted: the head of an ordinary request fits.
const freeHead = 16 << 10

// HeadMemory is the memory that a head of n bytes takes: each line has its place in a map besides its text,
// and is copied for the backend server; each element of a list, elements of them behind commas, is parsed
// into 16 bytes.
func HeadMemory(n, lines, elements int) units.Bytes {
	return units.Bytes(2*n + 200*lines + 16*elements)
}
