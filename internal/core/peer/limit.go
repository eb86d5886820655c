package peer

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// ServerLimit is the rate of requests of all entry VMs together that a process of a backend server
// takes, as it said in an answer.
type ServerLimit struct {
	Server units.BackendServerID `msgpack:"s"`
	// StartedAt identifies the process.
	StartedAt int64 `msgpack:"b"`
	// Limit is 0 if the process names no limit any more.
	Limit units.Rate `msgpack:"l,omitempty"`
	// Age is the time in ms since the answer.
	Age clock.Millis `msgpack:"a,omitempty"`
}

// maxServerLimit bounds the rate that a backend server may name.
const maxServerLimit = 1e6

// Check reports whether l is valid.
func (l *ServerLimit) Check() error {
	if l.Server == "" || !(l.Limit >= 0 && l.Limit <= maxServerLimit) || l.Age < 0 {
		return invalid("limit", "no backend server, no rate within its bounds or an answer from the future")
	}
	return nil
}
