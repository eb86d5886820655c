package origin

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/proof"
	"mangostile/internal/base/units"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// stepPeriod is the time between two steps of the tests.
const stepPeriod = 200 * clock.Millis(1)

// testFleet is some entry VMs of one region, their recorder and the store.
type testFleet struct {
	backlogs []*Backlog
	// recorder is the index of the one that all take for the recorder, -1 for none; lost ones do nothing.
	recorder int
	lost     map[int]bool
	interval clock.Millis
	// storeDown makes appends fail.
	storeDown bool
	kept      map[Key]clock.Millis
	appends   int
}

func newTestFleet(vms int) *testFleet {
	f := &testFleet{lost: map[int]bool{}, kept: map[Key]clock.Millis{}, interval: 10 * clock.Millis(vms)}
	for range vms {
		f.backlogs = append(f.backlogs, &Backlog{})
	}
	return f
}

func (f *testFleet) step(now clock.Millis, several func(RouteKey, clock.Millis) bool) {
	for i, b := range f.backlogs {
		if f.lost[i] {
			continue
		}
		r := Recording{Several: several, HasRecorder: f.recorder >= 0 && f.recorder != i, HandoffInterval: f.interval / 5, AppendInterval: f.interval}
		if f.recorder == i {
			r.AppendInterval = 0
		}
		handoff, batches := b.Next(now, r)
		if handoff != nil && !f.lost[f.recorder] {
			f.backlogs[f.recorder].Receive(Handoff{Number: handoff.Number, From: units.EntryVMID(fmt.Sprint(i)), Batches: handoff.Batches})
		}
		if len(batches) == 0 {
			continue
		}
		f.appends++
		for _, batch := range batches {
			for _, key := range batch.Keys {
				if _, ok := f.kept[key]; !ok && !f.storeDown {
					f.kept[key] = now
				}
			}
		}
		for _, h := range b.Appended(now, !f.storeDown) {
			var from int
			_, _ = fmt.Sscan(string(h.From), &from)
			f.backlogs[from].Confirm(h.Number)
		}
	}
}

func always(RouteKey, clock.Millis) bool { return true }

// TestStartsReachTheStore guards against streams that nobody can go on with: recorders are lost one after
// the other, and the store is down for times, while streams begin. The start of each entry VM that runs
// is in the store in time.
func TestStartsReachTheStore(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		const vms = 7
		f := newTestFleet(vms)
		now := clock.Hour
		began := map[Key]clock.Millis{}
		by := map[Key]int{}
		lastTrouble := now
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now += stepPeriod
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				f.recorder = rapid.IntRange(-1, vms-1).Draw(t, "recorder")
			case 1:
				if len(f.lost) < vms-1 {
					f.lost[rapid.IntRange(0, vms-1).Draw(t, "lost")] = true
				}
			case 2:
				f.storeDown = !f.storeDown
			}
			if f.storeDown {
				lastTrouble = now
			}
			for range rapid.IntRange(0, 3).Draw(t, "starts") {
				key := Key(len(began) + 1)
				by[key] = rapid.IntRange(0, vms-1).Draw(t, "entry vm")
				began[key] = now
				f.backlogs[by[key]].Add(now, "llm", Start{Key: key, Software: "1", Remaining: clock.Minute})
			}
			f.step(now, always)
			const bound = ConfirmTimeout + appendRetry + 12*vms*clock.Millis(1) + 5*stepPeriod
			for key, at := range began {
				if !f.lost[by[key]] && now > max(at, lastTrouble)+bound {
					must.MapContainsKey(t, f.kept, key)
				}
			}
		}
	})
}

// TestStartsFromBeforeTheSecondVersionAreKept guards against streams that began when their service had one
// version, and can't go on once it has two.
func TestStartsFromBeforeTheSecondVersionAreKept(t *testing.T) {
	f := newTestFleet(2)
	now := clock.Hour
	several := false
	for i := range 40 {
		now += stepPeriod
		f.backlogs[1].Add(now, "llm", Start{Key: Key(i + 1), Software: "1", Remaining: 4 * clock.Second})
		several = i >= 30
		f.step(now, func(route RouteKey, window clock.Millis) bool {
			must.Eq(t, "llm", route)
			must.LessEq(t, 4*clock.Second, window)
			return several
		})
		if !several {
			must.Zero(t, f.appends, must.Sprint("one version needs no records"))
		}
	}
	f.step(now+stepPeriod, always)
	for key := Key(12); key <= 40; key++ {
		must.MapContainsKey(t, f.kept, key)
	}
	must.MapNotContainsKey(t, f.kept, Key(5), must.Sprint("it had expired"))
}

// TestAppendsAreFew guards the store against a crowd of appends: 340 entry VMs begin nine streams a second
// each, with a recorder and without one.
func TestAppendsAreFew(t *testing.T) {
	const vms, seconds = 340, 20
	for _, tc := range []struct {
		name       string
		recorder   int
		maxAppends int
	}{
		{"with a recorder", 0, seconds * 5},
		{"without a recorder", -1, seconds*100 + vms},
		{"with a recorder that is lost", 1, seconds*100 + vms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestFleet(vms)
			f.recorder, f.lost[1] = tc.recorder, true
			now := clock.Hour
			key := Key(0)
			for step := range int(seconds * clock.Second / stepPeriod) {
				now += stepPeriod
				for i, b := range f.backlogs {
					if (step+i)%5 < 2 && !f.lost[i] {
						key++
						b.Add(now, "llm", Start{Key: key, Software: "1", Remaining: clock.Minute})
					}
				}
				f.step(now, always)
			}
			must.LessEq(t, tc.maxAppends, f.appends)
			must.Greater(t, int(key)*3/4, len(f.kept))
		})
	}
}

// TestConfirmationToAPreviousProcessIsIgnored guards against starts that nobody appends, since the late
// confirmation of a handoff by the process before was taken for that of the first one of this process.
func TestConfirmationToAPreviousProcessIsIgnored(t *testing.T) {
	now := clock.Hour
	var numbers []HandoffNumber
	var b *Backlog
	for range 2 {
		b = &Backlog{}
		b.Add(now, "llm", Start{Key: 1, Software: "1", Remaining: clock.Minute})
		handoff, _ := b.Next(now, Recording{Several: always, HasRecorder: true})
		must.NotNil(t, handoff)
		numbers = append(numbers, handoff.Number)
		now += 100
	}
	b.Confirm(numbers[0])
	_, appends := b.Next(now+ConfirmTimeout, Recording{Several: always, HasRecorder: true})
	must.SliceLen(t, 1, appends)
}
