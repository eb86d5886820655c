package relay

import (
	"fmt"
	"testing"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/shoenig/test/must"
)

// TestHomesFollowEngines checks that two failure domains are home to shares of the
// adapters close to their shares of the engines, and that adapters move only to a domain
// whose engines are new.
func TestHomesFollowEngines(t *testing.T) {
	const adapters = 3000
	engines := Engines{"galle": 8, "matara": 4, "empty": 0}
	homes := map[units.FailureDomain]int{}
	for i := range adapters {
		av := units.AdapterVersion{Adapter: units.AdapterName(fmt.Sprint("a", i)), Version: "v1"}
		home := engines.Home(av)
		homes[home]++
		more := Engines{"galle": 8, "matara": 4, "kandy": 6}
		if now := more.Home(av); now != home {
			must.Eq(t, "kandy", now)
		}
	}
	must.Eq(t, 0, homes["empty"])
	must.Between(t, adapters*6/10, homes["galle"], adapters*73/100)
	must.Eq(t, units.FailureDomain(""), Engines{}.Home(units.AdapterVersion{Adapter: "a"}))
}

func TestChooseInStaysInTheRegion(t *testing.T) {
	peers := peersOf(map[units.FailureDomain]units.Region{"matara": "south", "kandy": "central"})
	for _, tc := range []struct {
		name   string
		relay  Relay
		own    event.VM
		domain units.FailureDomain
		found  bool
	}{
		{"same region", Relay{}, own, "matara", true},
		{"other region", Relay{}, own, "kandy", false},
		{"unknown failure domain", Relay{}, own, "nowhere", false},
		{"switched off", Relay{BytesPerSecond: -1}, own, "matara", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := tc.relay.ChooseIn(0, tc.own, tc.domain, peers, "r")
			must.Eq(t, tc.found, p != nil)
			if p == nil {
				return
			}
			must.Eq(t, tc.domain, p.FailureDomain)
			tc.relay.Avoid(0, p.ID)
			must.Nil(t, tc.relay.ChooseIn(1, tc.own, tc.domain, peers, "r"))
		})
	}
}
