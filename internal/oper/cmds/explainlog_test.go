package cmds

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestExplainLogs(t *testing.T) {
	dir := t.TempDir()
	one, two := filepath.Join(dir, "one.log"), filepath.Join(dir, "two.log")
	must.NoError(t, os.WriteFile(one, []byte(
		"2026-05-05T04:04:24.448Z [INFO]  mangostile: attempt_ended: request=r1 server=i-1 end=missing\n"+
			"2026-05-05T04:04:24.500Z [INFO]  mangostile: attempt_ended: request=r12 server=i-1 end=served\n"+
			"2026-05-05T04:04:25.000Z [INFO]  mangostile: request_refused: request=r1 reason=\"no time is left\"\n"), 0o600))
	must.NoError(t, os.WriteFile(two, []byte("   3.4 front-1 2026-05-05T04:04:24.700Z [INFO]  mangostile: attempt_ended: server=i-2 request=r1\n"), 0o600))
	var out strings.Builder
	must.NoError(t, explainLogs(&out, []string{one, two}, "r1"))
	must.Eq(t, "2026-05-05T04:04:24.448Z  "+one+"  mangostile: attempt_ended: request=r1 server=i-1 end=missing\n"+
		"2026-05-05T04:04:24.700Z  front-1  mangostile: attempt_ended: server=i-2 request=r1\n"+
		"2026-05-05T04:04:25.000Z  "+one+"  mangostile: request_refused: request=r1 reason=\"no time is left\"\n", out.String())
	must.ErrorContains(t, explainLogs(&out, []string{one}, "r9"), "--log")
	must.ErrorContains(t, explainLogs(&out, []string{filepath.Join(dir, "none")}, "r1"), "readable files")
}
