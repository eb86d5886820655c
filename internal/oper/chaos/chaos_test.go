package chaos

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestDisturbances guards against callers that fare worse because entry VMs heed what backend
// servers say of themselves. The load is that of all requests of a third of the engines, which move
// to the others at once.
func TestDisturbances(t *testing.T) {
	for _, disturbance := range Disturbances() {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(disturbance, seed), func(t *testing.T) {
				r := Run(Scenario{Disturbance: disturbance, Seed: seed})
				heeds, ignores := &r.Results[0], &r.Results[1]
				must.Eq(t, Heeds, heeds.Policy)
				// Each entry VM may send each engine one request more at the same time as the first.
				limit := 2 * r.Scenario.EntryVMs * r.Scenario.Engines / 3
				must.LessEq(t, limit, heeds.InBackoff)
				must.LessEq(t, limit, heeds.AtLeaving)
				must.Zero(t, heeds.Mixed)
				for i := range heeds.Phases {
					must.GreaterEq(t, ignores.Phases[i].ServedShare()-0.01, heeds.Phases[i].ServedShare())
				}
			})
		}
	}
}

// TestAdaptersMoveDuringABackoff guards against requests that wait for the end of a back-off because
// the placer counts the copies there: it did not load the adapters elsewhere.
func TestAdaptersMoveDuringABackoff(t *testing.T) {
	r := Run(Scenario{Disturbance: Backoff, Seed: 1})
	must.GreaterEq(t, 0.9, r.Results[0].Phases[1].ServedShare())
}

func TestReportIsWritten(t *testing.T) {
	r := Run(Scenario{Disturbance: Release, Engines: 6, Rate: 10, Duration: 30000})
	var table strings.Builder
	must.NoError(t, r.WriteTable(&table))
	must.StrContains(t, table.String(), "release, seed 0: 33 % of 6 engines")
	path := filepath.Join(t.TempDir(), "plot.png")
	must.NoError(t, r.SavePlot(path))
	info, err := os.Stat(path)
	must.NoError(t, err)
	must.Positive(t, info.Size())
}
