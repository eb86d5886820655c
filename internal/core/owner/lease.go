package owner

import (
	"fmt"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/lease"

	"github.com/vmihailenco/msgpack/v5"
)

// LeaseRenewPeriod is the interval between lease records of one owner.
const LeaseRenewPeriod = clock.Second

// freezeDelay is how long an owner without the lease tries to acquire it before it serves
// the loaded adapters without it. After a lapse of its own lease it does so at once.
const freezeDelay = lease.Term + 2*clock.Second

// leaseManager acquires and renews the leases of model engines that do not check fencing
// numbers. The zero value follows no stream.
type leaseManager struct {
	state  lease.State
	stream units.StreamName
	// sequence counts the records sent; sentAt holds the send times of the newest.
	sequence uint64
	sentAt   map[uint64]clock.Millis
	// nextAt is the earliest time of the next record.
	nextAt clock.Millis
	// releases holds the releases to send in the next record.
	releases []lease.Claim
}

// keptRecords is the number of own records whose send times are kept.
const keptRecords = 64

// FollowLeases starts following the lease stream of the failure domain.
func (o *Owner) FollowLeases(stream units.StreamName, out *event.Effects) {
	if o.leases.stream != "" {
		return
	}
	o.leases.stream = stream
	o.leases.sentAt = map[uint64]clock.Millis{}
	out.Add(event.TailStream{Stream: stream})
}

// LeaseStream returns the followed lease stream, or "".
func (o *Owner) LeaseStream() units.StreamName { return o.leases.stream }

// tickLeases claims, renews and releases leases, all in one record each
// LeaseRenewPeriod.
func (o *Owner) tickLeases(now clock.Millis, out *event.Effects) {
	l := &o.leases
	for _, s := range o.order {
		if !s.spec.ChecksFence {
			o.tickFreeze(now, s, out)
		}
	}
	if l.stream == "" || now < l.nextAt {
		return
	}
	claims := l.releases
	for _, s := range o.order {
		switch {
		case s.spec.ChecksFence || !s.reported:
		case s.phase == phaseOwned:
			claims = append(claims, lease.Claim{Server: s.id(), Fence: s.fence})
		case l.state.Claimable(now, s.id()):
			claims = append(claims, lease.Claim{Server: s.id()})
		}
	}
	if len(claims) == 0 {
		return
	}
	l.nextAt = now + LeaseRenewPeriod
	l.releases = nil
	o.sendLeases(now, claims, out)
}

func (o *Owner) sendLeases(now clock.Millis, claims []lease.Claim, out *event.Effects) {
	l := &o.leases
	l.sequence++
	l.sentAt[l.sequence] = now
	delete(l.sentAt, l.sequence-keptRecords)
	record := lease.Record{Holder: o.Self, Incarnation: o.Incarnation, Sequence: l.sequence, AsOf: l.state.Next(), Claims: claims}
	body, err := msgpack.Marshal(record)
	if err != nil {
		panic("owner: lease record can't be encoded: " + err.Error())
	}
	id := units.RecordID(fmt.Sprintf("lease-%s-%d-%d", o.Self, o.Incarnation, l.sequence))
	out.Add(event.AppendRecord{Stream: l.stream, ID: id, Body: body})
}

// LeasesRead applies records of the lease stream.
func (o *Owner) LeasesRead(now clock.Millis, ev event.RecordsRead, out *event.Effects) {
	l := &o.leases
	granted, complete := l.state.Fold(now, ev, o.Self, o.Incarnation)
	if !complete {
		out.Add(event.TailStream{Stream: l.stream, From: l.state.Next()})
	}
	for _, g := range granted {
		if sentAt, ok := l.sentAt[g.Sequence]; ok {
			o.leaseGranted(now, g, sentAt, out)
		}
	}
	o.dropLostLeases(out)
	for _, s := range o.order {
		o.serve(now, s, out)
	}
}

// LeasesExpired skips records of the lease stream that expired unread. Leases are dropped,
// since another owner may have taken them in the skipped records.
func (o *Owner) LeasesExpired(now clock.Millis, ev event.StreamGap, out *event.Effects) {
	o.leases.state.Skip(now, ev.Oldest)
	o.dropLostLeases(out)
}

// leaseGranted applies a lease that was taken or renewed by a record sent at sentAt, from
// which its term counts. A lease that was taken for an earlier assignment of the server is
// released.
func (o *Owner) leaseGranted(now clock.Millis, g lease.Granted, sentAt clock.Millis, out *event.Effects) {
	s := o.servers[g.Server]
	switch {
	case s == nil || g.Taken && g.Sequence <= s.assignedAfter:
		if g.Taken {
			o.leases.releases = append(o.leases.releases, lease.Claim{Server: g.Server, Fence: g.Fence, Released: true})
		}
	case g.Taken:
		s.phase, s.fence, s.renewedAt = phaseOwned, g.Fence, sentAt
		if !g.Fresh {
			s.noEvictUntil = now + OwnerTerm + GrantTerm
		}
		out.Add(event.Decision{Area: "owner", Choice: s.spec.ID, Reason: "lease_taken", Pairs: []any{"fence", s.fence}})
	case s.phase == phaseOwned && s.fence == g.Fence:
		if now >= s.renewedAt+OwnerTerm {
			// The lease had lapsed: other owners may have granted requests meanwhile.
			s.noEvictUntil = now + OwnerTerm + GrantTerm
		}
		s.renewedAt = max(s.renewedAt, sentAt)
	}
}

func (o *Owner) dropLostLeases(out *event.Effects) {
	for _, s := range o.order {
		if s.spec.ChecksFence || s.phase != phaseOwned {
			continue
		}
		if l := o.leases.state.Lease(s.id()); l == nil || l.Fence != s.fence {
			s.phase = phaseUnowned
			out.Add(event.Decision{Area: "owner", Choice: s.spec.ID, Reason: "lease_lost", Pairs: []any{"fence", s.fence}})
		}
	}
}

// tickFreeze sets the time from which an engine is served without a lease because none
// can be acquired. No adapter is loaded or evicted then. A valid lease, of this owner or
// another, ends this state.
func (o *Owner) tickFreeze(now clock.Millis, s *server, out *event.Effects) {
	held := s.phase == phaseOwned
	l := o.leases.state.Lease(s.id())
	mine := l != nil && l.Holder == o.Self && l.Incarnation == o.Incarnation
	foreign := l != nil && !mine && !l.Released && o.leases.state.MayBeHeld(now, s.id())
	if held && now < s.renewedAt+OwnerTerm || foreign {
		s.frozenFrom = 0
		return
	}
	if l != nil {
		s.fence = max(s.fence, l.Fence)
	}
	if s.frozenFrom != 0 {
		return
	}
	s.frozenFrom = now
	if !held {
		s.frozenFrom = now + freezeDelay
	}
	out.Add(event.Decision{Area: "owner", Choice: s.spec.ID, Reason: "no_lease", Pairs: []any{"serves_loaded_in", s.frozenFrom - now}})
}

// frozen reports whether the loaded adapters are served without a lease.
func (s *server) frozen(now clock.Millis) bool {
	return !s.spec.ChecksFence && s.frozenFrom != 0 && now >= s.frozenFrom
}

// releaseLease releases the lease of a server that is no longer assigned to this owner.
// With an order in flight the lease is left to expire.
func (o *Owner) releaseLease(s *server) {
	if s.spec.ChecksFence || s.phase != phaseOwned || s.hasPendingOrder() {
		return
	}
	o.leases.releases = append(o.leases.releases, lease.Claim{Server: s.id(), Fence: s.fence, Released: true})
	o.leases.nextAt = 0
}
