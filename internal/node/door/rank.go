package door

import "mangostile/internal/base/clock"

// phase is whom a connection waits for.
type phase uint8

const (
	// phaseServed means that it waits for the process, or for a backend server.
	phaseServed phase = iota
	// phaseIdle means that it waits for the first byte of a request, after an answer.
	phaseIdle
	// phaseSends means that it waits for the rest of a request, or for a first one.
	phaseSends
	// phaseReads means that it waits for its client to read.
	phaseReads
)

// state is what counts for who gives way.
type state struct {
	phase phase
	// for is how long the phase has lasted, silent the time since the client sent or read something.
	lasted, silent clock.Millis
	// moved is what the client has sent or read in this phase, held what is kept for it, in bytes.
	moved, held int64
}

const (
	// leastPerMS is the pace in bytes per ms at which a client is not late: with it the longest legal
	// head takes 4 s.
	leastPerMS = 16
	// idleWeight is the weight of the time between two requests, in which clients may well wait.
	idleWeight = 0.1
)

// late returns for how long a client has sent or read nothing, or has taken longer than its bytes need if
// that is more.
func (s state) late(talks bool) clock.Millis {
	switch {
	case s.phase == phaseServed:
		return 0
	case talks:
		return s.silent
	default:
		return max(s.silent, s.lasted-clock.Millis(s.moved/leastPerMS))
	}
}

// weight tells how soon a client gives way; 0 means that it doesn't. sharing is the number of connections
// of its address: of clients that are equally late, those of an address with many go first.
func (d *Door) weight(s state, sharing int, reason string) float64 {
	late := s.late(d.Talks)
	if late < d.Patience {
		return 0
	}
	weight := float64(late) * float64(max(1, sharing))
	if s.phase == phaseIdle {
		weight *= idleWeight
	}
	switch reason {
	case ReasonMemory:
		// Who holds nothing gives nothing.
		return weight * float64(s.held)
	case ReasonUnread:
		if s.phase != phaseReads {
			return 0
		}
		return weight * float64(s.held)
	default:
		return weight
	}
}
