package homes

import (
	"fmt"
	"testing"

	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
)

// TestNewsTellsOnlyWhatChanged answers a large deployment with little traffic: with
// 3,000 backend servers the placers told 300 entry VMs of all loads and copies four
// times a second, 16 MB/s each.
func TestNewsTellsOnlyWhatChanged(t *testing.T) {
	var ids []string
	for i := range 200 {
		ids = append(ids, fmt.Sprint("s", i))
	}
	f := newFleet(8, ids...)
	f.wants(1200, 500, "a1")
	f.run(1200, 1600)
	news := func() []peer.ServerHomes {
		f.CallForLoads(Near)
		return f.News(f.now, Near, "r", 1, false).Servers
	}
	must.Eq(t, len(ids), len(news()))
	must.SliceEmpty(t, news())
	home := f.orders[0].Server
	use := func(active int32) {
		f.Used(f.now+10, "vm", &peer.Usage{Shard: "r", Address: "a", Servers: []peer.ServerUse{{Server: home, Active: active, Prefill: 700}}})
		f.Step(f.now, true)
	}
	use(1)
	must.Eq(t, []peer.ServerHomes{{Server: home, LoadOnly: true, Active: 1, Prefill: 700}}, news())
	must.SliceEmpty(t, news())
	f.Used(f.now+10, "vm", &peer.Usage{Shard: "r", Address: "a", Missing: []peer.Missing{{Server: home, Adapter: "m/a1"}}})
	f.Step(f.now, true)
	told := news()
	must.SliceLen(t, 1, told)
	must.False(t, told[0].LoadOnly)
	must.Eq(t, home, told[0].Server)
}

// TestLapsedUsageIsLeftOut has an entry VM go silent.
func TestLapsedUsageIsLeftOut(t *testing.T) {
	f := newFleet(8, "s1")
	f.Used(1200, "vm", &peer.Usage{Shard: "r", Address: "a", Servers: []peer.ServerUse{{Server: "s1", Active: 3}}})
	f.Step(1210, true)
	must.Eq(t, 3, f.servers["s1"].active)
	f.Step(1200+2*usageTerm, true)
	must.Zero(t, f.servers["s1"].active)
}
