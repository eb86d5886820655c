package choose

import (
	"cmp"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"
)

// ServerStatus is what one entry VM knows of a backend server.
type ServerStatus struct {
	Server   units.BackendServerID `json:"server"`
	Service  units.ServiceName     `json:"service"`
	Region   units.Region          `json:"region"`
	Software topo.Software         `json:"software,omitempty"`
	// Draining is true if the list says that it leaves, or no longer has it, Leaving if it said so
	// in an answer.
	Draining bool `json:"draining,omitempty"`
	Leaving  bool `json:"leaving,omitempty"`
	// Backoff is the remaining time in ms for which it asked for no requests.
	Backoff clock.Millis `json:"backoff_ms,omitempty"`
	// Limit is the rate of requests per second that it named for all entry VMs together.
	Limit units.Rate `json:"limit_per_s,omitempty"`
	// Pace is its speed as a multiple of that of the other servers of its service, 0 if it is the same.
	// Window is the number of requests of all entry VMs that it is to get at most since it has just
	// started or recovered, 0 for any.
	Pace   float64 `json:"pace,omitempty"`
	Window int32   `json:"window,omitempty"`
	// Active is the number of requests of this entry VM in flight there.
	Active int32 `json:"active"`
}

// Status returns the status of all backend servers in order.
func (c *Core) Status(now clock.Millis) []ServerStatus {
	c.now = max(c.now, now)
	list := make([]ServerStatus, 0, len(c.servers))
	for id, v := range c.servers {
		speed := 0.0
		if v.pace.Step != 0 {
			speed = v.pace.Step.Speed()
		}
		list = append(list, ServerStatus{
			Server: id, Service: v.Service, Region: v.Region, Software: v.Software, Draining: v.Draining, Leaving: v.leaving,
			Backoff: max(0, v.backoff.until-c.now), Limit: v.limit.named, Pace: speed, Window: v.pace.Window.Limit(), Active: v.own.active,
		})
	}
	slices.SortFunc(list, func(a, b ServerStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server))
	})
	return list
}
