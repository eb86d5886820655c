package event

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// ServerKind is the kind of a backend server.
type ServerKind string

// Kinds of backend servers.
const (
	KindEngine  ServerKind = "engine"
	KindService ServerKind = "service"
)

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one VM of the platform's list: an entry VM or a backend server.
type VM struct {
	ID            string              `json:"id" toml:"id"`
	Address       string              `json:"address" toml:"address"`
	FailureDomain units.FailureDomain `json:"failure_domain" toml:"failure_domain"`
	Region        units.Region        `json:"region" toml:"region"`
	State         VMState             `json:"state" toml:"state"`
	// Entry is set for an entry VM. Address is then its peer address and
	// ServeAddress the one for callers.
	Entry        bool   `json:"entry" toml:"entry"`
	ServeAddress string `json:"serve_address,omitempty" toml:"serve_address"`
	// Kind, Service, Base, ChecksFence, Slots and BatchMax describe a backend
	// server.
	Kind        ServerKind        `json:"kind,omitempty" toml:"kind"`
	Service     units.ServiceName `json:"service,omitempty" toml:"service"`
	Base        units.ModelName   `json:"base,omitempty" toml:"base"`
	ChecksFence bool              `json:"checks_fence,omitempty" toml:"checks_fence"`
	Slots       int32             `json:"slots,omitempty" toml:"slots"`
	BatchMax    int32             `json:"batch_max,omitempty" toml:"batch_max"`
}

// OrderKind is the kind of an order to a model engine.
type OrderKind string

// Kinds of orders.
const (
	// OrderClaim raises the fencing number and changes nothing else.
	OrderClaim  OrderKind = "claim"
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order is an order to a model engine.
type Order struct {
	Kind    OrderKind            `json:"kind"`
	Adapter units.AdapterVersion `json:"adapter"`
	Fence   units.Fence          `json:"fence"`
	Holder  units.EntryVMID      `json:"holder"`
	Role    string               `json:"role,omitempty"`
	// NotAfter is the instant up to which the order may be sent. It is checked
	// right before the first byte leaves.
	NotAfter clock.Millis `json:"-"`
}

// OrderResult is the result of an order.
type OrderResult struct {
	Kind OrderResultKind
	// Fence is the greatest fencing number that the engine has seen, if it
	// checks them.
	Fence units.Fence
	// Reason is the engine's text for people.
	Reason string
}

// OrderResultKind is the kind of an OrderResult.
type OrderResultKind uint8

// Kinds of results of an order.
const (
	OrderTaken OrderResultKind = iota + 1
	// OrderFenced tells that the engine has seen a greater fencing number.
	OrderFenced
	// OrderRefused tells that the engine refused for another reason.
	OrderRefused
	// OrderLost tells that no answer came: the order may still be carried out.
	OrderLost
	// OrderNotSent tells that no byte of the order left.
	OrderNotSent
)

// String returns the name of k in log lines.
func (k OrderResultKind) String() string {
	switch k {
	case OrderTaken:
		return "taken"
	case OrderFenced:
		return "fenced"
	case OrderRefused:
		return "refused"
	case OrderLost:
		return "lost"
	case OrderNotSent:
		return "not_sent"
	default:
		return "unknown"
	}
}

// ServerReport is a backend server's report on itself. Load figures lag.
type ServerReport struct {
	// Start tells apart two runs of the server.
	Start    string      `json:"start"`
	Ready    bool        `json:"ready"`
	Leaving  bool        `json:"leaving"`
	Fence    units.Fence `json:"fence"`
	Slots    int32       `json:"slots"`
	BatchMax int32       `json:"batch_max"`
	Running  int32       `json:"running"`
	Waiting  int32       `json:"waiting"`
	// Resident lists the adapters that are loaded, with the number of requests
	// that run or wait on each. It does not lag.
	Resident []ResidentAdapter      `json:"resident"`
	Loading  []units.AdapterVersion `json:"loading"`
	// Requests lists the ids of requests that run or wait.
	Requests []units.RequestID `json:"requests"`
}

// ResidentAdapter is one loaded adapter.
type ResidentAdapter struct {
	units.AdapterVersion
	Running int32 `json:"running"`
}
