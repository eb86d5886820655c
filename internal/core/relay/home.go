package relay

import (
	"math"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/member"
)

// Engines counts the model engines of one base model in each failure domain of a
// region.
type Engines map[units.FailureDomain]int

// Home returns the home domain of an adapter: the failure domain of the region in which
// a rarely requested adapter is loaded, or "" if there is none. Each domain's share of
// the adapters is proportional to its engines, and all entry VMs compute the same.
func (e Engines) Home(av units.AdapterVersion) units.FailureDomain {
	var home units.FailureDomain
	best := math.Inf(-1)
	for domain, engines := range e {
		if engines == 0 {
			continue
		}
		// Weighted rendezvous hashing: the score orders like uniform, which is between
		// 0 and 1, to the power of 1/engines.
		uniform := (float64(hashScore(string(domain), av.String())>>11) + 0.5) / (1 << 53)
		if score := math.Log(uniform) / float64(engines); score > best || score == best && domain < home {
			home, best = domain, score
		}
	}
	return home
}

// ChooseIn chooses an entry VM of the given failure domain in the own region. It returns
// nil if there is no such entry VM, if one of them is avoided, or if forwarding is off.
func (r *Relay) ChooseIn(now clock.Millis, own event.VM, domain units.FailureDomain, peers []*member.Peer, request units.RequestID) *member.Peer {
	if !r.Enabled() {
		return nil
	}
	var best *member.Peer
	for _, p := range peers {
		if p.FailureDomain != domain || p.Region != own.Region || p.ServeAddress == "" || p.Leaving {
			continue
		}
		if r.Avoided(now, p.ID) {
			return nil
		}
		if best == nil || hashScore(string(p.ID), string(request)) < hashScore(string(best.ID), string(request)) {
			best = p
		}
	}
	return best
}
