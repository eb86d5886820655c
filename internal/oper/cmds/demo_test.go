package cmds

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestDemoKeepsItsPromises(t *testing.T) {
	var out strings.Builder
	must.NoError(t, runDemo(t.Context(), &out, false), must.Sprint(out.String()))
	must.StrContains(t, out.String(), "verdict: every promise shown held")
}
