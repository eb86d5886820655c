package claim

import (
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/proof"
	"mangostile/internal/base/units"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// eraLog is a partition of a store that is restored from old copies at times.
type eraLog struct {
	testLog
	era units.Era
}

// append appends the record of a, whatever its era, and returns what the store's client says of it.
func (l *eraLog) append(a Append) Result {
	result := l.testLog.append(a)
	if a.Record.Era < l.era {
		return Restored
	}
	return result
}

func (l *eraLog) read(now clock.Millis, lease *Lease) {
	lease.EnterEra(now, l.era)
	l.testLog.read(now, lease)
}

// restore loses the last records.
func (l *eraLog) restore(lost int) {
	l.records = l.records[:max(0, len(l.records)-lost)]
	l.era++
}

// TestOrdersOfTwoHoldersAreAHandoverApartAcrossEras checks the same as
// TestOrdersOfTwoHoldersAreAHandoverApart while the store loses acknowledged records and gives their
// offsets out again, and appends from before are executed afterwards. Fences must rise with each
// order's holder.
func TestOrdersOfTwoHoldersAreAHandoverApartAcrossEras(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(2, 4).Draw(t, "entry_vms"))
		log := &eraLog{era: units.Era(rapid.IntRange(0, 1).Draw(t, "first_era"))}
		for i, lease := range w.vms {
			log.read(w.now+w.skews[i], lease)
		}
		var late []Append
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			w.now += clock.Millis(rapid.SampledFrom([]int{20, 50, 100, 400, 900}).Draw(t, "elapsed"))
			i := rapid.IntRange(0, len(w.vms)-1).Draw(t, "entry_vm")
			lease, now := w.vms[i], w.now+w.skews[i]
			switch rapid.SampledFrom([]string{"read", "read", "append", "append", "append", "order", "order", "late", "report", "restore", "restart"}).Draw(t, "action") {
			case "read":
				log.read(now, lease)
			case "append":
				due := lease.Due(now)
				if due == nil {
					break
				}
				switch rapid.SampledFrom([]string{"answered", "answered", "answered", "lost", "late"}).Draw(t, "outcome") {
				case "answered":
					lease.HandleResult(*due, log.append(*due))
				case "lost":
					log.append(*due)
				case "late":
					late = append(late, *due)
				}
			case "order":
				if lease.MayOrder(now) {
					w.orders = append(w.orders, order{holder: lease.Self, at: w.now, fence: lease.Fence()})
				}
			case "late":
				for _, a := range late {
					log.append(a)
				}
				late = nil
			case "report":
				if other := rapid.IntRange(0, len(w.vms)-1).Draw(t, "other"); other != i && lease.Holds(now) {
					w.reportHolder(lease, now, other)
				}
			case "restart":
				if rapid.IntRange(0, 4).Draw(t, "restarts") == 0 {
					w.incarnations++
					w.vms[i] = newLease(string(lease.Self), w.incarnations)
					w.vms[i].Rejoins = true
				}
			case "restore":
				if rapid.IntRange(0, 3).Draw(t, "restores") == 0 {
					log.restore(rapid.IntRange(0, 8).Draw(t, "lost"))
				}
			}
		}
		for i := 1; i < len(w.orders); i++ {
			was, is := w.orders[i-1], w.orders[i]
			if was.holder == is.holder {
				must.GreaterEq(t, was.fence, is.fence)
				continue
			}
			must.GreaterEq(t, testHandover, is.at-was.at, must.Sprintf("%v then %v", was, is))
			must.Greater(t, was.fence, is.fence)
		}
	})
}

// TestHolderGoesOnAfterARestore guards against a shard without a placer once the store has lost the last
// records of its lease: reads from the known offset got 410, appends a conflict, and nobody could claim.
// The holder claims anew at once and goes on giving orders; another entry VM, to which an older holder's
// record looks like the last one, does not.
func TestHolderGoesOnAfterARestore(t *testing.T) {
	log := &eraLog{era: 1}
	old, holder, other := newLease("old", 1), newLease("holder", 1), newLease("other", 1)
	log.read(900, old)
	claimNow(t, &log.testLog, old, 1000)
	now := 1000 + ClaimTimeout
	log.read(1000, holder)
	due := holder.Due(now)
	holder.HandleResult(*due, log.append(*due))
	now += testHandover
	due = holder.Due(now)
	holder.HandleResult(*due, log.append(*due))
	must.True(t, holder.MayOrder(now))
	before := holder.Fence()

	log.restore(2)
	due = holder.Due(now + RenewPeriod)
	must.NotNil(t, due)
	holder.HandleResult(*due, log.append(*due))
	must.True(t, holder.MayOrder(now+RenewPeriod), must.Sprint("the lease is still the holder's"))
	log.read(now+RenewPeriod, old)
	log.read(now+RenewPeriod, other)
	must.Nil(t, old.Due(now+RenewPeriod), must.Sprint("its record is from before"))
	must.Nil(t, other.Due(now+RenewPeriod))
	log.read(now+RenewPeriod, holder)
	due = holder.Due(now + RenewPeriod)
	must.NotNil(t, due)
	must.Eq(t, KindClaim, due.Record.Kind)
	holder.HandleResult(*due, log.append(*due))
	must.True(t, holder.MayOrder(now+RenewPeriod))
	must.Greater(t, before, holder.Fence())
	log.read(now+RenewPeriod, other)
	id, _ := other.Holder()
	must.Eq(t, "holder", id)
}
