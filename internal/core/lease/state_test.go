package lease

import (
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/proof"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// holderTerm is the term after which a holder treats its lease as expired, as in package
// owner.
const holderTerm = 4 * clock.Second

// testRetention is much shorter than a log service's, but longer than any append is in
// flight.
const testRetention = 15 * clock.Second

// contender is an entry VM that competes for the lease of one engine.
type contender struct {
	state State
	id    units.EntryVMID
	// rate is the speed of its clock, in thousandths of real time.
	rate clock.Millis
	seq  uint64
	// sent holds the local send time of each record.
	sent map[uint64]clock.Millis
	// fence is the fencing number of the held lease, or 0. New leases claimed up to the
	// sequence number abandoned are ignored.
	fence     units.Fence
	abandoned uint64
	// until is when the held lease expires, in local time.
	until clock.Millis
}

// local returns the time now on the clock of c.
func (c *contender) local(now clock.Millis) clock.Millis { return now * c.rate / 1000 }

// TestNeverTwoHolders checks that no two contenders hold a valid lease at the same time.
// Their clocks differ from real time by up to 2%, they read late, miss expired records,
// and some appends are delayed by more than Term, so that a record can arrive after its
// sender's lease has expired and another contender has taken it.
func TestNeverTwoHolders(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		var log []peer.Record
		type flight struct {
			at   clock.Millis
			body []byte
		}
		var flights []flight
		now, oldest := clock.Millis(0), units.Offset(0)
		contenders := make([]*contender, 3)
		for i := range contenders {
			contenders[i] = &contender{id: units.EntryVMID(rune('a' + i)), rate: clock.Millis(rapid.IntRange(980, 1020).Draw(t, "rate")), sent: map[uint64]clock.Millis{}}
		}

		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			now += clock.Millis(rapid.SampledFrom([]int{10, 200, 1000, 4600}).Draw(t, "wait"))
			kept := flights[:0]
			for _, f := range flights {
				if f.at > now {
					kept = append(kept, f)
					continue
				}
				log = append(log, peer.Record{Offset: units.Offset(len(log)), At: now, Body: f.body})
			}
			flights = kept
			if rapid.IntRange(0, 19).Draw(t, "expire") == 0 {
				for int(oldest) < len(log) && log[oldest].At < now-testRetention {
					oldest++
				}
			}
			c := contenders[rapid.IntRange(0, 2).Draw(t, "contender")]
			local := c.local(now)
			if oldest > c.state.Next() {
				c.state.Skip(local, oldest)
				c.fence, c.abandoned = 0, c.seq
			}
			read := event.RecordsRead{Records: log[c.state.Next():], End: units.Offset(len(log))}
			granted, complete := c.state.Fold(local, read, c.id, 1)
			must.True(t, complete || len(read.Records) > maxBacklog)
			for _, g := range granted {
				if g.Taken && g.Sequence > c.abandoned || g.Fence == c.fence {
					c.fence, c.until = g.Fence, max(c.until, c.sent[g.Sequence]+holderTerm)
				}
			}
			if l := c.state.Lease("e"); l == nil || l.Fence != c.fence {
				c.fence = 0
			}
			record := Record{Holder: c.id, Incarnation: 1, AsOf: c.state.Next(), Claims: []Claim{{Server: "e"}}}
			if c.fence != 0 {
				record.Claims[0].Fence = c.fence
				record.Claims[0].Released = rapid.IntRange(0, 9).Draw(t, "release") == 0
			} else if !c.state.Claimable(local, "e") {
				continue
			}
			c.seq++
			record.Sequence = c.seq
			c.sent[c.seq] = local
			if record.Claims[0].Released {
				c.fence, c.until, c.abandoned = 0, 0, c.seq
			}
			body, err := msgpack.Marshal(record)
			must.NoError(t, err)
			flights = append(flights, flight{at: now + clock.Millis(rapid.SampledFrom([]int{0, 100, 6000}).Draw(t, "delay")), body: body})
			holders := 0
			for _, other := range contenders {
				if other.local(now) < other.until {
					holders++
				}
			}
			must.LessEq(t, 1, holders)

		}
	})
}
