package load

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mangostile/internal/base/units"

	"github.com/google/uuid"
)

// Kind is the kind of a call.
type Kind string

// Kinds of calls.
const (
	// KindChat is a streamed chat completion.
	KindChat Kind = "chat"
	// KindLetter is a completion that isn't streamed.
	KindLetter Kind = "letter"
	// KindLookup is a call of a plain service that may run more than once.
	KindLookup Kind = "lookup"
	// KindAction is a call of a plain service that must run at most once.
	KindAction Kind = "action"
)

// Kinds lists all kinds in the order of a report.
var Kinds = []Kind{KindChat, KindLetter, KindLookup, KindAction}

// Call is one scheduled request of a plan.
type Call struct {
	// Number is the index in the schedule.
	Number int
	Kind   Kind
	// At is the scheduled time, from the start of the run.
	At time.Duration
	// Adapter, Prompt and Tokens are set for chats and letters.
	Adapter units.AdapterVersion
	Prompt  string
	Tokens  int
	// Path and Body are set for lookups and actions.
	Path string
	Body string
	// Key is set for actions. A repeated call has the key and body of the first.
	Key      string
	Repeated bool
}

// Bounds of the delay after which an action is repeated.
const (
	minRepeatDelay = 100 * time.Millisecond
	maxRepeatDelay = 2 * time.Second
)

// Schedule returns the calls of a plan in the order in which they are sent. Equal plans
// give equal schedules except for the keys of actions, which contain their creation time.
func (p *Plan) Schedule() []Call {
	draw := rand.New(rand.NewPCG(p.Seed, 1))
	popular := newPopularity(p)
	count := max(1, int(p.Rate*p.Duration.Seconds()))
	calls := make([]Call, 0, count)
	for i := range count {
		call := Call{Number: i, At: time.Duration(float64(i) / p.Rate * float64(time.Second)), Kind: p.Mix.pick(draw)}
		switch call.Kind {
		case KindChat, KindLetter:
			call.Adapter = popular.pick(call.At)
			call.Prompt = fmt.Sprintf("adapter %s answers question %d of seed %d", call.Adapter.Adapter, i, p.Seed)
			call.Tokens = p.ChatTokens
			if call.Kind == KindLetter {
				call.Tokens = p.LetterTokens
			}
		case KindLookup:
			call.Path = fmt.Sprintf("%s/item-%d", p.LookupPath, i)
		case KindAction:
			call.Path = p.ActionPath
			call.Body = fmt.Sprintf(`{"seed":%d,"call":%d}`, p.Seed, i)
			call.Key = uuid.Must(uuid.NewV7()).String()
		}
		calls = append(calls, call)
		if call.Kind == KindAction && draw.Float64() < p.RepeatShare {
			call.Repeated = true
			call.At += minRepeatDelay + time.Duration(draw.Int64N(int64(maxRepeatDelay-minRepeatDelay)))
			calls = append(calls, call)
		}
	}
	slices.SortStableFunc(calls, func(a, b Call) int { return cmp.Compare(a.At, b.At) })
	for i := range calls {
		calls[i].Number = i
	}
	return calls
}

func (m Mix) pick(draw *rand.Rand) Kind {
	n := draw.IntN(m.sum())
	for _, share := range []struct {
		kind Kind
		of   int
	}{{KindChat, m.Chat}, {KindLetter, m.Letter}, {KindLookup, m.Lookup}, {KindAction, m.Action}} {
		if n < share.of {
			return share.kind
		}
		n -= share.of
	}
	return KindChat
}

// popularity draws adapters by a Zipf distribution whose ranks are reshuffled at each
// shift.
type popularity struct {
	adapters    []units.AdapterVersion
	zipf        *rand.Zipf
	shuffle     *rand.Rand
	shiftEvery  time.Duration
	nextShiftAt time.Duration
}

func newPopularity(p *Plan) *popularity {
	if len(p.Adapters) == 0 {
		return &popularity{}
	}
	popular := &popularity{
		adapters:    slices.Clone(p.Adapters),
		zipf:        rand.NewZipf(rand.New(rand.NewPCG(p.Seed, 2)), p.Skew, 1, uint64(len(p.Adapters)-1)),
		shuffle:     rand.New(rand.NewPCG(p.Seed, 3)),
		shiftEvery:  p.ShiftEvery,
		nextShiftAt: p.ShiftEvery,
	}
	popular.shift()
	return popular
}

func (p *popularity) shift() {
	p.shuffle.Shuffle(len(p.adapters), func(i, j int) { p.adapters[i], p.adapters[j] = p.adapters[j], p.adapters[i] })
}

// pick draws the adapter of a call that is scheduled at a time from the start of the run.
// The time must not decrease from call to call, as shifts can't be undone. It panics if the
// plan has no adapters, which Plan.Check rules out for mixes with chats or letters.
func (p *popularity) pick(at time.Duration) units.AdapterVersion {
	for p.shiftEvery > 0 && at >= p.nextShiftAt {
		p.shift()
		p.nextShiftAt += p.shiftEvery
	}
	return p.adapters[p.zipf.Uint64()]
}
