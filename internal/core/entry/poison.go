package entry

import (
	"fmt"
	"slices"

	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/poison"
	"mangostile/internal/core/route"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// maxBrokenServers is the number of backend servers that may break the connection while
// running one request. It is not retried then, since it may be what makes them crash.
const maxBrokenServers = 2

// reportCrashes reports to the failure domain which requests ran on owned servers that
// crashed.
func (c *Core) reportCrashes(out *event.Effects) {
	for _, crash := range c.Owner.TakeCrashes() {
		for _, f := range crash.Suspects {
			if f == 0 {
				continue
			}
			m := &peer.PoisonMark{Fingerprint: f, Server: crash.Server, Crash: crash.Name, Alone: len(crash.Suspects) == 1}
			c.sendToMembers(m, out)
			if c.applyMark(m, out) {
				c.publishQuarantine(m, out)
			}
		}
	}
}

// sendToMembers sends a message to the other members of the failure domain.
func (c *Core) sendToMembers(m peer.Message, out *event.Effects) {
	for _, id := range c.Members.Members() {
		if id != c.Members.SelfID() {
			out.Add(event.SendPeer{To: id, Message: m})
		}
	}
}

// applyMark applies a mark against a request. It reports whether it puts the request into
// quarantine.
func (c *Core) applyMark(m *peer.PoisonMark, out *event.Effects) bool {
	switch {
	case m.Lifted:
		c.Poison.Lift(m.Fingerprint)
	case m.Quarantined:
		c.Poison.Quarantine(c.now, m.Fingerprint, m.Server, poison.QuarantineTerm)
	case c.Poison.Crashed(c.now, m.Fingerprint, m.Server, m.Crash):
		out.Add(event.Decision{Area: "poison", Choice: m.Fingerprint.String(), Reason: "quarantined", Pairs: []any{"backend_server", m.Server, "crash", m.Crash}})
		return true
	}
	return false
}

// publishQuarantine publishes a quarantine: directly in the failure domain, and through
// the log to the others.
func (c *Core) publishQuarantine(m *peer.PoisonMark, out *event.Effects) {
	mark := &peer.PoisonMark{Fingerprint: m.Fingerprint, Server: m.Server, Crash: m.Crash, Quarantined: true}
	c.sendToMembers(mark, out)
	c.appendMark(mark, out)
}

// liftQuarantine lifts a quarantine in all failure domains on an operator's order.
func (c *Core) liftQuarantine(f units.Fingerprint, out *event.Effects) {
	mark := &peer.PoisonMark{Fingerprint: f, Crash: fmt.Sprint(c.now), Lifted: true}
	c.applyMark(mark, out)
	c.sendToMembers(mark, out)
	c.appendMark(mark, out)
	out.Add(event.Decision{Area: "poison", Choice: f.String(), Reason: "lifted"})
}

func (c *Core) appendMark(m *peer.PoisonMark, out *event.Effects) {
	body, err := msgpack.Marshal(m)
	if err != nil {
		panic("entry: mark can't be encoded: " + err.Error())
	}
	kind := "quarantined"
	if m.Lifted {
		kind = "lifted"
	}
	id := units.RecordID(fmt.Sprintf("%s-%s-%s-%d-%s", kind, m.Fingerprint, c.cfg.Self.ID, c.cfg.Incarnation, m.Crash))
	out.Add(event.AppendRecord{Stream: event.PoisonStream, ID: id, Body: body})
}

// marksRead applies records of the quarantine stream and forwards them in the failure
// domain. Records that the stream already had at the first read are outdated and ignored.
func (c *Core) marksRead(ev event.RecordsRead, out *event.Effects) {
	if c.feed.marksNext < 0 {
		c.feed.marksNext = ev.End
	}
	for i := range ev.Records {
		var m peer.PoisonMark
		if ev.Records[i].Offset < c.feed.marksNext || msgpack.Unmarshal(ev.Records[i].Body, &m) != nil || m.Check() != nil {
			continue
		}
		c.feed.marksNext = ev.Records[i].Offset + 1
		c.applyMark(&m, out)
		if c.pushesUpdates() {
			c.sendToMembers(&m, out)
		}
	}
}

// sendQuarantines sends the active quarantines to a member that has just started.
func (c *Core) sendQuarantines(to units.EntryVMID, out *event.Effects) {
	if !c.pushesUpdates() {
		return
	}
	for _, e := range c.Poison.List(c.now) {
		if e.Quarantined {
			out.Add(event.SendPeer{To: to, Message: &peer.PoisonMark{Fingerprint: e.Fingerprint, Server: e.Server, Quarantined: true}})
		}
	}
}

// refuseQuarantined returns the refusal of a quarantined request, or nil if it is not
// quarantined.
func (c *Core) refuseQuarantined(r *request) *errs.Refusal {
	if !c.Poison.Quarantined(c.now, r.Digest) {
		return nil
	}
	return errs.Refuse(errs.CodeQuarantined, "backend servers crashed each time that they ran this request (fingerprint %s): change it, or ask an operator to lift the quarantine", r.Digest)
}

// chooseEngine chooses a backend server. All requests with the same suspected content go
// to the same server while it is usable, so that they run there one at a time.
func (c *Core) chooseEngine(r *request) route.Choice {
	if c.Poison.Suspected(c.now, r.Digest) {
		if choice := c.Router.Engine(c.now, r.row.Base, r.adapter, c.enginesExceptOne(r)); choice.Server != nil {
			return choice
		}
	}
	return c.Router.Engine(c.now, r.row.Base, r.adapter, r.tried)
}

// enginesExceptOne returns the model engines to exclude so that one remains for a
// suspected request.
func (c *Core) enginesExceptOne(r *request) []units.BackendServerID {
	var others []units.BackendServerID
	var chosen units.BackendServerID
	var highest uint64
	for _, s := range c.Router.Servers() {
		if s.Spec.Kind != event.KindEngine || s.Spec.Base != r.row.Base {
			continue
		}
		others = append(others, s.ID())
		weight := xxhash.Sum64String(s.Spec.ID + r.Digest.String())
		if !s.Leaving && !slices.Contains(r.tried, s.ID()) && (chosen == "" || weight > highest) {
			chosen, highest = s.ID(), weight
		}
	}
	return slices.DeleteFunc(others, func(id units.BackendServerID) bool { return id == chosen })
}

// updatePoison records the end of an attempt as evidence for or against its request.
func (c *Core) updatePoison(r *request, kind event.ResultKind) {
	switch kind {
	case event.ResultServed:
		c.Poison.Served(c.now, r.Digest)
	case event.ResultBroken:
		r.brokenServers++
		c.Poison.Suspect(c.now, r.Digest)
	}
}
