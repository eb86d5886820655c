package choose

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// limitNet is a number of entry VMs, without a network, and the backend server "a" of a plain service,
// which names a limit.
type limitNet struct {
	cores []*Core
	now   clock.Millis
	limit units.Rate
	// sentAt are the instants at which requests reached the backend server.
	sentAt []clock.Millis
	next   int
}

func newLimitNet(n int, limit units.Rate) *limitNet {
	net := &limitNet{now: clock.Hour, limit: limit}
	for i := range n {
		c := plainCore("a")
		c.cfg.Self = vmID(i)
		net.cores = append(net.cores, c)
	}
	for i := range net.cores {
		net.learnMembers(i, func(int) bool { return true })
	}
	return net
}

func vmID(i int) units.EntryVMID { return units.EntryVMID(fmt.Sprint("vm", i)) }

// learnMembers tells an entry VM which others run, of all that report to the placer.
func (net *limitNet) learnMembers(i int, runs func(j int) bool) {
	var others []peer.Member
	for j := range net.cores {
		if j != i && runs(j) {
			others = append(others, peer.Member{ID: vmID(j), Region: "r"})
		}
	}
	net.cores[i].SetMembers(others)
	net.cores[i].members = int32(len(net.cores))
}

// tell tells all entry VMs the limit that an answer named just now.
func (net *limitNet) tell() {
	for _, c := range net.cores {
		c.NoteLimit(net.now, peer.ServerLimit{Server: "a", StartedAt: 1, Limit: net.limit})
	}
}

// request has an entry VM choose for a request. If it is sent, an answer tells that entry VM the
// limit.
func (net *limitNet) request(i int) Choice {
	net.next++
	c := net.cores[i]
	r := plainRequest(net.next, net.now, 1500)
	choice := c.Choose(net.now, r)
	if _, ok := choice.(Send); ok {
		net.sentAt = append(net.sentAt, net.now)
		c.Started(r, "a")
		c.Ended(net.now, r, "a", true, EndServed)
		c.NoteLimit(net.now+1, peer.ServerLimit{Server: "a", StartedAt: 1, Limit: net.limit})
	}
	c.Abandoned(r)
	return choice
}

// mostIn4s returns the largest number of requests that reached the backend server in some 4 s.
func (net *limitNet) mostIn4s() int {
	most, first := 0, 0
	for i, at := range net.sentAt {
		for net.sentAt[first] <= at-4*clock.Second {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

func (net *limitNet) allowedIn4s() int { return int(math.Floor(1.5*4*float64(net.limit))) + 5 }

// TestLimitHoldsForAllEntryVMs guards against shares that add up to more than the limit of a backend
// server, and against shares that leave it idle. Load pattern: as many requests as 1,000 a second,
// spread at random over all entry VMs, which all know the limit; with quiet spells of 10 s, after
// which all of them have unused shares.
func TestLimitHoldsForAllEntryVMs(t *testing.T) {
	t.Parallel()
	for _, n := range []int{1, 7, 100, 340} {
		for _, limit := range []units.Rate{0.1, 0.5, 1, 3, 20} {
			t.Run(fmt.Sprint(n, " entry VMs, limit ", float64(limit)), func(t *testing.T) {
				t.Parallel()
				net := newLimitNet(n, limit)
				net.tell()
				rng := rand.New(rand.NewPCG(1, uint64(n)))
				const spells, spell = 3, 20 * clock.Second
				for range spells {
					for end := net.now + spell; net.now < end; net.now++ {
						net.request(rng.IntN(n))
					}
					net.now += 10 * clock.Second
					net.tell()
				}
				must.LessEq(t, net.allowedIn4s(), net.mostIn4s())
				must.GreaterEq(t, int(0.5*float64(limit)*(spells*spell).Duration().Seconds()), len(net.sentAt))
			})
		}
	}
}

// TestLimitHoldsWhileViewsDiffer guards against entry VMs that have just started, or know of others
// than the rest does, and take themselves for holders beside the others. Load pattern: as above; one
// entry VM in ten has just started and knows nobody, another one in ten misses a third of the others.
func TestLimitHoldsWhileViewsDiffer(t *testing.T) {
	t.Parallel()
	for _, n := range []int{7, 100, 340} {
		for seed := range uint64(10) {
			net := newLimitNet(n, 1)
			rng := rand.New(rand.NewPCG(seed, uint64(n)))
			for i := range net.cores {
				switch rng.IntN(10) {
				case 0:
					net.cores[i].SetMembers(nil)
					net.cores[i].members = 0
				case 1:
					net.learnMembers(i, func(int) bool { return rng.IntN(3) > 0 })
				}
			}
			net.tell()
			for end := net.now + 20*clock.Second; net.now < end; net.now++ {
				net.request(rng.IntN(n))
			}
			must.LessEq(t, net.allowedIn4s(), net.mostIn4s(), must.Sprintf("%d entry VMs, seed %d", n, seed))
		}
	}
}

// TestLimitSurvivesItsHolders guards against a limit of which nobody has a share any more because its
// holders have ended.
func TestLimitSurvivesItsHolders(t *testing.T) {
	t.Parallel()
	const n = 20
	net := newLimitNet(n, 1)
	net.tell()
	holds := func(i int) bool {
		c := net.cores[i]
		c.limitAdmits(&Request{}, c.servers["a"])
		return c.servers["a"].limit.share > 0
	}
	ended := map[int]bool{}
	for i := range n {
		ended[i] = holds(i)
	}
	var holders int
	for i := range n {
		if ended[i] {
			continue
		}
		net.learnMembers(i, func(j int) bool { return !ended[j] })
		if holds(i) {
			holders++
		}
	}
	must.Eq(t, minHolders+1, holders)
}

// TestLimitEnds guards against a limit that outlasts what the backend server says, and against one
// that an answer from before it ends.
func TestLimitEnds(t *testing.T) {
	const start = clock.Hour
	limit := func(age clock.Millis, rate units.Rate) peer.ServerLimit {
		return peer.ServerLimit{Server: "a", StartedAt: 1, Limit: rate, Age: age}
	}
	for _, tc := range []struct {
		name  string
		steps func(c *Core)
		want  units.Rate
	}{
		{"named", func(c *Core) { c.NoteLimit(start, limit(0, 2)) }, 2},
		{"an answer to a later request", func(c *Core) {
			c.NoteLimit(start, limit(0, 2))
			c.NoteNoLimit(start+100, start+1, "a", 1)
		}, 0},
		{"an answer that was overtaken", func(c *Core) {
			c.NoteLimit(start, limit(0, 2))
			c.NoteNoLimit(start+100, start-1, "a", 1)
		}, 2},
		{"news that are older", func(c *Core) {
			c.NoteLimit(start, limit(0, 2))
			c.NoteLimit(start+100, limit(200, 0))
		}, 2},
		{"news that are newer", func(c *Core) {
			c.NoteLimit(start, limit(0, 2))
			c.NoteLimit(start+100, limit(50, 0))
		}, 0},
		{"an earlier process", func(c *Core) {
			c.NoteLimit(start, peer.ServerLimit{Server: "a", StartedAt: 0, Limit: 2})
		}, 0},
		{"a new process", func(c *Core) {
			c.NoteLimit(start, limit(0, 2))
			c.SetServers(start+1, []*topo.Server{{ID: "a", Service: "plain", Domain: "z", Region: "r", Slots: 16, StartedAt: 2}})
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := plainCore("a")
			tc.steps(c)
			must.Eq(t, tc.want, c.Status(start + 200)[0].Limit)
		})
	}
}

// TestLimitGrowsWithoutAnswers guards against a limit that has ended unknown to all, since its holders
// have no request for the backend server, and against one that opens at once.
func TestLimitGrowsWithoutAnswers(t *testing.T) {
	l := rateLimit{named: 1, namedAt: clock.Hour}
	for i, want := range []units.Rate{1, 2, 4, 8, 8} {
		must.Eq(t, want, l.current(clock.Hour+clock.Millis(i)*limitRenewal))
	}
}

// TestLimitedRequestsWaitTheirTurn guards against requests that wait for a limited backend server until
// their deadline passes. Load pattern: forty requests at once at the only entry VM, the limit is two a
// second.
func TestLimitedRequestsWaitTheirTurn(t *testing.T) {
	net := newLimitNet(1, 2)
	net.tell()
	c := net.cores[0]
	waiting := map[*Request]clock.Millis{}
	sent, refused := 0, 0
	decide := func(r *Request) {
		switch choice := c.Choose(net.now, r).(type) {
		case Send:
			sent++
			must.LessEq(t, r.waitsUntil(), net.now)
		case Wait:
			waiting[r] = choice.Until
		case Refuse:
			refused++
			must.Eq(t, r.Arrived, net.now)
			must.Positive(t, choice.RetryAfter)
		}
	}
	for i := range 40 {
		decide(plainRequest(i, net.now, 4000))
	}
	for end := net.now + 4000; net.now < end; net.now++ {
		for r, until := range waiting {
			if net.now >= until {
				delete(waiting, r)
				decide(r)
			}
		}
	}
	must.MapEmpty(t, waiting)
	must.Eq(t, 40, sent+refused)
	must.Positive(t, sent)
	must.Zero(t, c.servers["a"].limit.queued)
}
