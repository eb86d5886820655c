package fleet

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// TestServersAreListed checks that the metrics address lists what backend servers said of
// themselves.
func TestServersAreListed(t *testing.T) {
	n := New(Options{Settings: Settings{ID: "vm0"}, Clock: clock.NewManual(clock.Hour)})
	n.withCore(func(core *choose.Core) {
		core.SetServers(clock.Hour, []*topo.Server{{ID: "e1", Service: "llm", StartedAt: 1, Software: "v1"}, {ID: "e2", Service: "llm", StartedAt: 1}})
		core.NoteLeaving("e1", 1)
		core.NoteBackoff(clock.Hour, "e2", 1, clock.Second)
	})
	recorder := httptest.NewRecorder()
	n.answerMetrics(recorder, httptest.NewRequest(http.MethodGet, ServersPath, nil))
	var list []choose.ServerStatus
	must.NoError(t, json.NewDecoder(recorder.Body).Decode(&list))
	must.Eq(t, []choose.ServerStatus{{Server: "e1", Service: "llm", Software: "v1", Leaving: true}, {Server: "e2", Service: "llm", Backoff: clock.Second}}, list)
}
