package member

import (
	"maps"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
)

// SummaryPeriod is the time between two summaries to another failure domain.
const SummaryPeriod = 3 * clock.Second

// SummaryTerm is how long a summary is believed.
const SummaryTerm = 10 * clock.Second

// Domains holds the last summaries of other failure domains. The zero value is
// empty.
type Domains struct {
	summaries map[units.FailureDomain]*domainSummary
}

type domainSummary struct {
	peer.DomainSummary
	heardAt clock.Millis
}

func (s *domainSummary) from() units.EntryVMID { return s.Entries[0] }

// Heard takes a summary. It reports false for one that is older than the last.
func (d *Domains) Heard(now clock.Millis, m *peer.DomainSummary) bool {
	if d.summaries == nil {
		d.summaries = map[units.FailureDomain]*domainSummary{}
	}
	old := d.summaries[m.Domain]
	if old != nil && old.from() == m.Entries[0] && (m.Incarnation < old.Incarnation || m.Incarnation == old.Incarnation && m.Sequence <= old.Sequence) {
		return false
	}
	d.summaries[m.Domain] = &domainSummary{DomainSummary: *m, heardAt: now}
	return true
}

// SmallerReadsLog reports whether a failure domain with a smaller name than own
// is heard of and reads the log.
func (d *Domains) SmallerReadsLog(now clock.Millis, own units.FailureDomain) bool {
	for domain, s := range d.summaries {
		if domain < own && now-s.heardAt < SummaryTerm && !s.LogUnreachable {
			return true
		}
	}
	return false
}

// Furthest returns the entry VM that is heard to have the greatest config
// offset.
func (d *Domains) Furthest(now clock.Millis) (from units.EntryVMID, offset units.Offset) {
	for _, domain := range slices.Sorted(maps.Keys(d.summaries)) {
		s := d.summaries[domain]
		if now-s.heardAt < SummaryTerm && s.ConfigOffset > offset {
			from, offset = s.from(), s.ConfigOffset
		}
	}
	return from, offset
}

// Delegate returns the entry VM that last sent a summary of domain.
func (d *Domains) Delegate(now clock.Millis, domain units.FailureDomain) (units.EntryVMID, bool) {
	s := d.summaries[domain]
	if s == nil || now-s.heardAt >= SummaryTerm {
		return "", false
	}
	return s.from(), true
}

// Newest returns the last summaries that are still believed, by failure domain.
func (d *Domains) Newest(now clock.Millis) []peer.DomainSummary {
	var newest []peer.DomainSummary
	for _, domain := range slices.Sorted(maps.Keys(d.summaries)) {
		if s := d.summaries[domain]; now-s.heardAt < SummaryTerm {
			newest = append(newest, s.DomainSummary)
		}
	}
	return newest
}
