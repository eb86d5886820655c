package cmds

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/node/admin"
)

// spread says on which entry VMs a revision is in force.
type spread struct {
	Revision units.Offset `json:"revision"`
	// InForce, ByDomain, Behind and NotHeard are sorted and share no entry VM.
	// Behind told an older revision; NotHeard told none or is not alive in the
	// view of those asked, and may hold any.
	InForce []string `json:"entry_vms"`
	// ByDomain lists entry VMs whose failure domain says that the revision is in
	// force on all that it hears of.
	ByDomain []string `json:"by_failure_domain"`
	Behind   []string `json:"behind"`
	NotHeard []string `json:"not_heard"`
	// Silent lists the addresses that were asked and gave no answer.
	Silent []string `json:"no_answer,omitempty"`
}

// complete reports whether every entry VM that is known holds the revision.
func (s *spread) complete() bool { return len(s.Behind)+len(s.NotHeard)+len(s.Silent) == 0 }

// String says what is known and what is not.
func (s *spread) String() string {
	known := len(s.InForce) + len(s.ByDomain) + len(s.Behind) + len(s.NotHeard)
	var text strings.Builder
	fmt.Fprintf(&text, "in force on %d of %d entry VMs", len(s.InForce), known)
	if len(s.ByDomain) > 0 {
		fmt.Fprintf(&text, "; by the word of their failure domain on %d more, if it hears of them: %s", len(s.ByDomain), strings.Join(s.ByDomain, ", "))
	}
	if len(s.Behind) > 0 {
		fmt.Fprintf(&text, "; not yet on %s", strings.Join(s.Behind, ", "))
	}
	if len(s.NotHeard) > 0 {
		fmt.Fprintf(&text, "; not heard from: %s", strings.Join(s.NotHeard, ", "))
	}
	if len(s.Silent) > 0 {
		fmt.Fprintf(&text, "; no answer at %s", strings.Join(s.Silent, ", "))
	}
	return text.String()
}

// spreadPeriod is the time between two looks at the members.
const spreadPeriod = 200 * time.Millisecond

// awaitForce waits until revision is in force on all entry VMs that are known,
// or the time to wait has passed.
func (r *editRun) awaitForce(ctx context.Context, revision units.Offset) *spread {
	deadline := time.Now().Add(r.wait)
	reported := time.Now()
	for {
		reached := r.lookSpread(ctx, revision)
		if reached.complete() || time.Now().After(deadline) || ctx.Err() != nil {
			return reached
		}
		if time.Since(reported) >= time.Second {
			reported = time.Now()
			r.progress("%s", reached)
		}
		time.Sleep(spreadPeriod)
	}
}

// lookSpread asks each entry VM that the command line names and joins what they
// say.
func (r *editRun) lookSpread(ctx context.Context, revision units.Offset) *spread {
	reached := &spread{Revision: revision}
	known := map[units.EntryVMID]admin.Member{}
	lowest := map[units.FailureDomain]units.Offset{}
	for _, c := range r.all {
		answer, err := c.Members(ctx)
		if err != nil {
			reached.Silent = append(reached.Silent, c.Address)
			continue
		}
		for _, m := range answer.EntryVMs {
			known[m.ID] = newerMember(known[m.ID], m)
		}
		for _, word := range answer.Domains {
			lowest[word.FailureDomain] = max(lowest[word.FailureDomain], word.LowestRevision)
		}
	}
	for _, m := range known {
		reached.add(m, lowest[m.FailureDomain])
	}
	for _, list := range [][]string{reached.InForce, reached.ByDomain, reached.Behind, reached.NotHeard} {
		slices.Sort(list)
	}
	return reached
}

// newerMember returns which of two words on one entry VM says more: its own word
// goes before that of others.
func newerMember(a, b admin.Member) admin.Member {
	switch {
	case a.ID == "" || !a.Heard:
		return b
	case !b.Heard:
		return a
	}
	order := cmp.Or(compareBool(a.Self, b.Self), compareBool(a.Alive, b.Alive), cmp.Compare(a.Revision, b.Revision))
	if order < 0 {
		return b
	}
	return a
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// add sorts one entry VM in. Lowest is the word of its failure domain, or 0.
func (s *spread) add(m admin.Member, lowest units.Offset) {
	name := string(m.ID) + " (" + string(m.FailureDomain) + ")"
	switch {
	case m.Heard && m.Alive && m.Revision >= s.Revision:
		s.InForce = append(s.InForce, name)
	case !m.Heard && lowest >= s.Revision:
		s.ByDomain = append(s.ByDomain, name)
	case m.Heard && m.Alive:
		s.Behind = append(s.Behind, name)
	default:
		s.NotHeard = append(s.NotHeard, name)
	}
}
