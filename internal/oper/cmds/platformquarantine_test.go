package cmds

import (
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/blame"
	"mangostile/internal/fake/keylog"
	"mangostile/internal/node/fleet"
	"mangostile/platform"

	"github.com/shoenig/test/must"
)

// quarantineLog starts a store with verdicts on keys 1 to n and returns its address.
func quarantineLog(t *testing.T, n int) (*keylog.Store, string) {
	t.Helper()
	log := &keylog.Store{}
	server := httptest.NewServer(log)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	store := platform.NewStore(address, nil)
	for i := range n {
		v := blame.Verdict{Key: blame.Key(i + 1), Version: 3, Quarantined: true, Remaining: blame.Term, Server: "i-1"}
		list, err := store.ReadQuarantines(t.Context(), 0)
		must.NoError(t, err)
		_, err = store.AppendQuarantine(t.Context(), list.Next, fleet.NewQuarantineRecord(v, clock.WallNow()))
		must.NoError(t, err)
	}
	return log, address
}

// runQuarantine runs a command of platform quarantine and returns its exit code and output.
func runQuarantine(t *testing.T, args ...string) (int, string) {
	t.Helper()
	var out strings.Builder
	code := run(t.Context(), append([]string{"mangostile", "platform", "quarantine"}, args...), strings.NewReader(""), &out, &out)
	return code, out.String()
}

// TestLiftPlatformQuarantine lifts one of several quarantines. The others stay, and entry VMs
// read a verdict that replaces the former one.
func TestLiftPlatformQuarantine(t *testing.T) {
	_, address := quarantineLog(t, 7)
	conf := filepath.Join(t.TempDir(), "node.conf")
	must.NoError(t, os.WriteFile(conf, []byte(strings.Replace(nodeConf, "platform.address=127.0.0.1:3", "platform.address="+address, 1)), 0o600))
	code, out := runQuarantine(t, "list", "--settings", conf)
	must.Eq(t, exitDone, code, must.Sprint(out))
	must.Eq(t, 7, strings.Count(out, "quarantined"))
	must.StrContains(t, out, "0000000000000007  quarantined  3")
	must.StrContains(t, out, "i-1")

	code, out = runQuarantine(t, "lift", "7", "--store", address)
	must.Eq(t, exitDone, code, must.Sprint(out))
	must.StrContains(t, out, "lifted 0000000000000007")
	store := platform.NewStore(address, nil)
	list, err := store.ReadQuarantines(t.Context(), 7)
	must.NoError(t, err)
	must.Len(t, 1, list.Records)
	got := list.Records[0]
	must.Between(t, blame.Term-clock.Minute, got.Remaining, blame.Term)
	got.Remaining = 0
	must.Eq(t, blame.Verdict{Key: 7, Version: 4, Reason: blame.ReasonLifted, Server: "i-1"}, got.Verdict)

	code, out = runQuarantine(t, "--store", address, "lift", "0000000000000007")
	must.Eq(t, exitDone, code)
	must.StrContains(t, out, "lifted already")
	code, out = runQuarantine(t, "--store", address, "list")
	must.Eq(t, exitDone, code)
	must.Eq(t, 6, strings.Count(out, "quarantined"), must.Sprint(out))
	must.StrContains(t, out, "0000000000000007  lifted       4")
}

// TestPlatformQuarantineNamesTheRemedy guards against a lift that seems to succeed, and against
// a mistyped command that starts an entry VM.
func TestPlatformQuarantineNamesTheRemedy(t *testing.T) {
	log, address := quarantineLog(t, 1)
	down := &keylog.Store{}
	down.Down.Store(true)
	server := httptest.NewServer(down)
	defer server.Close()
	downAddress := strings.TrimPrefix(server.URL, "http://")
	for _, tc := range []struct {
		name string
		args []string
		lose bool
		code int
		want string
	}{
		{"unknown key", []string{"lift", "9", "--store", address}, false, exitFailed, "see platform quarantine list"},
		{"no key", []string{"lift", "--store", address}, false, exitUsage, "lift takes 1 arguments"},
		{"not a key", []string{"lift", "x", "--store", address}, false, exitUsage, "hexadecimal digits"},
		{"argument of list", []string{"list", "7", "--store", address}, false, exitUsage, "list takes 0 arguments"},
		{"unknown command", []string{"lit"}, false, exitUsage, "lit"},
		{"no settings", []string{"list", "--settings", "none.conf"}, false, exitFailed, "--store ADDRESS"},
		{"store down", []string{"lift", "1", "--store", downAddress}, false, exitFailed, "busy or down"},
		{"no answer", []string{"lift", "1", "--store", address}, true, exitFailed, "may be lifted"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			log.LoseAppends.Store(tc.lose)
			code, out := runQuarantine(t, tc.args...)
			must.Eq(t, tc.code, code, must.Sprint(out))
			must.StrContains(t, out, tc.want)
		})
	}
	var out strings.Builder
	must.Eq(t, exitUsage, run(t.Context(), []string{"mangostile", "platform", "quarantin"}, strings.NewReader(""), &out, &out))
	must.StrContains(t, out.String(), fmt.Sprintf("no command %q", "quarantin"))
}
