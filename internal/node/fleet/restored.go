package fleet

import (
	"context"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"

	"github.com/pkg/errors"
)

// restoredReadDelay is the time from the first full read of a restored store to the next one. By then
// backend servers that run have written their entries again, which the platform promises within two
// seconds.
const restoredReadDelay = 2500 * clock.Millis(1)

// readAll reads a feed in full.
func (n *Node) readAll(ctx context.Context, f *feed, synced bool, r *storeRead) error {
	var err error
	if r.update, err = n.system.ReadFull(ctx, f.name); err != nil {
		return errors.WithStack(err)
	}
	if r.update.Era > r.fromEra && r.from > 0 {
		n.logRestored(f, r.update.Era)
		r.update.Restored = true
	}
	return n.readSkipped(ctx, f, synced, r)
}

// logRestored logs that the store has lost its last records.
func (n *Node) logRestored(f *feed, era units.Era) {
	n.log.Warn("store_restored", "feed", f.name, "era", int64(era), "read_to", f.next, "remedy", "none: what was lost is written again")
}

// confirms reports whether an entry of a restored store may replace what is known: it is neither that of
// a backend server that was removed since, nor one from before its process began to leave or another one
// started. Later entries of those that run follow. n.mu must be held.
func (n *Node) confirms(s *topo.Server) bool {
	known := n.servers.Get(s.ID)
	return known != nil && s.StartedAt >= known.StartedAt && (s.StartedAt > known.StartedAt || s.Draining || !known.Draining)
}
