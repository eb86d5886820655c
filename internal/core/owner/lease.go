package owner

import (
	"fmt"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/lease"

	"github.com/vmihailenco/msgpack/v5"
)

// LeaseRenewPeriod is the time between two records of one owner.
const LeaseRenewPeriod = clock.Second

// freezeWait is how long an owner that never had the lease tries to get it before
// it serves what is loaded without it.
const freezeWait = lease.Term + 2*clock.Second

// leasing is how an owner keeps the leases of model engines that do not check
// fencing numbers. The zero value follows no stream.
type leasing struct {
	book   lease.Book
	stream units.StreamName
	// sequence counts the records sent; sentAt holds the instants of the newest.
	sequence uint64
	sentAt   map[uint64]clock.Millis
	nextAt   clock.Millis
	// releases are claims to be sent once more.
	releases []lease.Claim
}

// keptRecords is the number of own records whose instants are kept.
const keptRecords = 64

// FollowLeases starts to follow the lease stream of the failure domain.
func (o *Owner) FollowLeases(stream units.StreamName, out *event.Effects) {
	if o.leasing.stream != "" {
		return
	}
	o.leasing.stream = stream
	o.leasing.sentAt = map[uint64]clock.Millis{}
	out.Add(event.TailStream{Stream: stream})
}

// LeaseStream returns the stream that is followed, or "".
func (o *Owner) LeaseStream() units.StreamName { return o.leasing.stream }

// tickLeases claims, renews and releases leases, all in one record.
func (o *Owner) tickLeases(now clock.Millis, out *event.Effects) {
	l := &o.leasing
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
		case l.book.Claimable(now, s.id()):
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
	l := &o.leasing
	l.sequence++
	l.sentAt[l.sequence] = now
	delete(l.sentAt, l.sequence-keptRecords)
	record := lease.Record{Holder: o.Self, Incarnation: o.Incarnation, Sequence: l.sequence, AsOf: l.book.Next(), Claims: claims}
	body, err := msgpack.Marshal(record)
	if err != nil {
		panic("owner: lease record can't be encoded: " + err.Error())
	}
	id := units.RecordID(fmt.Sprintf("lease-%s-%d-%d", o.Self, o.Incarnation, l.sequence))
	out.Add(event.AppendRecord{Stream: l.stream, ID: id, Body: body})
}

// LeasesRead takes records of the lease stream.
func (o *Owner) LeasesRead(now clock.Millis, ev event.RecordsRead, out *event.Effects) {
	l := &o.leasing
	granted, complete := l.book.Fold(now, ev, o.Self, o.Incarnation)
	if !complete {
		out.Add(event.TailStream{Stream: l.stream, From: l.book.Next()})
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

// LeasesExpired goes on after records of the lease stream expired unread: another
// may have taken a lease unseen.
func (o *Owner) LeasesExpired(now clock.Millis, ev event.StreamGap, out *event.Effects) {
	o.leasing.book.Skip(now, ev.Oldest)
	o.dropLostLeases(out)
}

// leaseGranted takes a lease, or prolongs it from the instant at which the record
// was sent.
func (o *Owner) leaseGranted(now clock.Millis, g lease.Granted, sentAt clock.Millis, out *event.Effects) {
	s := o.servers[g.Server]
	switch {
	case s == nil || g.Taken && g.Sequence <= s.takenUpAfter:
		if g.Taken {
			o.leasing.releases = append(o.leasing.releases, lease.Claim{Server: g.Server, Fence: g.Fence, Released: true})
		}
	case g.Taken:
		s.phase, s.fence, s.renewedAt = phaseOwned, g.Fence, sentAt
		if !g.Fresh {
			s.quietUntil = now + OwnerTerm + GrantTerm
		}
		out.Add(event.Decision{Area: "owner", Choice: s.spec.ID, Reason: "lease_taken", Pairs: []any{"fence", s.fence}})
	case s.phase == phaseOwned && s.fence == g.Fence:
		if now >= s.renewedAt+OwnerTerm {
			// Others may have served what is loaded in the meantime.
			s.quietUntil = now + OwnerTerm + GrantTerm
		}
		s.renewedAt = max(s.renewedAt, sentAt)
	}
}

func (o *Owner) dropLostLeases(out *event.Effects) {
	for _, s := range o.order {
		if s.spec.ChecksFence || s.phase != phaseOwned {
			continue
		}
		if l := o.leasing.book.Lease(s.id()); l == nil || l.Fence != s.fence {
			s.phase = phaseUnknown
			out.Add(event.Decision{Area: "owner", Choice: s.spec.ID, Reason: "lease_lost", Pairs: []any{"fence", s.fence}})
		}
	}
}

// tickFreeze decides from when on an engine is served without a lease that can't
// be had: nothing is loaded or evicted then. The word of another holder ends it.
func (o *Owner) tickFreeze(now clock.Millis, s *server, out *event.Effects) {
	held := s.phase == phaseOwned
	l := o.leasing.book.Lease(s.id())
	mine := l != nil && l.Holder == o.Self && l.Incarnation == o.Incarnation
	foreign := l != nil && !mine && !l.Released && o.leasing.book.InForce(now, s.id())
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
		s.frozenFrom = now + freezeWait
	}
	out.Add(event.Decision{Area: "owner", Choice: s.spec.ID, Reason: "no_lease", Pairs: []any{"serves_loaded_in", s.frozenFrom - now}})
}

// frozen reports whether what is loaded is served without a lease.
func (s *server) frozen(now clock.Millis) bool {
	return !s.spec.ChecksFence && s.frozenFrom != 0 && now >= s.frozenFrom
}

// giveUpLease releases the lease of a server that is given up. With an order on
// its way the lease is left to lapse.
func (o *Owner) giveUpLease(s *server) {
	if s.spec.ChecksFence || s.phase != phaseOwned || s.ordered() {
		return
	}
	o.leasing.releases = append(o.leasing.releases, lease.Claim{Server: s.id(), Fence: s.fence, Released: true})
	o.leasing.nextAt = 0
}
