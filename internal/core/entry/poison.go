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

// maxBroken bounds the backend servers that may break the connection under one
// request.
const maxBroken = 2

// tellCrashes tells the failure domain what ran on own servers that crashed.
func (c *Core) tellCrashes(out *event.Effects) {
	for _, crash := range c.Owner.TakeCrashes() {
		for _, f := range crash.Suspects {
			if f == 0 {
				continue
			}
			m := &peer.PoisonMark{Fingerprint: f, Server: crash.Server, Crash: crash.Name, Alone: len(crash.Suspects) == 1}
			c.tellMembers(m, out)
			if c.marked(m, out) {
				c.quarantined(m, out)
			}
		}
	}
}

// tellMembers sends a message to the other members of the failure domain.
func (c *Core) tellMembers(m peer.Message, out *event.Effects) {
	for _, id := range c.Members.Members() {
		if id != c.Members.SelfID() {
			out.Add(event.SendPeer{To: id, Message: m})
		}
	}
}

// marked takes a mark against a request. It reports whether the request is
// quarantined for it.
func (c *Core) marked(m *peer.PoisonMark, out *event.Effects) bool {
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

// quarantined spreads a quarantine: at once in the failure domain, and by the log
// to the others.
func (c *Core) quarantined(m *peer.PoisonMark, out *event.Effects) {
	word := &peer.PoisonMark{Fingerprint: m.Fingerprint, Server: m.Server, Crash: m.Crash, Quarantined: true}
	c.tellMembers(word, out)
	c.appendMark(word, out)
}

// liftQuarantine ends a quarantine everywhere by order of an operator.
func (c *Core) liftQuarantine(f units.Fingerprint, out *event.Effects) {
	word := &peer.PoisonMark{Fingerprint: f, Crash: fmt.Sprint(c.now), Lifted: true}
	c.marked(word, out)
	c.tellMembers(word, out)
	c.appendMark(word, out)
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

// marksRead takes records of the stream of quarantines and passes them on in the
// failure domain. What the stream held when it was first read is of the past.
func (c *Core) marksRead(ev event.RecordsRead, out *event.Effects) {
	if c.feed.marksFrom < 0 {
		c.feed.marksFrom = ev.End
	}
	for i := range ev.Records {
		var m peer.PoisonMark
		if ev.Records[i].Offset < c.feed.marksFrom || msgpack.Unmarshal(ev.Records[i].Body, &m) != nil || m.Check() != nil {
			continue
		}
		c.feed.marksFrom = ev.Records[i].Offset + 1
		c.marked(&m, out)
		if c.pushes() {
			c.tellMembers(&m, out)
		}
	}
}

// tellQuarantines tells a member that has just started what is quarantined.
func (c *Core) tellQuarantines(to units.EntryVMID, out *event.Effects) {
	if !c.pushes() {
		return
	}
	for _, e := range c.Poison.List(c.now) {
		if e.Quarantined {
			out.Add(event.SendPeer{To: to, Message: &peer.PoisonMark{Fingerprint: e.Fingerprint, Server: e.Server, Quarantined: true}})
		}
	}
}

// refuseQuarantined returns the refusal of a request that is quarantined, or nil.
func (c *Core) refuseQuarantined(r *request) *errs.Refusal {
	if !c.Poison.Quarantined(c.now, r.Digest) {
		return nil
	}
	return errs.Refuse(errs.CodeQuarantined, "backend servers crashed each time that they ran this request (fingerprint %s): change it, or ask an operator to lift the quarantine", r.Digest)
}

// chooseEngine chooses a backend server. All requests of one suspected content go
// to the same one while it can be used, so that they run there one by one.
func (c *Core) chooseEngine(r *request) route.Choice {
	if c.Poison.Suspected(c.now, r.Digest) {
		if choice := c.Router.Engine(c.now, r.row.Base, r.adapter, c.allButOne(r)); choice.Server != nil {
			return choice
		}
	}
	return c.Router.Engine(c.now, r.row.Base, r.adapter, r.tried)
}

// allButOne returns the model engines to be left out so that one is left for a
// suspected request.
func (c *Core) allButOne(r *request) []units.BackendServerID {
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

// noteRun draws what the end of an attempt says about a request.
func (c *Core) noteRun(r *request, kind event.ResultKind) {
	switch kind {
	case event.ResultServed:
		c.Poison.Served(c.now, r.Digest)
	case event.ResultBroken:
		r.broken++
		c.Poison.Doubt(c.now, r.Digest)
	}
}
