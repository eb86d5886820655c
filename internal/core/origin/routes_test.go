package origin

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// testRoutes returns a configuration of resumable streams: each route is a path prefix and its services.
func testRoutes(version int64, routes ...string) *topo.Config {
	cfg := &topo.Config{Version: version}
	for _, text := range routes {
		fields := strings.Fields(text)
		r := topo.Route{Host: "h", PathPrefix: fields[0], Kind: topo.KindStream, Resumable: true}
		for _, service := range fields[1:] {
			r.Shares = append(r.Shares, topo.Share{Service: units.ServiceName(service), Weight: 1})
		}
		cfg.Routes = append(cfg.Routes, r)
	}
	return cfg
}

// TestRoutesRememberTheirServices guards against streams that are joined with those of another service, since
// the service that began them is not one of the route any more.
func TestRoutesRememberTheirServices(t *testing.T) {
	const window = 30 * clock.Second
	for _, tc := range []struct {
		name string
		// configs come into force 1 s after each other.
		configs []*topo.Config
		// later is the time from the last one on.
		later clock.Millis
		want  string
	}{
		{"one configuration", []*topo.Config{testRoutes(1, "/a/ x")}, 0, "x"},
		{"moved", []*topo.Config{testRoutes(1, "/a/ x"), testRoutes(2, "/a/ y")}, 0, "x y"},
		{"moved long ago", []*topo.Config{testRoutes(1, "/a/ x"), testRoutes(2, "/a/ y")}, window + 1, "y"},
		{"moved twice", []*topo.Config{testRoutes(1, "/a/ x"), testRoutes(2, "/a/ y"), testRoutes(3, "/a/ z")}, window, "y z"},
		{"an older configuration comes late", []*topo.Config{testRoutes(2, "/a/ x"), testRoutes(1, "/a/ y")}, 0, "x"},
		{"split", []*topo.Config{testRoutes(1, "/a/ x"), testRoutes(2, "/a/ x y")}, 0, "x y"},
		{"a longer prefix is removed", []*topo.Config{testRoutes(1, "/ y", "/a/ x"), testRoutes(2, "/ y")}, 0, "x y"},
		{"a longer prefix is added", []*topo.Config{testRoutes(1, "/ x"), testRoutes(2, "/ x", "/a/ y")}, 0, "x y"},
		{"a longer prefix is removed and another one added", []*topo.Config{testRoutes(1, "/ y", "/a/ x"), testRoutes(2, "/ y"), testRoutes(3, "/ y", "/a/x z")}, 0, "x y z"},
		{"removed and added again", []*topo.Config{testRoutes(1, "/a/ x"), testRoutes(2, "/b/ z"), testRoutes(3, "/a/ y")}, 0, "x y"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var r Routes
			now := clock.Hour
			for _, cfg := range tc.configs {
				now += clock.Second
				r.Set(now, cfg, false)
			}
			now += tc.later
			route := tc.configs[len(tc.configs)-1].Match("h", "/a/x")
			if r.config != tc.configs[len(tc.configs)-1] {
				route = r.config.Match("h", "/a/x")
			}
			services := r.Services(RouteKeyOf(route), now-window)
			slices.Sort(services)
			must.Eq(t, "["+tc.want+"]", fmt.Sprint(services))
			must.Eq(t, clock.Hour+clock.Second, r.Since())
			r.Set(now, tc.configs[0], true)
			must.Eq(t, now, r.Since())
		})
	}
}
