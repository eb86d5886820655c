package cmds

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"mangostile/internal/node/fleet"

	"github.com/shoenig/test/must"
)

// TestPlatformServers prints the backend servers of an entry VM, and asks for its address if none
// answers.
func TestPlatformServers(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		must.Eq(t, fleet.ServersPath, r.URL.Path)
		_, _ = w.Write([]byte(`[{"server":"i-1","service":"llm","region":"south","software":"v1","pace":0.5,"window":12,"active":3},
			{"server":"i-2","service":"llm","region":"south","software":"v2","draining":true,"leaving":true,"backoff_ms":1250,"active":0}]`))
	}))
	address := strings.TrimPrefix(server.URL, "http://")
	list := func() (int, string) {
		var out strings.Builder
		code := run(t.Context(), []string{"mangostile", "platform", "servers", "--metrics", address}, strings.NewReader(""), &out, &out)
		return code, out.String()
	}
	code, out := list()
	must.Eq(t, exitDone, code)
	must.Eq(t, `SERVER  SERVICE  REGION  SOFTWARE  REQUESTS  PACE  STATE
i-1     llm      south   v1        3         0.50  has started, window of 12
i-2     llm      south   v2        0         1.00  draining, said that it leaves, back-off for 1.2 s
`, out)
	server.Close()
	code, out = list()
	must.NotEq(t, exitDone, code)
	must.StrContains(t, out, "--metrics ADDRESS")
}
