package cmds

import (
	"testing"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/node/admin"

	"github.com/shoenig/test/must"
)

// TestRolloutText checks the summary of one entry VM's state for an edit at revision 5.
func TestRolloutText(t *testing.T) {
	for _, tc := range []struct {
		name   string
		member admin.Member
		lowest units.Offset
		text   string
	}{
		{"in force", admin.Member{HeartbeatReceived: true, Alive: true, Revision: 5}, 0, "in force on 1 of 1 entry VMs"},
		{"behind", admin.Member{HeartbeatReceived: true, Alive: true, Revision: 4}, 0, "in force on 0 of 1 entry VMs; not yet on e (d)"},
		{"heartbeat too old", admin.Member{HeartbeatReceived: true, Revision: 5}, 0, "in force on 0 of 1 entry VMs; not heard from: e (d)"},
		{"no heartbeat", admin.Member{}, 0, "in force on 0 of 1 entry VMs; not heard from: e (d)"},
		{
			"other failure domain",
			admin.Member{},
			5,
			"in force on 0 of 1 entry VMs; by the word of their failure domain on 1 more, if it hears of them: e (d)",
		},
		{"other failure domain behind", admin.Member{}, 4, "in force on 0 of 1 entry VMs; not heard from: e (d)"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			status := &rollout{Revision: 5}
			tc.member.ID, tc.member.FailureDomain = "e", "d"
			status.add(tc.member, tc.lowest)
			must.Eq(t, tc.text, status.String())
		})
	}
}

// TestPreferredMemberIsItsOwnReport guards against a rollout status that prefers a
// peer's report with a higher revision, or one without a heartbeat, to the entry VM's own.
func TestPreferredMemberIsItsOwnReport(t *testing.T) {
	own := admin.Member{ID: "e", Self: true, Alive: true, HeartbeatReceived: true, Revision: 4}
	other := admin.Member{ID: "e", Alive: true, HeartbeatReceived: true, Revision: 5}
	noHeartbeat := admin.Member{ID: "e"}
	must.Eq(t, own, preferredMember(own, other))
	must.Eq(t, own, preferredMember(other, own))
	must.Eq(t, other, preferredMember(noHeartbeat, other))
	must.Eq(t, other, preferredMember(other, noHeartbeat))
	must.Eq(t, other, preferredMember(admin.Member{}, other))
}

// TestEditErrorNamesOutcome guards against an error that claims that nothing changed while
// the outcome of the edit is unknown.
func TestEditErrorNamesOutcome(t *testing.T) {
	for kind, text := range map[event.EditKind]string{
		event.EditConflict:    "nothing changed",
		event.EditInvalid:     "nothing changed",
		event.EditNotAppended: "nothing changed",
		event.EditUnknown:     "the outcome is not known",
	} {
		must.StrContains(t, (&editError{kind}).Error(), text)
	}
}
