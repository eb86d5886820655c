package origin

import (
	"maps"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"

	"github.com/pkg/errors"
)

// Times and limits of a Backlog.
const (
	// ConfirmTimeout is how long the confirmation of a recorder is awaited: some steps, an append and
	// the way there and back.
	ConfirmTimeout = 600 * clock.Millis(1)
	// appendRetry is the time between two appends after one that failed.
	appendRetry = clock.Second
	// MaxBatchKeys is the number of starts in one append, or handed over at once: 9 bytes each.
	MaxBatchKeys = 8192
)

// Batch lists streams that began at one version.
type Batch struct {
	Software topo.Software `msgpack:"v"`
	// Service is as in Start.
	Service units.ServiceName `msgpack:"sv,omitempty"`
	// Remaining is the longest time in ms for which a caller may still take up one of the streams; it
	// is positive.
	Remaining clock.Millis `msgpack:"r"`
	Keys      []Key        `msgpack:"k"`
}

// Check returns an error if b breaks an invariant of its type.
func (b *Batch) Check() error {
	if b.Remaining <= 0 || len(b.Keys) > MaxBatchKeys {
		return errors.Errorf("a batch of %d starts that are kept for %d ms", len(b.Keys), b.Remaining)
	}
	return CheckOrigin(b.Service, b.Software)
}

// HandoffNumber identifies a handoff among those of its sender, those of its previous processes included.
type HandoffNumber uint64

// Handoff is some batches that a recorder is to append.
type Handoff struct {
	Number HandoffNumber
	// From and Address are those of the sender, empty in a handoff to send.
	From    units.EntryVMID
	Address string
	Batches []Batch
}

func (h *Handoff) keys() int {
	n := 0
	for i := range h.Batches {
		n += len(h.Batches[i].Keys)
	}
	return n
}

// Recording is what a Backlog needs to know to decide who appends.
type Recording struct {
	// Several reports whether streams of a route may have begun at more than one version in the last
	// window.
	Several func(route RouteKey, window clock.Millis) bool
	// HasRecorder reports that another entry VM appends for this one, HandoffInterval is the least time
	// between two handoffs to it.
	HasRecorder     bool
	HandoffInterval clock.Millis
	// AppendInterval is the least time between two appends of own starts.
	AppendInterval clock.Millis
}

// Backlog decides how the starts of streams get into the store, where every entry VM finds them whichever
// others are lost. Only starts of routes with several versions are needed there. A recorder
// appends those of many entry VMs in one call; what it doesn't confirm, each appends itself. The zero
// value is empty.
type Backlog struct {
	// waiting holds the own starts that are not on their way to the store, by route, oldest first.
	waiting map[RouteKey][]waitingStart
	// handed holds the own starts whose confirmation is awaited, by the number of the handoff.
	handed     map[HandoffNumber]handedStarts
	lastNumber HandoffNumber
	// own holds the own starts to append, received the handoffs of others.
	own      []waitingStart
	received []Handoff
	// appending and confirming are those of the append whose result is awaited.
	appending  []waitingStart
	confirming []Handoff
	// handoffAt is the earliest time of the next handoff, ownAt that of the next append of own starts, and
	// appendAt that of any.
	handoffAt, ownAt, appendAt clock.Millis
}

type waitingStart struct {
	Start
	until clock.Millis
}

type handedStarts struct {
	starts    []waitingStart
	confirmBy clock.Millis
}

// Add records the start of a stream of a route at this entry VM.
func (b *Backlog) Add(now clock.Millis, route RouteKey, start Start) {
	if b.waiting == nil {
		b.waiting = map[RouteKey][]waitingStart{}
	}
	list := append(b.waiting[route], waitingStart{Start: start, until: now + min(start.Remaining, MaxLifetime)})
	b.waiting[route] = list[max(0, len(list)-MaxStarts):]
}

// Receive records a handoff of another entry VM.
func (b *Backlog) Receive(h Handoff) {
	if len(b.received) < maxReceived {
		b.received = append(b.received, h)
	}
}

// maxReceived is the number of handoffs that wait for the next append. The sender of one beyond appends
// its starts itself.
const maxReceived = 1024

// Confirm handles that the recorder has appended a handoff.
func (b *Backlog) Confirm(number HandoffNumber) { delete(b.handed, number) }

// Next returns what to do now: the handoff to send to the recorder, nil if there is none, and the batches to
// append, whose result the caller passes to Appended before the next call.
func (b *Backlog) Next(now clock.Millis, r Recording) (handoff *Handoff, appends []Batch) {
	for _, number := range slices.Sorted(maps.Keys(b.handed)) {
		if h := b.handed[number]; now >= h.confirmBy {
			b.own = append(b.own, h.starts...)
			delete(b.handed, number)
		}
	}
	switch {
	case !r.HasRecorder:
		b.own = append(b.own, b.take(now, r.Several)...)
	case now >= b.handoffAt:
		handoff = b.handOver(now, r)
	}
	b.own = slices.DeleteFunc(b.own, func(s waitingStart) bool { return now >= s.until })
	b.own = b.own[max(0, len(b.own)-MaxStarts):]
	if now < b.appendAt {
		return handoff, nil
	}
	if now >= b.ownAt && len(b.own) > 0 {
		n := min(len(b.own), MaxBatchKeys)
		b.appending, b.own = b.own[:n:n], b.own[n:]
		b.ownAt = now + r.AppendInterval
		appends = batches(now, b.appending)
	}
	for n := len(b.appending); len(b.received) > 0 && n < maxAppendKeys; b.received = b.received[1:] {
		n += b.received[0].keys()
		b.confirming = append(b.confirming, b.received[0])
		for _, batch := range b.received[0].Batches {
			appends = addBatch(appends, batch)
		}
	}
	return handoff, appends
}

// handOver returns the handoff of the starts that are needed in the store, nil if there are none.
func (b *Backlog) handOver(now clock.Millis, r Recording) *Handoff {
	ready := b.take(now, r.Several)
	if len(ready) == 0 {
		return nil
	}
	if b.handed == nil {
		b.handed = map[HandoffNumber]handedStarts{}
	}
	// Numbers follow the time, so that a late confirmation to a previous process matches none.
	b.lastNumber = max(b.lastNumber+1, HandoffNumber(now))
	b.handed[b.lastNumber] = handedStarts{ready, now + ConfirmTimeout}
	b.handoffAt = now + r.HandoffInterval
	return &Handoff{Number: b.lastNumber, Batches: batches(now, ready)}
}

// maxAppendKeys is the number of starts in one append from which no further handoffs are added to it.
const maxAppendKeys = 8 * MaxBatchKeys

// take removes and returns the waiting starts of routes with several versions.
func (b *Backlog) take(now clock.Millis, several func(route RouteKey, window clock.Millis) bool) (ready []waitingStart) {
	for _, route := range slices.Sorted(maps.Keys(b.waiting)) {
		list := b.waiting[route]
		for len(list) > 0 && now >= list[0].until {
			list = list[1:]
		}
		window := clock.Millis(0)
		for i := range list {
			window = max(window, list[i].Remaining)
		}
		if len(list) > 0 && several(route, window) {
			n := min(len(list), MaxBatchKeys-len(ready))
			ready = append(ready, list[:n]...)
			list = list[n:]
		}
		b.waiting[route] = list
		if len(list) == 0 {
			delete(b.waiting, route)
		}
	}
	return ready
}

// Appended handles the result of the append and returns the handoffs to confirm. Without success the own
// starts are appended again, and the senders of the others do so themselves.
func (b *Backlog) Appended(now clock.Millis, ok bool) (confirm []Handoff) {
	if ok {
		confirm = b.confirming
	} else {
		b.own = append(b.appending, b.own...)
		b.appendAt = now + appendRetry
	}
	b.appending, b.confirming = nil, nil
	return confirm
}

// batches groups the starts that have not expired by version.
func batches(now clock.Millis, starts []waitingStart) []Batch {
	var list []Batch
	for _, s := range starts {
		if now >= s.until {
			continue
		}
		list = addBatch(list, Batch{Software: s.Software, Service: s.Service, Remaining: s.until - now, Keys: []Key{s.Key}})
	}
	return list
}

// addBatch adds a batch to a list, as a part of one for the same version if that has room.
func addBatch(list []Batch, added Batch) []Batch {
	for i := range list {
		if b := &list[i]; b.Software == added.Software && b.Service == added.Service && len(b.Keys)+len(added.Keys) <= MaxBatchKeys {
			b.Keys = append(b.Keys, added.Keys...)
			b.Remaining = max(b.Remaining, added.Remaining)
			return list
		}
	}
	return append(list, added)
}
