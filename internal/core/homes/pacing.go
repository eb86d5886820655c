package homes

import "mangostile/internal/base/clock"

// Pacing bounds the bytes of placement updates that a placer sends to one scope. They grow with
// backend servers times entry VMs, and more urgent messages, such as a new configuration, share
// the placer's link. What is held back is not lost: later updates carry the newest state. The
// zero value is ready to use.
type Pacing struct {
	// nextAt is the earliest time of the next update, loadsAt that of the next one with loads.
	nextAt  clock.Millis
	loadsAt clock.Millis
}

// Estimates of encoded sizes, in bytes.
const (
	// entryBytes is the size of a backend server's copies and load, loadBytes that of its load
	// alone.
	entryBytes = 150
	loadBytes  = 30
)

// Bounds of the bytes.
const (
	// fullCapacity is the capacity, in processor cores, of a placer that may send ownBytesPerMS
	// to its region and otherBytesPerMS to all others. That of a weaker one is lower in
	// proportion, but at least minPacingShare.
	fullCapacity    = 0.4
	ownBytesPerMS   = 4000
	otherBytesPerMS = 1000
	minPacingShare  = 0.1
	// burst is the time that one update may take of the bound.
	burst = 300 * clock.Millis(1)
	// minEntries is the least number of backend servers in an update, if so many changed.
	minEntries = 8
)

// budget returns the bytes that may be sent per ms to a scope by a placer of a capacity, 0 if it
// is unknown.
func budget(scope Scope, capacity float64) float64 {
	share := 1.0
	if capacity > 0 {
		share = min(1, max(minPacingShare, capacity/fullCapacity))
	}
	if scope == SameRegion {
		return share * ownBytesPerMS
	}
	return share * otherBytesPerMS
}

// MaxEntries returns how many backend servers one update to recipients may list.
func MaxEntries(scope Scope, capacity float64, recipients int) int {
	return max(minEntries, int(float64(burst)*budget(scope, capacity)/float64(entryBytes*max(1, recipients))))
}

// Due reports whether an update may be sent at now.
func (p *Pacing) Due(now clock.Millis) bool { return now >= p.nextAt }

// LoadsDue reports whether an update with loads may be sent at now.
func (p *Pacing) LoadsDue(now clock.Millis) bool { return now >= p.nextAt && now >= p.loadsAt }

// Sent records that an update with the copies of entries backend servers and the loads alone of
// loads more was sent to recipients.
func (p *Pacing) Sent(now clock.Millis, scope Scope, capacity float64, entries, loads, recipients int) {
	bytes := float64((entries*entryBytes + loads*loadBytes) * recipients)
	p.nextAt = max(p.nextAt, now) + clock.Millis(bytes/budget(scope, capacity))
}

// SentLoads records that all loads were sent. period is the least time until they are sent again.
func (p *Pacing) SentLoads(now, period clock.Millis) { p.loadsAt = now + period }
