package peer

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// Usage tells the placer of a shard what the sender uses of it.
type Usage struct {
	Shard string `msgpack:"s"`
	// Address is where the sender takes messages.
	Address string       `msgpack:"a"`
	Region  units.Region `msgpack:"g,omitempty"`
	// WantFull asks for all homes, since the sender missed some.
	WantFull bool `msgpack:"f,omitempty"`
	// Servers lists the backend servers at which the sender has requests, or had
	// some since its last report.
	Servers []ServerUse `msgpack:"u,omitempty"`
	// Wants lists adapters that requests wait for.
	Wants []Want `msgpack:"w,omitempty"`
	// Missing lists copies that backend servers said they do not hold.
	Missing []Missing `msgpack:"m,omitempty"`
	// Unreached lists backend servers to which no connection could be had.
	Unreached []units.BackendServerID `msgpack:"x,omitempty"`
}

// ServerUse is what one entry VM uses of one backend server.
type ServerUse struct {
	Server units.BackendServerID `msgpack:"s"`
	Active int32                 `msgpack:"a,omitempty"`
	// Prefill counts prompt tokens of requests that have not had an event.
	Prefill units.Tokens `msgpack:"p,omitempty"`
	// Tokens counts prompt and output tokens of all requests.
	Tokens   units.Tokens `msgpack:"k,omitempty"`
	Adapters []AdapterUse `msgpack:"d,omitempty"`
}

// AdapterUse is what one entry VM uses of one adapter at one backend server.
type AdapterUse struct {
	Adapter units.AdapterName `msgpack:"n"`
	Active  int32             `msgpack:"a,omitempty"`
	// Arrived counts requests sent since the last report.
	Arrived int32 `msgpack:"r,omitempty"`
}

// Want is an adapter that requests wait for.
type Want struct {
	Adapter units.AdapterName `msgpack:"n"`
	Count   int32             `msgpack:"c"`
	// Arrived counts requests for it since the last report.
	Arrived int32 `msgpack:"r,omitempty"`
	// Rank is that of the most urgent request; 0 is the most urgent.
	Rank int8 `msgpack:"k,omitempty"`
	// Waited is the time that the oldest request has waited.
	Waited clock.Millis `msgpack:"t,omitempty"`
	// InTime is the time within which the adapter must be there for the latest
	// request to have its first event in time. It is negative if that is past.
	InTime clock.Millis `msgpack:"i,omitempty"`
}

// Missing is a copy that a backend server does not hold although it was told so.
type Missing struct {
	Server  units.BackendServerID `msgpack:"s"`
	Adapter units.AdapterName     `msgpack:"n"`
}

// Homes tells where the adapters of a shard are. Without Full only backend servers
// that changed are listed, and Sequence follows the last one.
type Homes struct {
	Shard    string        `msgpack:"s"`
	Fence    units.Fence   `msgpack:"f"`
	Sequence uint64        `msgpack:"n"`
	Full     bool          `msgpack:"a,omitempty"`
	Servers  []ServerHomes `msgpack:"v,omitempty"`
	// LoadWait is how long a load asked for now waits before it begins.
	LoadWait clock.Millis `msgpack:"w,omitempty"`
	// EntryVMs counts those that report to the placer.
	EntryVMs int32 `msgpack:"e,omitempty"`
	// LeaseNext is the end of the shard's lease as the placer has read it; Left is how
	// much longer its right holds unless it is renewed from there on.
	LeaseNext units.Offset `msgpack:"o,omitempty"`
	Left      clock.Millis `msgpack:"l,omitempty"`
}

// ServerHomes is what one backend server holds.
type ServerHomes struct {
	Server units.BackendServerID `msgpack:"s"`
	// Gone tells that the placer has no such backend server any more.
	Gone bool `msgpack:"g,omitempty"`
	// LoadOnly tells that models and copies are as told before.
	LoadOnly bool              `msgpack:"l,omitempty"`
	Models   []units.ModelName `msgpack:"m,omitempty"`
	Copies   []HomeCopy        `msgpack:"c,omitempty"`
	// Active, Prefill and Tokens add up what all entry VMs reported.
	Active  int32        `msgpack:"a,omitempty"`
	Prefill units.Tokens `msgpack:"p,omitempty"`
	Tokens  units.Tokens `msgpack:"k,omitempty"`
}

// HomeCopy is one adapter at a backend server that may be used now or soon.
type HomeCopy struct {
	Adapter  units.AdapterName `msgpack:"n"`
	Revision int64             `msgpack:"r,omitempty"`
	// Ready is the time until the copy can be used, 0 for now.
	Ready clock.Millis `msgpack:"t,omitempty"`
}

// Telling reports whether m tells more than that its sender listens.
func (m *Usage) Telling() bool {
	return m.WantFull || len(m.Servers)+len(m.Wants)+len(m.Missing)+len(m.Unreached) > 0
}

func (*Usage) peerMessage() {}
func (*Homes) peerMessage() {}

// Check implements Message.
func (m *Usage) Check() error {
	if m.Shard == "" || m.Address == "" {
		return invalid("usage", "shard and address are needed")
	}
	for i := range m.Servers {
		if m.Servers[i].Active < 0 || m.Servers[i].Prefill < 0 {
			return invalid("usage", "negative count")
		}
	}
	for i := range m.Wants {
		if m.Wants[i].Adapter == "" || m.Wants[i].Waited < 0 {
			return invalid("usage", "a want needs an adapter and a time that is not negative")
		}
	}
	return nil
}

// Check implements Message.
func (m *Homes) Check() error {
	if m.Shard == "" || m.Fence == 0 {
		return invalid("homes", "shard and fence are needed")
	}
	for i := range m.Servers {
		if m.Servers[i].Server == "" {
			return invalid("homes", "backend server without id")
		}
		for _, c := range m.Servers[i].Copies {
			if c.Adapter == "" || c.Ready < 0 {
				return invalid("homes", "a copy needs an adapter and a time that is not negative")
			}
		}
	}
	return nil
}
