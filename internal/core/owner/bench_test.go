package owner

import (
	"fmt"
	"testing"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
)

// BenchmarkRelease measures the release of one grant and the grant of the next request.
// The owner has 15 engines, each with 200 requests waiting for a place in the batch.
func BenchmarkRelease(b *testing.B) {
	o := Owner{Self: "entry-1", Incarnation: 1}
	var out event.Effects
	var specs []event.VM
	for i := range 15 {
		specs = append(specs, event.VM{ID: fmt.Sprint("engine-", i), Kind: event.KindEngine, Slots: 40, BatchMax: 32, ChecksFence: true})
	}
	o.SetServers(specs, &out)
	for _, spec := range specs {
		s := o.servers[units.BackendServerID(spec.ID)]
		s.phase, s.renewedAt, s.report.Ready = phaseOwned, 1, true
		for n := range 40 {
			s.copy(version(n))
		}
	}
	n := 0
	ask := func(server units.BackendServerID) {
		n++
		o.RequestGrant(2, holder, &peer.GrantRequest{Request: units.RequestID(fmt.Sprint("r", n)), Server: server, Adapter: version(n % 40), Remaining: 20000}, &out)
	}
	for _, spec := range specs {
		for range 232 {
			ask(units.BackendServerID(spec.ID))
		}
	}
	s := o.servers["engine-0"]
	for b.Loop() {
		out.Reset()
		var last *grant
		for _, g := range s.grants {
			last = g
			break
		}
		o.Release(2, holder, &peer.GrantRelease{Request: last.request, Server: "engine-0", Grant: last.number}, &out)
		ask("engine-0")
	}
}
