// Package quota bounds the memory that a process holds for its requests together, so that one backend
// server or caller in trouble does not end the requests of all others.
package quota

import (
	"fmt"
	"sync"
	"time"

	"mangostile/internal/base/units"
)

// heldShare is the share of a process's memory that a Pool gets. The rest is for connections, for what
// the process knows and for the garbage collector.
const heldShare = 0.25

// defaultLimit is the size of a Pool if the process has no limit.
const defaultLimit units.Bytes = 256 << 20

// LimitOf returns the size of a Pool for a process with a limit of memoryMB, 0 for none.
func LimitOf(memoryMB int) units.Bytes {
	if memoryMB == 0 {
		return defaultLimit
	}
	return units.Bytes(heldShare * float64(memoryMB) * (1 << 20))
}

// LargestHold returns the most memory that one holder can have in a process with a limit of memoryMB, 0
// for none: it may not have more than is then left for its owner, nor the owner more than for all others.
func LargestHold(memoryMB int) units.Bytes { return LimitOf(memoryMB) / 3 }

// Owner is on whose account memory is held, such as the address of a backend server.
type Owner string

// Pool is an amount of memory that owners share. No owner may hold more than is then left for all
// others (the dynamic threshold of shared-memory switches): with one in trouble half of the pool is
// left, with two a third. Nor may one holder hold more than is then left for its owner, so that large
// ones give way before small ones. The zero value bounds nothing.
type Pool struct {
	// Limit is the size of the pool; 0 means no bound. It must not change while memory is held.
	Limit units.Bytes
	// GiveWay, if not nil, is called if an owner would hold too much. It makes one that can give way
	// release its memory soon, and reports whether there was one.
	GiveWay func(Owner) bool

	mu sync.Mutex
	// used is the sum of byOwner, which lists the owners that hold memory.
	used    units.Bytes
	byOwner map[Owner]units.Bytes
	refused int64
}

// FullError is returned if an owner would hold too much.
type FullError struct {
	Owner Owner
	// Held is what the owner holds, Limit the size of the pool.
	Held, Limit units.Bytes
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("no memory is left for %s, which holds %d bytes of %d for all", e.Owner, e.Held, e.Limit)
}

// Hold returns a holder of memory on account of an owner, which holds nothing at first. That of a nil
// Pool is nil.
func (p *Pool) Hold(owner Owner) *Hold {
	if p == nil {
		return nil
	}
	return &Hold{pool: p, owner: owner}
}

// Used returns the memory that is held.
func (p *Pool) Used() units.Bytes {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// Refused returns how often memory was refused so far.
func (p *Pool) Refused() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}

// resize changes what a holder of an owner holds. It returns a FullError, and changes nothing, if that
// is more than may be held.
func (p *Pool) resize(owner Owner, from, to units.Bytes) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	used, owned := p.used+to-from, p.byOwner[owner]+to-from
	if to > from && p.Limit > 0 && max(to, 0) > p.Limit-used-owned {
		p.refused++
		return &FullError{Owner: owner, Held: p.byOwner[owner], Limit: p.Limit}
	}
	if p.byOwner == nil {
		p.byOwner = map[Owner]units.Bytes{}
	}
	p.used = used
	if p.byOwner[owner] = owned; owned == 0 {
		delete(p.byOwner, owner)
	}
	return nil
}

// Hold is memory that is held for one purpose. It must be released in the end. It is not safe for
// concurrent use. A nil Hold bounds nothing.
type Hold struct {
	pool  *Pool
	owner Owner
	size  units.Bytes
}

// Resize changes the amount of memory held. If it returns an error, which is a FullError, the amount
// is as before.
func (h *Hold) Resize(size units.Bytes) error {
	if h == nil || size == h.size {
		return nil
	}
	err := h.pool.resize(h.owner, h.size, size)
	for try := 0; err != nil && try < maxGiveWay && h.pool.GiveWay != nil && h.pool.GiveWay(h.owner); try++ {
		time.Sleep(releasePause)
		err = h.pool.resize(h.owner, h.size, size)
	}
	if err != nil {
		return err
	}
	h.size = size
	return nil
}

// maxGiveWay bounds how many others give way to one holder at once, and releasePause is the time in which
// they release their memory.
const (
	maxGiveWay   = 16
	releasePause = 2 * time.Millisecond
)

// Fits reports whether the holder may hold an amount of memory now. A refusal counts.
func (h *Hold) Fits(size units.Bytes) bool {
	if h == nil {
		return true
	}
	before := h.size
	if h.Resize(max(size, before)) != nil {
		return false
	}
	return h.Resize(before) == nil
}

// Release gives all memory back. It may be called several times.
func (h *Hold) Release() {
	if h != nil {
		_ = h.pool.resize(h.owner, h.size, 0)
		h.size = 0
	}
}
