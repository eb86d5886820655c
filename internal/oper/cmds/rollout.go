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

// rollout lists on which entry VMs a table revision is active.
type rollout struct {
	Revision units.Offset `json:"revision"`
	// Active, ByDomain, Behind and Unknown are sorted and share no entry VM. Behind
	// lists those that reported an older revision. Unknown lists those that reported
	// none or that the queried entry VMs don't see as alive; they may hold any revision.
	Active []string `json:"entry_vms"`
	// ByDomain lists entry VMs that sent no report themselves, but whose failure domain
	// reports the revision as active on all members that it receives heartbeats from.
	ByDomain []string `json:"by_failure_domain"`
	Behind   []string `json:"behind"`
	Unknown  []string `json:"not_heard"`
	// NoAnswer lists the queried addresses that did not answer.
	NoAnswer []string `json:"no_answer,omitempty"`
}

// complete reports whether the revision is active on every known entry VM.
func (r *rollout) complete() bool { return len(r.Behind)+len(r.Unknown)+len(r.NoAnswer) == 0 }

// String returns a one-line summary for operators.
func (r *rollout) String() string {
	known := len(r.Active) + len(r.ByDomain) + len(r.Behind) + len(r.Unknown)
	var text strings.Builder
	fmt.Fprintf(&text, "in force on %d of %d entry VMs", len(r.Active), known)
	if len(r.ByDomain) > 0 {
		fmt.Fprintf(&text, "; by the word of their failure domain on %d more, if it hears of them: %s", len(r.ByDomain), strings.Join(r.ByDomain, ", "))
	}
	if len(r.Behind) > 0 {
		fmt.Fprintf(&text, "; not yet on %s", strings.Join(r.Behind, ", "))
	}
	if len(r.Unknown) > 0 {
		fmt.Fprintf(&text, "; not heard from: %s", strings.Join(r.Unknown, ", "))
	}
	if len(r.NoAnswer) > 0 {
		fmt.Fprintf(&text, "; no answer at %s", strings.Join(r.NoAnswer, ", "))
	}
	return text.String()
}

// rolloutPollPeriod is the time between two queries of the members.
const rolloutPollPeriod = 200 * time.Millisecond

// waitRollout waits until revision is active on all known entry VMs, r.wait has passed or
// ctx ends. It prints its progress each second and returns the last status.
func (r *editRun) waitRollout(ctx context.Context, revision units.Offset) *rollout {
	deadline := time.Now().Add(r.wait)
	lastProgress := time.Now()
	for {
		status := r.queryRollout(ctx, revision)
		if status.complete() || time.Now().After(deadline) || ctx.Err() != nil {
			return status
		}
		if time.Since(lastProgress) >= time.Second {
			lastProgress = time.Now()
			r.progress("%s", status)
		}
		time.Sleep(rolloutPollPeriod)
	}
}

// queryRollout queries each entry VM that the command line names and merges their
// member lists.
func (r *editRun) queryRollout(ctx context.Context, revision units.Offset) *rollout {
	status := &rollout{Revision: revision}
	known := map[units.EntryVMID]admin.Member{}
	lowest := map[units.FailureDomain]units.Offset{}
	for _, c := range r.clients {
		answer, err := c.Members(ctx)
		if err != nil {
			status.NoAnswer = append(status.NoAnswer, c.Address)
			continue
		}
		for _, m := range answer.EntryVMs {
			known[m.ID] = preferredMember(known[m.ID], m)
		}
		for _, domain := range answer.Domains {
			lowest[domain.FailureDomain] = max(lowest[domain.FailureDomain], domain.LowestRevision)
		}
	}
	for _, m := range known {
		status.add(m, lowest[m.FailureDomain])
	}
	for _, list := range [][]string{status.Active, status.ByDomain, status.Behind, status.Unknown} {
		slices.Sort(list)
	}
	return status
}

// preferredMember returns the better of two reports on one entry VM: one with a received
// heartbeat before one without, its own report before those of others, alive before not
// alive, then the higher revision.
func preferredMember(a, b admin.Member) admin.Member {
	switch {
	case a.ID == "" || !a.HeartbeatReceived:
		return b
	case !b.HeartbeatReceived:
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

// add puts one entry VM into its list. Lowest is the lowest revision that its failure
// domain reports, or 0.
func (r *rollout) add(m admin.Member, lowest units.Offset) {
	name := string(m.ID) + " (" + string(m.FailureDomain) + ")"
	switch {
	case m.HeartbeatReceived && m.Alive && m.Revision >= r.Revision:
		r.Active = append(r.Active, name)
	case !m.HeartbeatReceived && lowest >= r.Revision:
		r.ByDomain = append(r.ByDomain, name)
	case m.HeartbeatReceived && m.Alive:
		r.Behind = append(r.Behind, name)
	default:
		r.Unknown = append(r.Unknown, name)
	}
}
