// Package topo holds what an entry VM knows of the deployment: routes, services
// and backend servers.
package topo

import (
	"strings"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// Kind says what may be repeated of a request.
type Kind uint8

// Kinds of requests.
const (
	// KindIdempotent may run more than once.
	KindIdempotent Kind = iota + 1
	// KindOnce runs at most once for each client attempt.
	KindOnce
	// KindStream answers with events. It runs at most once unless the route
	// allows to resume it.
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

// Share is one service of a split route.
type Share struct {
	Service units.ServiceName
	// Weight is positive.
	Weight int
}

// Route says where requests of one host and path prefix go.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request is kept waiting. 0 is no bound.
	Timeout clock.Millis
	// Target is the time to the answer, or to the first event of a stream, that
	// counts as good. GapTarget is the same for the pause between two events.
	Target    clock.Millis
	GapTarget clock.Millis
	// Rank orders requests of one service; 0 is the most urgent.
	Rank int
	// Shares has at least one element.
	Shares []Share
	// MaxAttempts is the number of backend servers that may run one client
	// attempt, at least 1.
	MaxAttempts int
	Resumable   bool
}

// Service returns the service for a request by a draw that is even over all
// values.
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

// Repeatable reports whether a request may be sent to a second backend server
// after the first may have run it, with no part of an answer passed on.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Model is a base model.
type Model struct {
	Name units.ModelName
	// WeightMB is the size of the weights, AdapterMB that of one adapter, in MB.
	WeightMB  float64
	AdapterMB float64
	// Load is the time of a load from the weight store.
	Load clock.Millis
	// Adapters is the number of adapters that there are.
	Adapters int
}

// Engine describes the backend servers of a service that runs models.
type Engine struct {
	Slots    int32
	KVTokens units.Tokens
	// AdapterSlots and WeightMB bound what one backend server holds.
	AdapterSlots int
	WeightMB     float64
	// LoadsPerSecond bounds loads of models from the weight store, over all
	// backend servers.
	LoadsPerSecond float64
	// EventTokens is the number of tokens that one event holds.
	EventTokens int
	Models      []Model
}

// Model returns the model of a name, or nil.
func (e *Engine) Model(name units.ModelName) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Service is a group of backend servers that are alike.
type Service struct {
	Name units.ServiceName
	// MaxConns bounds the connections to one backend server from all entry VMs
	// together. 0 is no bound.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a caller may send. 0 is no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// Config is one version of the operator's configuration. It is not changed after
// it was made.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[units.ServiceName]*Service
	Limits   Limits
}

// Match returns the route for a host and a path, the one with the longest prefix,
// or nil.
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
