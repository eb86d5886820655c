// Package topo holds an entry VM's model of the deployment: routes, services and backend
// servers.
package topo

import (
	"slices"
	"strings"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// Kind says whether a request may be executed repeatedly.
type Kind uint8

// Kinds of requests.
const (
	// KindIdempotent requests may be executed more than once.
	KindIdempotent Kind = iota + 1
	// KindOnce requests are executed at most once for each client attempt.
	KindOnce
	// KindStream requests are answered with events. They are executed at most once unless
	// the route allows resuming them.
	KindStream
)

// String returns the name of k in log lines.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindOnce:
		return "once"
	case KindStream:
		return "stream"
	default:
		return "unknown"
	}
}

// Share is the share of one service in the requests of a route.
type Share struct {
	Service units.ServiceName
	// Weight is positive.
	Weight int
}

// Route maps requests for one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request is kept waiting. 0 means no limit.
	Timeout clock.Millis
	// Target is the longest acceptable time to the answer or, for a stream, to the first
	// event. GapTarget is the longest acceptable time between two events.
	Target    clock.Millis
	GapTarget clock.Millis
	// Rank is the priority rank among requests of one service; 0 is the most urgent.
	Rank int
	// Shares has at least one element.
	Shares []Share
	// MaxAttempts is the number of backend servers that may execute one client attempt, at
	// least 1.
	MaxAttempts int
	// Resumable reports whether a broken stream may be resumed on another backend server.
	Resumable bool
	// Open reports that requests need no key and are of no customer.
	Open bool
}

// Service selects a service by weight. draw is a random number, uniform over all values.
func (r *Route) Service(draw uint64) units.ServiceName {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return r.Shares[0].Service
	}
	at := int(draw % uint64(total))
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Shares[0].Service
}

// Uses reports whether requests of the route go to a service.
func (r *Route) Uses(service units.ServiceName) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service })
}

// Repeatable reports whether a request may be sent to a second backend server although the
// first may have executed it, if no part of an answer was passed on.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Model is a base model.
type Model struct {
	Name units.ModelName
	// WeightMB is the size of the weights, AdapterMB that of one adapter, in MB.
	WeightMB  float64
	AdapterMB float64
	// Load is the time of a load from the weight store in ms.
	Load clock.Millis
	// DiskLoad and MemoryLoad are those of a load from the disk or the memory of the backend server
	// itself in ms, 0 if they are unknown.
	DiskLoad, MemoryLoad clock.Millis
	// Adapters is the number of existing adapters.
	Adapters int
}

// Engine describes the backend servers of a service that runs models.
type Engine struct {
	// Slots is the number of requests that one backend server runs at a time, KVTokens the
	// size of its KV memory in tokens.
	Slots    int32
	KVTokens units.Tokens
	// AdapterSlots and WeightMB limit the number of adapters that one backend server holds
	// and the size of its weights in MB.
	AdapterSlots int
	WeightMB     float64
	// LoadsPerSecond limits model loads from the weight store by all backend servers.
	LoadsPerSecond float64
	// EventTokens is the number of tokens in one event.
	EventTokens int
	Models      []Model
}

// Model returns the model with the given name, or nil.
func (e *Engine) Model(name units.ModelName) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Service is a group of equivalent backend servers.
type Service struct {
	Name units.ServiceName
	// MaxConns limits the connections to one backend server from all entry VMs together.
	// 0 means no limit.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound the size and timing of requests, with times in ms. 0 means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// Config is one version of the operator's configuration. It is immutable.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[units.ServiceName]*Service
	Limits   Limits
	// Customers is nil if the configuration has none; then no request needs a key.
	Customers *Customers
}

// Match returns the route with the longest matching prefix for a host and a path, or nil.
// Case and port of host are ignored.
func (c *Config) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}
