package credit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/frame"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

const (
	step         = 5 * clock.Millis(1)
	memberTTL    = 12 * clock.Second
	restartDelay = clock.Second
	start        = clock.Hour
)

var testTerms = Terms{Window: 8 * clock.Second, Overshoot: 0.1, Slack: 110_000}

// world is a fleet of entry VMs in virtual time, in domains that are half in one region and half in
// the other.
type world struct {
	t       *testing.T
	random  *rand.Rand
	now     clock.Millis
	vms     []*testVM
	mail    []letter
	domains []units.FailureDomain
	quota   topo.Quota
	// cut tells whether two entry VMs can't reach each other.
	cut func(a, b *testVM) bool

	admitted []spent
	asked    int
	// sent counts bytes of messages.
	sent int
}

type testVM struct {
	member  peer.Member
	core    *Core
	down    bool
	frozen  bool
	heardAt map[units.EntryVMID]clock.Millis
	started clock.Millis
	waiting []*testClaim
	sent    int
}

type testClaim struct {
	Claim
	wait Wait
}

type letter struct {
	at   clock.Millis
	from int
	Message
}

type spent struct {
	at   clock.Millis
	cost float64
}

const customer units.CustomerName = "c"

func newWorld(t *testing.T, vms int, quota topo.Quota) *world {
	t.Helper()
	w := &world{t: t, random: rand.New(rand.NewPCG(1, 2)), now: start, quota: quota, cut: func(_, _ *testVM) bool { return false }}
	for i := range 6 {
		w.domains = append(w.domains, units.FailureDomain(fmt.Sprint("d", i)))
	}
	for i := range vms {
		id := units.EntryVMID(fmt.Sprint("vm", i))
		w.vms = append(w.vms, &testVM{member: peer.Member{ID: id, Address: fmt.Sprint(i), Domain: w.domains[i%6]}})
	}
	for _, v := range w.vms {
		w.boot(v)
	}
	w.run(10*clock.Second, 0)
	return w
}

func (w *world) boot(v *testVM) {
	v.down, v.frozen, v.started, v.waiting = false, false, w.now, nil
	v.core = New(w.now, Config{Self: v.member.ID, Incarnation: units.Incarnation(w.now), Address: v.member.Address, Domain: v.member.Domain, Domains: w.domains, Terms: testTerms})
	v.heardAt = map[units.EntryVMID]clock.Millis{}
	w.configure(v)
}

func (w *world) configure(v *testVM) {
	v.core.SetCustomers(w.now, []*topo.Customer{{Name: customer, Quota: w.quota}})
}

func (w *world) setQuota(quota topo.Quota) {
	w.quota = quota
	for _, v := range w.vms {
		w.configure(v)
	}
}

func (w *world) reach(a, b *testVM) bool { return !a.down && !b.down && !w.cut(a, b) }

// updateMembers gives v the entry VMs that it could reach lately.
func (w *world) updateMembers(v *testVM) {
	var others []peer.Member
	for _, o := range w.vms {
		if o == v {
			continue
		}
		if w.reach(v, o) && !o.frozen {
			v.heardAt[o.member.ID] = w.now
		}
		if at, ok := v.heardAt[o.member.ID]; ok && w.now <= at+memberTTL {
			others = append(others, o.member)
		}
	}
	v.core.SetMembers(others, len(others)+1)
}

// run lets time pass under a demand, as a multiple of what uses the limit, and returns how many requests
// were sent and the share of them that was refused.
func (w *world) run(span clock.Millis, demand float64) (asked int, refused float64) {
	perStep := demand * testTerms.limit(large) / float64(testTerms.Window/step)
	waitedBefore := w.waiting()
	before := len(w.admitted)
	askedBefore := w.asked
	for end := w.now + span; w.now < end; w.now += step {
		w.deliver()
		for i, v := range w.vms {
			if v.down || v.frozen {
				continue
			}
			if (w.now-v.started)%clock.Second == 300-300%step {
				w.updateMembers(v)
			}
			if (int64(w.now/step)+int64(i))%int64(TickPeriod/step) == 0 {
				v.core.Tick(w.now)
			}
			w.retry(v)
			w.post(i, v)
		}
		mean := (9190.0 + 8*200) / 9
		for range w.poisson(perStep / mean) {
			w.arrive()
		}
	}
	asked = w.asked - askedBefore
	refusals := asked + waitedBefore - w.waiting() - (len(w.admitted) - before)
	return asked, float64(refusals) / float64(max(1, asked))
}

func (w *world) waiting() int {
	n := 0
	for _, v := range w.vms {
		n += len(v.waiting)
	}
	return n
}

func (w *world) poisson(mean float64) int {
	n := 0
	for p := w.random.Float64(); p > math.Exp(-mean); p *= w.random.Float64() {
		n++
	}
	return n
}

// arrive sends a request to an entry VM that runs: one in nine is large.
func (w *world) arrive() {
	cost := units.Amount(200)
	if w.random.IntN(9) == 0 {
		cost = 9190
	}
	if !slices.ContainsFunc(w.vms, func(v *testVM) bool { return !v.down }) {
		return
	}
	v := w.vms[w.random.IntN(len(w.vms))]
	for v.down {
		v = w.vms[w.random.IntN(len(w.vms))]
	}
	w.asked++
	c := &testClaim{Claim: Claim{Customer: customer, Cost: cost, Deadline: w.now + 5*clock.Second}}
	if v.frozen {
		v.waiting = append(v.waiting, c)
		return
	}
	w.admit(v, c)
}

func (w *world) admit(v *testVM, c *testClaim) {
	switch verdict := v.core.Admit(w.now, &c.Claim).(type) {
	case Admitted:
		w.admitted = append(w.admitted, spent{w.now, float64(c.Cost)})
	case Wait:
		c.wait = verdict
		v.waiting = append(v.waiting, c)
	}
}

func (w *world) retry(v *testVM) {
	waiting := v.waiting
	v.waiting = nil
	for _, c := range waiting {
		changed := false
		select {
		case <-c.wait.Changed:
			changed = true
		default:
		}
		if changed || w.now >= c.wait.Until {
			w.admit(v, c)
		} else {
			v.waiting = append(v.waiting, c)
		}
	}
}

func (w *world) post(from int, v *testVM) {
	for _, m := range v.core.Messages() {
		data, err := frame.Append(nil, 1, m.Message)
		must.NoError(w.t, err)
		w.sent += len(data)
		v.sent += len(data)
		var to int
		_, err = fmt.Sscan(m.Address, &to)
		must.NoError(w.t, err)
		delay := 2 * clock.Millis(1)
		if from%2 != to%2 {
			delay = 30
		}
		delay += clock.Millis(w.random.IntN(5))
		if w.random.IntN(50) == 0 {
			delay += 200
		}
		w.mail = append(w.mail, letter{at: w.now + delay, from: from, Message: m})
	}
}

func (w *world) deliver() {
	mail := w.mail
	w.mail = nil
	for _, l := range mail {
		var to int
		_, err := fmt.Sscan(l.Address, &to)
		must.NoError(w.t, err)
		v, from := w.vms[to], w.vms[l.from]
		switch {
		case l.at > w.now || v.frozen && !v.down:
			w.mail = append(w.mail, l)
		case !w.reach(v, from):
		default:
			must.NoError(w.t, l.Check())
			switch m := l.Message.Message.(type) {
			case *peer.CreditRequest:
				v.core.ReceiveRequest(w.now, from.member.ID, m)
			case *peer.CreditReply:
				v.core.ReceiveReply(w.now, from.member.ID, m)
			}
		}
	}
}

// worst returns the greatest use in a window that begins at from or later.
func (w *world) worst(from clock.Millis) float64 {
	worst, sum, first := 0.0, 0.0, 0
	for _, s := range w.admitted {
		if s.at < from {
			first++
			continue
		}
		sum += s.cost
		for w.admitted[first].at <= s.at-testTerms.Window {
			sum -= w.admitted[first].cost
			first++
		}
		worst = max(worst, sum)
	}
	return worst
}

// bound is what the pages allow in a window.
func bound(quota topo.Quota) float64 {
	return testTerms.limit(quota)*(1+testTerms.Overshoot) + testTerms.Slack
}

func (w *world) keeper() *testVM {
	for _, v := range w.vms {
		if _, keeps := v.core.Status(w.now, customer); keeps && !v.down {
			return v
		}
	}
	return w.vms[0]
}
