// Package owner holds what the owner of a backend server decides: fencing,
// grants, adapter loads and evictions.
package owner

import (
	"cmp"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
)

// Terms of rights.
const (
	// OwnerTerm is how long an owner may grant after the start of its last
	// successful renewal.
	OwnerTerm = 4 * clock.Second
	// GrantTerm is how long a grant holds unless it is renewed.
	GrantTerm = 10 * clock.Second
	// PollPeriod is the time between two reports of a backend server.
	PollPeriod = clock.Second
	// RetryPeriod is the time after which a failed claim or order is tried
	// again.
	RetryPeriod = clock.Second
	// idleReportTerm is the greatest age of a report that shows an adapter to be
	// idle, where the engine does not check fencing numbers.
	idleReportTerm = 2 * PollPeriod
	// peacePeriod is how long a server must be held for an earlier fight over it
	// to be forgotten.
	peacePeriod = clock.Minute
)

// phase is how far the ownership of a backend server has come.
type phase uint8

// Phases.
const (
	// phaseUnknown: no report of the server yet.
	phaseUnknown phase = iota
	// phaseClaiming: an order to raise the fencing number is on its way.
	phaseClaiming
	// phaseOwned: the fencing number is ours.
	phaseOwned
)

// grant is the right of one request to run on an adapter.
type grant struct {
	number  units.GrantNumber
	holder  units.EntryVMID
	request units.RequestID
	attempt int32
	adapter units.AdapterVersion
	// until is the instant at which the grant lapses.
	until clock.Millis
	// grantedAt and tokens tell how long the request took; grantedAt is 0 if an
	// earlier owner gave the grant.
	grantedAt clock.Millis
	tokens    units.Tokens
	// fingerprint is 0 if an earlier owner gave the grant.
	fingerprint units.Fingerprint
	// isolated is set if nothing else may run beside the request.
	isolated bool
}

// copyState is one adapter on a server.
type copyState struct {
	// loading is set while an order to load is on its way or its result is
	// unknown.
	loading bool
	// unloading is set from the decision to evict on, so that nothing is granted
	// in between.
	unloading bool
	// lostAt is the instant at which the answer to an order to unload was lost,
	// or 0.
	lostAt clock.Millis
	// grants counts live grants. An adapter with grants is never evicted.
	grants int
	// lapsedAt is the instant at which a grant last lapsed without a release, or
	// 0. Eviction then needs a report asked for later that shows nothing running.
	lapsedAt clock.Millis
	usedAt   clock.Millis
	// idleReportAt is the instant at which the last report that shows nothing
	// running on the adapter was asked for.
	idleReportAt clock.Millis
}

// ask is a request that waits for a grant.
type ask struct {
	peer.GrantAsk
	from     units.EntryVMID
	deadline clock.Millis
	askedAt  clock.Millis
	// rank is the place in the queue; smaller goes first.
	rank clock.Millis
}

// server is one owned backend server.
type server struct {
	spec  event.VM
	phase phase
	fence units.Fence
	// renewedAt is the instant at which the last successful renewal was sent.
	renewedAt clock.Millis
	// quietUntil is the instant before which nothing may be evicted, since an
	// earlier owner's grants may still hold. Eviction then needs a report asked
	// for later that shows nothing running.
	quietUntil clock.Millis
	// frozenFrom is the instant from which on what is loaded is served without a
	// lease, or 0.
	frozenFrom clock.Millis
	// takenUpAfter is the last lease record sent before the server was taken up.
	takenUpAfter uint64
	// fights counts in turn how often another owner took the server.
	fights     int
	ownedSince clock.Millis
	polledAt   clock.Millis
	claimAt    clock.Millis
	report     event.ServerReport
	reported   bool
	copies     map[units.AdapterVersion]*copyState
	grants     map[units.GrantNumber]*grant
	// asks is sorted by rank.
	asks []*ask
	// emptiedFor is the request for which no other is let onto the server.
	emptiedFor *ask
	// broken holds requests whose connection broke lately.
	broken   []brokenRun
	fairness fairness
	// unloading counts orders to unload on their way.
	unloading int
	// retryAt is the instant before which nothing is loaded or evicted, after an
	// order that did not reach the server or was refused.
	retryAt clock.Millis
	// blocked is set if a load found no copy that may be evicted.
	blocked bool
	pace    pace
}

func (s *server) id() units.BackendServerID { return units.BackendServerID(s.spec.ID) }

// mayOrder reports whether the right to load and evict holds at now.
func (s *server) mayOrder(now clock.Millis) bool {
	return s.phase == phaseOwned && now < s.renewedAt+OwnerTerm && s.report.Ready && !s.report.Leaving
}

// mayGrant reports whether requests may be let onto what is loaded at now.
func (s *server) mayGrant(now clock.Millis) bool {
	return s.mayOrder(now) || s.frozen(now) && s.report.Ready && !s.report.Leaving
}

func (s *server) slots() int {
	if s.report.Slots > 0 {
		return int(s.report.Slots)
	}
	return int(s.spec.Slots)
}

func (s *server) batchMax() int {
	if s.report.BatchMax > 0 {
		return int(s.report.BatchMax)
	}
	return int(s.spec.BatchMax)
}

// evictable reports whether c may be evicted at now. It is the one place that
// decides so.
func (s *server) evictable(now clock.Millis, c *copyState) bool {
	if c.loading || c.unloading || c.grants > 0 {
		return false
	}
	if !s.mayOrder(now) || now < s.quietUntil {
		return false
	}
	if !s.spec.ChecksFence && now-c.idleReportAt > idleReportTerm {
		return false
	}
	return c.idleReportAt >= s.quietUntil && (c.lapsedAt == 0 || c.idleReportAt > c.lapsedAt)
}

// summary describes s for the heartbeat. Adapters that requests wait for count
// as loading.
func (s *server) summary(now clock.Millis) peer.ServerSummary {
	summary := peer.ServerSummary{
		Server: s.id(), Fence: s.fence, Running: int32(len(s.grants)), Waiting: int32(len(s.asks)),
		BatchMax: int32(s.batchMax()), Slots: int32(s.slots()), Usable: s.mayGrant(now),
	}
	for av, c := range s.copies {
		switch {
		case c.loading:
			summary.Loading = append(summary.Loading, av)
		case !c.unloading:
			summary.Resident = append(summary.Resident, av)
		}
	}
	for _, a := range s.asks {
		if s.copies[a.Adapter] == nil && !slices.Contains(summary.Loading, a.Adapter) {
			summary.Loading = append(summary.Loading, a.Adapter)
		}
	}
	sortVersions(summary.Resident)
	sortVersions(summary.Loading)
	return summary
}

func sortVersions(versions []units.AdapterVersion) {
	slices.SortFunc(versions, compareVersions)
}

func compareVersions(a, b units.AdapterVersion) int {
	return cmp.Or(cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
}
