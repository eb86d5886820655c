package fleet

import (
	"mangostile/internal/base/units"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/credit"
	"mangostile/internal/core/peer"
)

// noteLimit records the rate that the backend server names for all entry VMs together, or that it
// names none any more, and tells other entry VMs if that is news.
func (a *attempt) noteLimit(head AnswerHead) {
	n := a.node
	now := n.clock.Now()
	limit := peer.ServerLimit{Server: a.to.Server, StartedAt: a.to.StartedAt, Limit: max(0, head.Limit)}
	changed := false
	switch {
	case head.Limit < 0:
		a.log("server_limit_ignored", "server", a.to.Server)
	case head.Limit > 0:
		n.withCore(func(core *choose.Core) { changed = core.NoteLimit(now, limit) })
	case head.ID == a.head.ID && (head.Stamped || head.NotExecuted):
		n.withCore(func(core *choose.Core) { changed = core.NoteNoLimit(now, a.sentAt, a.to.Server, a.to.StartedAt) })
	}
	if changed {
		n.publishLimits([]peer.ServerLimit{limit}, "")
	}
}

// mergeLimits applies limits of which another entry VM told, and passes on those that were news.
func (n *Node) mergeLimits(told []peer.ServerLimit, from units.EntryVMID) {
	var news []peer.ServerLimit
	n.withCore(func(core *choose.Core) {
		for _, l := range told {
			if core.NoteLimit(n.clock.Now(), l) {
				news = append(news, l)
			}
		}
	})
	if len(news) > 0 {
		n.publishLimits(news, from)
	}
}

// publishLimits tells some other entry VMs of limits that are news here; these pass them on.
func (n *Node) publishLimits(news []peer.ServerLimit, from units.EntryVMID) {
	for _, l := range news {
		n.log.Info("server_limit", "server", l.Server, "per_s", float64(l.Limit), "from", from)
	}
	n.links.Broadcast(n.peers.some(n.clock.Now(), gossipFanout), &peer.CrashNews{Limits: news, Address: n.settings.PeerAddress})
}

// updateMembers tells the cores which other entry VMs are known to run.
func (n *Node) updateMembers() {
	var members []peer.Member
	for _, m := range n.peers.keepers(n.clock.Now()) {
		members = append(members, peer.Member{ID: m.ID, Address: m.Address, Region: m.Region, Domain: m.Domain})
	}
	n.withCore(func(core *choose.Core) { core.SetMembers(members) })
	n.withCredits(func(core *credit.Core) { core.SetMembers(members, int(n.members.Load())) })
}
