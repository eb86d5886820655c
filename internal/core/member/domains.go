package member

import (
	"maps"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
)

// SummaryPeriod is the interval between summaries sent to another failure domain.
const SummaryPeriod = 3 * clock.Second

// SummaryTTL is how long a received summary is valid.
const SummaryTTL = 10 * clock.Second

// Domains holds the latest summary of each other failure domain. The zero value is
// empty.
type Domains struct {
	summaries map[units.FailureDomain]*domainSummary
}

type domainSummary struct {
	peer.DomainSummary
	receivedAt clock.Millis
}

func (s *domainSummary) sender() units.EntryVMID { return s.Entries[0] }

// Receive stores m as the latest summary of its failure domain. The first of m.Entries,
// which must not be empty, is the sender. Receive reports false and ignores m if the
// stored summary is from the same sender and not older by incarnation and sequence. These
// don't order summaries of different senders, so that one of another sender always
// replaces it.
func (d *Domains) Receive(now clock.Millis, m *peer.DomainSummary) bool {
	if d.summaries == nil {
		d.summaries = map[units.FailureDomain]*domainSummary{}
	}
	old := d.summaries[m.Domain]
	if old != nil && old.sender() == m.Entries[0] && (m.Incarnation < old.Incarnation || m.Incarnation == old.Incarnation && m.Sequence <= old.Sequence) {
		return false
	}
	d.summaries[m.Domain] = &domainSummary{DomainSummary: *m, receivedAt: now}
	return true
}

// LowerDomainReadsLog reports whether a failure domain whose name sorts before own has a
// valid summary and can read the log service.
func (d *Domains) LowerDomainReadsLog(now clock.Millis, own units.FailureDomain) bool {
	for domain, s := range d.summaries {
		if domain < own && now-s.receivedAt < SummaryTTL && !s.LogUnreachable {
			return true
		}
	}
	return false
}

// MaxConfigOffset returns the greatest config offset among the valid summaries and the entry VM
// that reported it, or "" and 0 if there is none.
func (d *Domains) MaxConfigOffset(now clock.Millis) (from units.EntryVMID, offset units.Offset) {
	for _, domain := range slices.Sorted(maps.Keys(d.summaries)) {
		s := d.summaries[domain]
		if now-s.receivedAt < SummaryTTL && s.ConfigOffset > offset {
			from, offset = s.sender(), s.ConfigOffset
		}
	}
	return from, offset
}

// Delegate returns the entry VM that sent the latest summary of domain. It reports false
// if there is no valid summary of domain.
func (d *Domains) Delegate(now clock.Millis, domain units.FailureDomain) (units.EntryVMID, bool) {
	s := d.summaries[domain]
	if s == nil || now-s.receivedAt >= SummaryTTL {
		return "", false
	}
	return s.sender(), true
}

// ValidSummaries returns the valid summaries, those received less than SummaryTTL ago, sorted by
// failure domain.
func (d *Domains) ValidSummaries(now clock.Millis) []peer.DomainSummary {
	var summaries []peer.DomainSummary
	for _, domain := range slices.Sorted(maps.Keys(d.summaries)) {
		if s := d.summaries[domain]; now-s.receivedAt < SummaryTTL {
			summaries = append(summaries, s.DomainSummary)
		}
	}
	return summaries
}
