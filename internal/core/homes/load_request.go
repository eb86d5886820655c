package homes

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"
)

// loadKey is what a load is requested for: an adapter, and the version of the backend server's
// software and its service, each empty for any.
type loadKey struct {
	adapter  units.AdapterName
	software topo.Software
	service  units.ServiceName
}

// allows reports whether a copy at s serves the requests for key.
func (k loadKey) allows(s *server) bool {
	return (k.software == "" || s.software() == k.software) && (k.service == "" || s.Service == k.service)
}

// loadRequest sums up the load requests of all entry VMs for one loadKey. Of the embedded
// LoadRequest only Adapter, Software, Service, Rank and Count are set, and Count only by sortedLoadRequests.
type loadRequest struct {
	peer.LoadRequest
	// since is when the oldest request began to wait, receivedAt when the last usage
	// report with the load request was received.
	since      clock.Millis
	receivedAt clock.Millis
	// loadDeadline is the latest time at which a load may end so that at least one request
	// still meets its target.
	loadDeadline clock.Millis
	countByVM    map[units.EntryVMID]int32
	// urgency is the place in the order of loads, as of the last step.
	urgency float64
}

// addLoadRequest adds a load request of an entry VM to that for the same key.
func (p *Placer) addLoadRequest(from units.EntryVMID, r *peer.LoadRequest) {
	key := loadKey{r.Adapter, r.Software, r.Service}
	w := p.loadRequests[key]
	if w == nil {
		w = &loadRequest{since: p.now, countByVM: map[units.EntryVMID]int32{}}
		p.loadRequests[key] = w
	}
	w.since = min(w.since, p.now-r.Waited)
	w.receivedAt = p.now
	w.loadDeadline = max(w.loadDeadline, p.now+r.LoadDeadline)
	w.countByVM[from] = r.Count
	w.Adapter, w.Software, w.Service = r.Adapter, r.Software, r.Service
	if len(w.countByVM) == 1 || r.Rank < w.Rank {
		w.Rank = r.Rank
	}
	p.demand.add(p.now, r.Adapter, float64(r.Arrived))
	p.lastLoadRequestAt = p.now
}
