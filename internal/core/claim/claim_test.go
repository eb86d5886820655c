package claim

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/proof"
	"mangostile/internal/base/units"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const testHandover = 3 * clock.Second

// testLog is a partition with conditional appends.
type testLog struct{ records []Record }

func (l *testLog) append(a Append) Result {
	if a.At != units.Offset(len(l.records)) {
		return Conflict
	}
	l.records = append(l.records, a.Record)
	return Accepted
}

func (l *testLog) read(now clock.Millis, lease *Lease) {
	from := lease.Next()
	lease.Fold(now, from, append([]Record(nil), l.records[from:]...), units.Offset(len(l.records)))
}

func newLease(id string, incarnation int) *Lease {
	return &Lease{Self: units.EntryVMID(id), Address: id + ":1", Incarnation: units.Incarnation(incarnation), HandoverInterval: testHandover}
}

// claimNow claims an empty partition.
func claimNow(t *testing.T, log *testLog, lease *Lease, now clock.Millis) {
	t.Helper()
	log.read(now, lease)
	due := lease.Due(now)
	must.NotNil(t, due)
	must.Eq(t, KindClaim, due.Record.Kind)
	lease.HandleResult(*due, log.append(*due))
}

func TestClaimOfAnEmptyPartitionHoldsAtOnce(t *testing.T) {
	log, lease := &testLog{}, newLease("a", 1)
	must.Nil(t, lease.Due(0), must.Sprint("nothing may be claimed before the partition was read"))
	claimNow(t, log, lease, 1000)
	must.True(t, lease.MayOrder(1000))
	must.Eq(t, units.Fence(1), lease.Fence())
	must.False(t, lease.Holds(1000+Term))
}

func TestOtherClaimsAfterTimeoutAndOrdersAfterHandover(t *testing.T) {
	log, a, b := &testLog{}, newLease("a", 1), newLease("b", 1)
	claimNow(t, log, a, 1000)
	log.read(1200, b)
	must.Nil(t, b.Due(1200+ClaimTimeout-1))
	due := b.Due(1200 + ClaimTimeout)
	must.NotNil(t, due)
	b.HandleResult(*due, log.append(*due))
	must.True(t, b.Holds(1200+ClaimTimeout))
	must.False(t, b.MayOrder(1200+ClaimTimeout))
	must.Greater(t, a.Fence(), b.Fence())
	must.Eq(t, 1200+Term+testHandover, b.orderFrom)
}

func TestRestartedProcessReclaimsItsLeaseAtOnce(t *testing.T) {
	log, a := &testLog{}, newLease("a", 1)
	claimNow(t, log, a, 1000)
	restarted := newLease("a", 2)
	log.read(1300, restarted)
	due := restarted.Due(1300)
	must.NotNil(t, due)
	restarted.HandleResult(*due, log.append(*due))
	must.True(t, restarted.MayOrder(1300))
}

// TestConflictEndsAppendsUntilARead guards against claims retried at an outdated offset.
// They made tens of thousands of calls to the store after an entry VM was cut off from
// it and another one took over the lease.
func TestConflictEndsAppendsUntilARead(t *testing.T) {
	log, a, b := &testLog{}, newLease("a", 1), newLease("b", 1)
	claimNow(t, log, a, 1000)
	log.read(1000, b)
	due := b.Due(1000 + ClaimTimeout)
	b.HandleResult(*due, log.append(*due))
	due = a.Due(1000 + ClaimTimeout + 100)
	must.NotNil(t, due)
	a.HandleResult(*due, log.append(*due))
	must.True(t, a.Stale())
	must.Nil(t, a.Due(1000+ClaimTimeout+10000))
	log.read(1000+ClaimTimeout+10000, a)
	must.Nil(t, a.Due(1000+ClaimTimeout+10000))
}

func TestRefusedAppendIsNotRepeatedAtOnce(t *testing.T) {
	log, a := &testLog{}, newLease("a", 1)
	log.read(1000, a)
	due := a.Due(1000)
	a.HandleResult(*due, Refused)
	must.Nil(t, a.Due(1000+refusedBackoff-1))
	must.NotNil(t, a.Due(1000+refusedBackoff))
}

func TestReleasedLeaseIsClaimedSoonAndOrdersAfterHandover(t *testing.T) {
	log, a, b := &testLog{}, newLease("a", 1), newLease("b", 1)
	claimNow(t, log, a, 1000)
	release := a.Release(1100)
	must.NotNil(t, release)
	must.False(t, a.Holds(1100))
	must.Eq(t, Accepted, log.append(*release))
	log.read(1150, b)
	must.Nil(t, b.Due(1150+releaseClaimDelay-1))
	due := b.Due(1150 + releaseClaimDelay)
	must.NotNil(t, due)
	b.HandleResult(*due, log.append(*due))
	must.False(t, b.MayOrder(1100+testHandover))
	must.True(t, b.MayOrder(1150+testHandover))
}

// TestReplacedProcessGoesOnAtOnce guards against a rolling restart in which each stop of
// the placer costs its region one handover interval without loads.
func TestReplacedProcessGoesOnAtOnce(t *testing.T) {
	log, a, replaced := &testLog{}, newLease("a", 1), newLease("a", 2)
	claimNow(t, log, a, 1000)
	must.Eq(t, Accepted, log.append(*a.Release(1100)))
	log.read(1200, replaced)
	due := replaced.Due(1200)
	must.NotNil(t, due)
	replaced.HandleResult(*due, log.append(*due))
	must.True(t, replaced.MayOrder(1200))
}

// order records which entry VM gave an order, when and with which fence.
type order struct {
	holder units.EntryVMID
	at     clock.Millis
	fence  units.Fence
}

// TestOrdersOfTwoHoldersAreAHandoverApart checks that orders of two holders are a handover
// interval apart and their fences rise. The store loses answers, executes appends late
// and is unreachable at times; processes pause and restart, and each clock has an origin
// of its own.
func TestOrdersOfTwoHoldersAreAHandoverApart(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		world := newWorld(rapid.IntRange(2, 4).Draw(t, "entry_vms"))
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			world.now += clock.Millis(rapid.SampledFrom([]int{20, 50, 100, 400, 900}).Draw(t, "elapsed"))
			i := rapid.IntRange(0, len(world.vms)-1).Draw(t, "entry_vm")
			world.act(t, i)
		}
		for i := 1; i < len(world.orders); i++ {
			was, is := world.orders[i-1], world.orders[i]
			if was.holder == is.holder {
				continue
			}
			must.GreaterEq(t, testHandover, is.at-was.at, must.Sprintf("%v then %v", was, is))
			must.Greater(t, was.fence, is.fence)
		}
	})
}

type world struct {
	now          clock.Millis
	log          testLog
	vms          []*Lease
	skews        []clock.Millis
	incarnations int
	delayed      []Append
	orders       []order
}

func newWorld(n int) *world {
	w := &world{now: 10000, incarnations: 1}
	for i := range n {
		w.vms = append(w.vms, newLease(fmt.Sprint(i), 1))
		w.skews = append(w.skews, clock.Millis(i)*7777)
	}
	return w
}

// act makes one entry VM take a random action.
func (w *world) act(t *rapid.T, i int) {
	lease, now := w.vms[i], w.now+w.skews[i]
	switch rapid.SampledFrom([]string{"read", "append", "append", "order", "order", "late", "report", "report", "restart", "yield"}).Draw(t, "action") {
	case "read":
		w.log.read(now, lease)
	case "append":
		w.append(t, lease, now)
	case "order":
		if lease.MayOrder(now) {
			w.orders = append(w.orders, order{holder: lease.Self, at: w.now, fence: lease.Fence()})
		}
	case "report":
		if other := rapid.IntRange(0, len(w.vms)-1).Draw(t, "other"); other != i && lease.Holds(now) {
			w.reportHolder(lease, now, other)
		}
	case "yield":
		w.yield(t, lease, now)
	case "late":
		for _, a := range w.delayed {
			w.log.append(a)
		}
		w.delayed = nil
	case "restart":
		if rapid.IntRange(0, 4).Draw(t, "restarts") == 0 {
			w.incarnations++
			w.vms[i] = newLease(string(lease.Self), w.incarnations)
		}
	}
}

// reportHolder passes a holder's report to another entry VM, by the receiver's clock.
func (w *world) reportHolder(holder *Lease, now clock.Millis, other int) {
	w.vms[other].ObserveHolder(w.now+w.skews[other], Record{Kind: KindRenew, Holder: holder.Self}, holder.Fence(), holder.Next(), holder.ValidUntil()-now)
}

// testOrderTimeout is how long an order may be on its way.
const testOrderTimeout = 500 * clock.Millis(1)

// yield hands a lease over while an order of its holder is still on its way.
func (w *world) yield(t *rapid.T, lease *Lease, now clock.Millis) {
	mayOrder, fence := lease.MayOrder(now), lease.Fence()
	due := lease.Yield(now, testOrderTimeout)
	if due == nil {
		return
	}
	if mayOrder {
		w.orders = append(w.orders, order{holder: lease.Self, at: w.now + testOrderTimeout, fence: fence})
	}
	w.send(t, lease, *due)
}

func (w *world) append(t *rapid.T, lease *Lease, now clock.Millis) {
	if due := lease.Due(now); due != nil {
		w.send(t, lease, *due)
	}
}

func (w *world) send(t *rapid.T, lease *Lease, a Append) {
	switch rapid.SampledFrom([]string{"answered", "answered", "answered", "lost", "late", "refused"}).Draw(t, "outcome") {
	case "answered":
		lease.HandleResult(a, w.log.append(a))
	case "lost":
		w.log.append(a)
		lease.HandleResult(a, Unknown)
	case "late":
		w.delayed = append(w.delayed, a)
		lease.HandleResult(a, Unknown)
	case "refused":
		lease.HandleResult(a, Refused)
	}
}

// TestRightCountsFromTheRecordInTheLog guards against a lease that is valid for too long
// because the answer to a claim was lost: the retry, which is sent later, must not extend
// the lease that the first claim gave.
func TestRightCountsFromTheRecordInTheLog(t *testing.T) {
	log, a := &testLog{}, newLease("a", 1)
	log.read(1000, a)
	first := *a.Due(1000)
	must.Eq(t, Accepted, log.append(first))
	a.HandleResult(first, Unknown)
	second := a.Due(1000 + appendTimeout)
	must.NotNil(t, second)
	log.read(1000+appendTimeout, a)
	must.False(t, a.Holds(1000+Term))
}

// reportHolder passes a holder's report of its lease to another entry VM.
func reportHolder(now clock.Millis, holder, other *Lease) {
	other.ObserveHolder(now, Record{Kind: KindRenew, Holder: holder.Self, Address: holder.Address}, holder.Fence(), holder.Next(), max(0, holder.ValidUntil()-now))
}

// TestNobodyClaimsWhileTheHolderIsHeard guards against claims in a fleet that receives
// the placer's reports but doesn't read the partition: each entry VM appended a futile
// claim every few seconds.
func TestNobodyClaimsWhileTheHolderIsHeard(t *testing.T) {
	log, a, b := &testLog{}, newLease("a", 1), newLease("b", 1)
	claimNow(t, log, a, 1000)
	for now := clock.Millis(1000); now < 30000; now += 500 {
		if due := a.Due(now); due != nil {
			a.HandleResult(*due, log.append(*due))
		}
		reportHolder(now, a, b)
		must.Nil(t, b.Due(now))
	}
}

// TestLeaseOfDisconnectedHolderEndsAsReported guards against a needless wait for ClaimTimeout: a
// placer that is cut off from the store only still reports when its lease ends.
func TestLeaseOfDisconnectedHolderEndsAsReported(t *testing.T) {
	log, a, b := &testLog{}, newLease("a", 1), newLease("b", 1)
	claimNow(t, log, a, 1000)
	for now := clock.Millis(1000); a.Holds(now); now += 100 {
		reportHolder(now, a, b)
	}
	must.Nil(t, b.Due(1000+Term))
	due := b.Due(1000 + Term + driftMargin)
	must.NotNil(t, due)
	b.HandleResult(*due, log.append(*due))
	must.True(t, b.Holds(1000+Term+driftMargin))
	must.False(t, b.MayOrder(1000+Term+testHandover))
	must.True(t, b.MayOrder(1000+Term+testHandover+driftMargin))
}

// TestClaimsAreFewInAnOutage has 200 entry VMs find an expired lease while the store refuses
// or doesn't answer appends. Their appends must not become a storm of their own, and once
// the store is back, one of them must hold the lease within a second.
func TestClaimsAreFewInAnOutage(t *testing.T) {
	const vms, outage = 200, 10 * clock.Second
	for _, result := range []Result{Refused, Unknown} {
		t.Run(result.String(), func(t *testing.T) {
			log := &testLog{}
			holder := newLease("holder", 1)
			claimNow(t, log, holder, 0)
			var others []*Lease
			for i := range vms {
				lease := newLease(fmt.Sprint("vm", i), 1)
				lease.ClaimDelay = clock.Millis(i) * 4
				log.read(0, lease)
				others = append(others, lease)
			}
			begin := ClaimTimeout
			appends := 0
			now := begin
			for ; now < begin+outage; now += 25 {
				for _, lease := range others {
					if due := lease.Due(now); due != nil {
						appends++
						if result == Refused {
							lease.HandleResult(*due, Refused)
						}
					}
				}
			}
			// An append every 2 s from each entry VM, and four more before.
			must.LessEq(t, vms*(int(outage/(2*clock.Second))+4), appends)
			back := now
			held := func() bool {
				for _, lease := range others {
					if due := lease.Due(now); due != nil {
						lease.HandleResult(*due, log.append(*due))
					}
					if lease.Holds(now) {
						return true
					}
				}
				return false
			}
			for ; !held(); now += 25 {
				must.Less(t, back+clock.Second, now)
			}
		})
	}
}
