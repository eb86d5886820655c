package homes

import "mangostile/internal/base/clock"

// Pacing bounds the bytes that a placer sends for the loads of backend servers. Their number
// grows with servers times entry VMs, and more urgent messages, such as a new configuration,
// share its link. The zero value is ready to use.
type Pacing struct {
	// nextAt is the earliest time of the next update with loads.
	nextAt clock.Millis
}

const (
	// loadEntryBytes is the encoded size of the load of one server.
	loadEntryBytes = 30
	// loadBytesPerMS is the bound for a placer of capacity fullCapacity or more; that of a
	// weaker one is lower in proportion, but at least a tenth.
	loadBytesPerMS = 1000
	fullCapacity   = 0.4
	minPacingShare = 0.1
)

// Due reports whether loads may be sent at now.
func (p *Pacing) Due(now clock.Millis) bool { return now >= p.nextAt }

// Sent records that an update with the loads of servers was sent to recipients. capacity is
// that of the placer in processor cores, 0 if unknown; period is the least time to the next
// update with loads.
func (p *Pacing) Sent(now clock.Millis, servers, recipients int, capacity float64, period clock.Millis) {
	share := 1.0
	if capacity > 0 {
		share = min(1, max(minPacingShare, capacity/fullCapacity))
	}
	cost := float64(servers*recipients*loadEntryBytes) / (loadBytesPerMS * share)
	p.nextAt = now + max(period, clock.Millis(cost))
}
