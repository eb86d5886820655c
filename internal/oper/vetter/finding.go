// Package vetter checks a configuration of the users' platform before it is sent: entries that can never
// match, limits that contradict each other, and what differs from another version.
package vetter

import "mangostile/internal/base/units"

// Name is the stable name of a kind of finding.
type Name string

// Names of findings.
const (
	// FaultyEntry is an entry that entry VMs would skip or take for something else.
	FaultyEntry Name = "faulty_entry"

	RouteShadowed       Name = "route_shadowed"
	ServiceUnused       Name = "service_unused"
	CustomerWithoutKeys Name = "customer_without_keys"
	KeyHeldTwice        Name = "key_held_twice"
	CustomersUnused     Name = "customers_unused"

	TargetOverTimeout  Name = "target_over_timeout"
	GapOverTimeout     Name = "gap_over_timeout"
	QuotaBelowRequest  Name = "quota_below_request"
	ModelTooLarge      Name = "model_too_large"
	NoRoomForAdapters  Name = "no_room_for_adapters"
	SlotsWithoutMemory Name = "slots_without_memory"
	BodyOverMemory     Name = "body_over_memory"
)

// Names lists all names of findings.
func Names() []Name {
	return []Name{
		FaultyEntry, RouteShadowed, ServiceUnused, CustomerWithoutKeys, KeyHeldTwice, CustomersUnused, TargetOverTimeout, GapOverTimeout,
		QuotaBelowRequest, ModelTooLarge, NoRoomForAdapters, SlotsWithoutMemory, BodyOverMemory,
	}
}

// Kinds of entries that a Finding or a Change may be about.
const (
	KindRoute    = "route"
	KindService  = "service"
	KindCustomer = "customer"
	KindLimits   = "limits"
)

// Finding is a likely mistake.
type Finding struct {
	Name Name `json:"name"`
	// Kind and Entry name the entry.
	Kind  string `json:"kind"`
	Entry string `json:"entry"`
	// Text says what is wrong and what to do. It holds no key.
	Text string `json:"text"`
}

// Change is a difference between two versions of a configuration.
type Change struct {
	// Verb is removed, changed or added.
	Verb  string `json:"verb"`
	Kind  string `json:"kind"`
	Entry string `json:"entry"`
	// Text says what differs and what that does to requests in flight.
	Text string `json:"text"`
}

// Options of a check.
type Options struct {
	// Memory is that of the smallest entry VM, 0 if it is not known.
	Memory units.Bytes
}
