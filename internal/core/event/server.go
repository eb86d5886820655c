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
	// Entry is set for an entry VM. Address is then its address for peers and
	// ServeAddress its address for callers.
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
	// OrderClaim only raises the fencing number.
	OrderClaim  OrderKind = "claim"
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order is an order to a model engine.
type Order struct {
	// Number is that of the order among its owner's, from 0 on.
	Number  OrderNumber          `json:"-"`
	Kind    OrderKind            `json:"kind"`
	Adapter units.AdapterVersion `json:"adapter"`
	Fence   units.Fence          `json:"fence"`
	Holder  units.EntryVMID      `json:"holder"`
	Role    string               `json:"role,omitempty"`
	// NotAfter is the latest instant at which the order may be sent. It is checked
	// right before the first byte is sent.
	NotAfter clock.Millis `json:"-"`
}

// OrderNumber numbers the orders of an owner.
type OrderNumber uint64

// OrderResult is the result of an order.
type OrderResult struct {
	Kind OrderResultKind
	// Fence is the greatest fencing number that the engine has received, if it checks
	// fencing numbers.
	Fence units.Fence
	// Reason is the engine's explanation, for display only.
	Reason string
}

// OrderResultKind is the kind of an OrderResult.
type OrderResultKind uint8

// Kinds of results of an order.
const (
	OrderAccepted OrderResultKind = iota + 1
	// OrderFenced means that the engine has received a greater fencing number.
	OrderFenced
	// OrderRefused means that the engine refused the order for another reason.
	OrderRefused
	// OrderNoSlot means that the engine refused a load since all its adapter slots are taken,
	// which says nothing about the adapter.
	OrderNoSlot
	// OrderLost means that no answer was received: the order may still be executed.
	OrderLost
	// OrderNotSent means that no byte of the order was sent.
	OrderNotSent
)

// String returns the name of k for log lines.
func (k OrderResultKind) String() string {
	switch k {
	case OrderAccepted:
		return "taken"
	case OrderFenced:
		return "fenced"
	case OrderRefused:
		return "refused"
	case OrderNoSlot:
		return "no_slot"
	case OrderLost:
		return "lost"
	case OrderNotSent:
		return "not_sent"
	default:
		return "unknown"
	}
}

// ServerReport is a backend server's report on itself. Its load figures may be
// outdated.
type ServerReport struct {
	// Start identifies the incarnation of the server.
	Start   string `json:"start"`
	Ready   bool   `json:"ready"`
	Leaving bool   `json:"leaving"`
	// Fence is the greatest fencing number that the server has received.
	Fence    units.Fence `json:"fence"`
	Slots    int32       `json:"slots"`
	BatchMax int32       `json:"batch_max"`
	Running  int32       `json:"running"`
	Waiting  int32       `json:"waiting"`
	// Resident lists the loaded adapters, each with the number of requests that run
	// or wait for it. It is always current.
	Resident []ResidentAdapter      `json:"resident"`
	Loading  []units.AdapterVersion `json:"loading"`
	// Requests lists the ids of running and waiting requests.
	Requests []units.RequestID `json:"requests"`
}

// ResidentAdapter is one loaded adapter.
type ResidentAdapter struct {
	units.AdapterVersion
	// Running is the number of requests that run or wait for the adapter.
	Running int32 `json:"running"`
}
