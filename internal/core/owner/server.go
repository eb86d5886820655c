// Package owner implements the decisions of a backend server's owner: fencing, grants,
// adapter loads and evictions.
package owner

import (
	"cmp"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
)

// Terms of ownership and grants, and periods of polls and retries.
const (
	// OwnerTerm is how long an owner may give grants and orders after the start of its
	// last successful renewal.
	OwnerTerm = 4 * clock.Second
	// GrantTerm is how long a grant is valid unless it is renewed.
	GrantTerm = 10 * clock.Second
	// PollPeriod is the interval between two polls of a backend server.
	PollPeriod = clock.Second
	// RetryPeriod is the delay before a failed claim or order is retried.
	RetryPeriod = clock.Second
	// idleReportTTL is the greatest age of a report that shows an adapter to be idle, for
	// an eviction on an engine that does not check fencing numbers.
	idleReportTTL = 2 * PollPeriod
	// conflictResetPeriod is how long a server must be owned before its count of claim
	// conflicts is reset.
	conflictResetPeriod = clock.Minute
)

// phase is the state of the ownership of a backend server.
type phase uint8

// Phases.
const (
	// phaseUnowned: not owned, since it is not claimed yet or was lost.
	phaseUnowned phase = iota
	// phaseClaiming: an order to raise the fencing number is in flight.
	phaseClaiming
	// phaseOwned: the current fencing number is ours.
	phaseOwned
)

// grant is the permission to run one request on an adapter.
type grant struct {
	number  units.GrantNumber
	holder  units.EntryVMID
	request units.RequestID
	attempt int32
	adapter units.AdapterVersion
	// until is when the grant expires.
	until clock.Millis
	// grantedAt and tokens update pace when the request ends; grantedAt is 0 if an
	// earlier owner gave the grant.
	grantedAt clock.Millis
	tokens    units.Tokens
	// fingerprint is 0 if an earlier owner gave the grant.
	fingerprint units.Fingerprint
	// isolated is set if the request must run alone on the server.
	isolated bool
}

// copyState is one adapter on a server.
type copyState struct {
	// loading is set while a load order is in flight.
	loading bool
	// unloading is set as soon as an eviction is decided, so that nothing is granted on
	// the copy from then on.
	unloading bool
	// unloadLostAt is when the result of an unload order was lost, or 0.
	unloadLostAt clock.Millis
	// grants counts the live grants. An adapter with grants is never evicted.
	grants int
	// expiredAt is when a grant last expired without a release, or 0. Eviction then
	// requires a report requested later that shows nothing running.
	expiredAt clock.Millis
	usedAt    clock.Millis
	// idleReportAt is when the last report that shows nothing running on the adapter was
	// requested.
	idleReportAt clock.Millis
}

// queuedRequest is a request that waits for a grant.
type queuedRequest struct {
	peer.GrantRequest
	from       units.EntryVMID
	deadline   clock.Millis
	receivedAt clock.Millis
	// rank orders the queue; smaller goes first.
	rank clock.Millis
}

// server is one owned backend server.
type server struct {
	spec  event.VM
	phase phase
	fence units.Fence
	// renewedAt is when the last successful renewal was sent.
	renewedAt clock.Millis
	// noEvictUntil is the time before which nothing may be evicted, since an earlier
	// owner's grants may still be valid. Afterwards eviction requires a report requested
	// later that shows nothing running.
	noEvictUntil clock.Millis
	// frozenFrom is the time from which the loaded adapters are served without a lease,
	// or 0.
	frozenFrom clock.Millis
	// assignedAfter is the sequence number of the last lease record sent before the
	// server was assigned to this owner.
	assignedAfter uint64
	// firstOrder is the number of the first order that may have been sent since the server was assigned
	// to this owner: results of orders before say nothing of the copies and orders known since.
	firstOrder event.OrderNumber
	// claimConflicts counts how often another owner claimed the server, up to
	// maxClaimConflicts, since the last conflictResetPeriod of undisturbed ownership.
	claimConflicts int
	ownedSince     clock.Millis
	polledAt       clock.Millis
	// claimAt is the earliest time of the next claim.
	claimAt  clock.Millis
	report   event.ServerReport
	reported bool
	// otherLoads holds the loads in flight in the last report that were not known when it
	// came: an earlier owner has ordered them.
	otherLoads []units.AdapterVersion
	copies     map[units.AdapterVersion]*copyState
	grants     map[units.GrantNumber]*grant
	// queue is sorted by rank.
	queue []*queuedRequest
	// reservedFor is the isolated request that blocks all others from the server.
	reservedFor *queuedRequest
	// broken holds requests whose connection broke recently.
	broken   []brokenRequest
	fairness fairness
	// unloading counts the unload orders in flight.
	unloading int
	// retryAt is the time before which nothing is loaded or evicted, after a load order
	// that was neither accepted nor refused for the adapter's sake, or an unload order that
	// was not accepted.
	retryAt clock.Millis
	// loadBlocked is set if a load found no free slot and no evictable copy; the release
	// of a grant may then let it start.
	loadBlocked bool
	pace        pace
}

func (s *server) id() units.BackendServerID { return units.BackendServerID(s.spec.ID) }

// mayOrder reports whether the owner may order loads and evictions at now.
func (s *server) mayOrder(now clock.Millis) bool {
	return s.phase == phaseOwned && now < s.renewedAt+OwnerTerm && s.report.Ready && !s.report.Leaving
}

// mayGrant reports whether requests for loaded adapters may be granted at now.
func (s *server) mayGrant(now clock.Millis) bool {
	return s.mayOrder(now) || s.frozen(now) && s.report.Ready && !s.report.Leaving
}

func (s *server) slots() int {
	if s.report.Slots > 0 {
		return int(s.report.Slots)
	}
	return int(s.spec.Slots)
}

// takenSlots returns the number of adapter slots that are in use: those of the known copies
// and of loads in flight that another owner has ordered.
func (s *server) takenSlots() int {
	n := len(s.copies)
	for _, av := range s.otherLoads {
		if s.copies[av] == nil {
			n++
		}
	}
	return n
}

func (s *server) batchMax() int {
	if s.report.BatchMax > 0 {
		return int(s.report.BatchMax)
	}
	return int(s.spec.BatchMax)
}

// evictable reports whether c may be evicted at now. Every eviction must check it.
func (s *server) evictable(now clock.Millis, c *copyState) bool {
	if c.loading || c.unloading || c.grants > 0 {
		return false
	}
	if !s.mayOrder(now) || now < s.noEvictUntil {
		return false
	}
	if !s.spec.ChecksFence && now-c.idleReportAt > idleReportTTL {
		return false
	}
	return c.idleReportAt >= s.noEvictUntil && (c.expiredAt == 0 || c.idleReportAt > c.expiredAt)
}

// summary returns the summary of s for the heartbeat. Adapters that requests wait for
// count as loading.
func (s *server) summary(now clock.Millis) peer.ServerSummary {
	summary := peer.ServerSummary{
		Server: s.id(), Fence: s.fence, Running: int32(len(s.grants)), Waiting: int32(len(s.queue)),
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
	for _, req := range s.queue {
		if s.copies[req.Adapter] == nil && !slices.Contains(summary.Loading, req.Adapter) {
			summary.Loading = append(summary.Loading, req.Adapter)
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
