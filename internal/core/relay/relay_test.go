package relay

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/proof"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/member"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var own = event.VM{ID: "entry-1", FailureDomain: "galle", Region: "south"}

func peersOf(domains map[units.FailureDomain]units.Region) []*member.Peer {
	var peers []*member.Peer
	for domain, region := range domains {
		for i := range 2 {
			id := units.EntryVMID(fmt.Sprintf("%s-%d", domain, i))
			peers = append(peers, &member.Peer{ID: id, FailureDomain: domain, Region: region, ServeAddress: "127.0.0.1:1"})
		}
	}
	return peers
}

func TestChoose(t *testing.T) {
	all := map[units.FailureDomain]units.Region{"galle": "south", "matara": "south", "kandy": "central"}
	for _, tc := range []struct {
		name   string
		relay  Relay
		peers  []*member.Peer
		fwd    Forward
		domain units.FailureDomain
		reason string
	}{
		{"own region first", Relay{}, peersOf(all), Forward{}, "matara", "other_failure_domain"},
		{"other region after a failure", Relay{}, peersOf(all), Forward{Tried: []units.BackendServerID{"matara-0"}}, "kandy", "other_region"},
		{"all domains tried", Relay{}, peersOf(all), Forward{Tried: []units.BackendServerID{"matara-0", "kandy-1"}}, "", "no_failure_domain_reachable"},
		{"switched off", Relay{BytesPerSecond: -1}, peersOf(all), Forward{}, "", "switched_off"},
		{"only the own failure domain", Relay{}, peersOf(map[units.FailureDomain]units.Region{"galle": "south"}), Forward{}, "", "no_failure_domain_reachable"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			choice := tc.relay.Choose(0, own, tc.peers, tc.fwd)
			must.Eq(t, tc.reason, choice.Reason)
			must.Eq(t, tc.domain != "", choice.Peer != nil)
			if choice.Peer != nil {
				must.Eq(t, tc.domain, choice.Peer.FailureDomain)
			}
		})
	}
}

func TestUnreachableEntryVMIsAvoidedForAWhile(t *testing.T) {
	var r Relay
	peers := peersOf(map[units.FailureDomain]units.Region{"matara": "south"})
	first := r.Choose(0, own, peers, Forward{Request: "r"}).Peer
	r.Avoid(0, first.ID)
	must.NotEq(t, first.ID, r.Choose(1, own, peers, Forward{Request: "r"}).Peer.ID)
	must.Eq(t, first.ID, r.Choose(AvoidPeriod, own, peers, Forward{Request: "r"}).Peer.ID)
}

// TestLinkShareIsKept checks that the bytes sent to another region never exceed the share
// of the elapsed time plus its burst plus one request that is larger than the share.
func TestLinkShareIsKept(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		const rate = 1000
		r := Relay{BytesPerSecond: rate}
		peers := peersOf(map[units.FailureDomain]units.Region{"kandy": "central"})
		var now clock.Millis
		var sent, largest units.Bytes
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now += clock.Millis(rapid.IntRange(0, 3000).Draw(t, "after"))
			bytes := units.Bytes(rapid.IntRange(1, 6000).Draw(t, "bytes"))
			if r.Choose(now, own, peers, Forward{Bytes: bytes}).Peer != nil {
				sent += bytes
				largest = max(largest, bytes)
			}
			allowed := rate*(now+burst)/clock.Second + clock.Millis(largest)
			must.LessEq(t, units.Bytes(allowed), sent)
		}
	})
}
