package topo

import (
	"strconv"
	"strings"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// AdapterRevision is the number of a version of an adapter; later versions have greater
// numbers. 0 means unknown.
type AdapterRevision int64

// Software is a version of a backend server's software. Versions have no order; empty is one too.
type Software string

// ServiceSoftware is a version of the backend servers of a service.
type ServiceSoftware struct {
	Service  units.ServiceName `msgpack:"s"`
	Software Software          `msgpack:"v,omitempty"`
}

// Copy is an adapter that a backend server has loaded or is loading.
type Copy struct {
	Adapter  units.AdapterName
	Revision AdapterRevision
}

// Server is the last list entry of a backend server.
type Server struct {
	ID      units.BackendServerID
	Service units.ServiceName
	Address string
	Domain  units.FailureDomain
	Region  units.Region
	// Slots is the number of requests that the backend server runs at a time.
	Slots int32
	// StartedAt is the start of the process in ms since the Unix epoch, by the backend
	// server's clock.
	StartedAt int64
	// Software is the version that the process runs. A stream goes on only at the version that
	// began it.
	Software Software
	Draining bool
	// Remaining is the remaining time in ms when the entry was written, for a backend
	// server that is removed at short notice. 0 means unknown.
	Remaining clock.Millis
	// ColdRemaining is the remaining time in ms, when the entry was written, for which the backend
	// server remains slow after its start.
	ColdRemaining clock.Millis
	// Orders counts the orders that the backend server has accepted.
	Orders int64
	// Models and Copies are the loaded models and adapters.
	Models []units.ModelName
	Copies []Copy
}

// ServiceSoftware returns the version of s as one of its service.
func (s *Server) ServiceSoftware() ServiceSoftware {
	return ServiceSoftware{Service: s.Service, Software: s.Software}
}

// SoftwareOf returns the version that a process of s runs, by its start as in StartedAt. That of a process
// which is not listed yet is not known: it counts as a version of its own, which nothing else runs.
func (s *Server) SoftwareOf(startedAt int64) Software {
	if startedAt <= s.StartedAt {
		return s.Software
	}
	return s.processSoftware(startedAt)
}

// processPrefix begins the versions of processes that are not listed yet.
const processPrefix = "process "

func (s *Server) processSoftware(startedAt int64) Software {
	return Software(processPrefix + string(s.ID) + " " + strconv.FormatInt(startedAt, 10))
}

// IsProcess reports whether v stands for the version of a process that was not listed yet.
func (v Software) IsProcess() bool { return strings.HasPrefix(string(v), processPrefix) }

// Ran reports whether v stands for the version of the listed process of s from the time before it was
// listed.
func (s *Server) Ran(v Software) bool { return v.IsProcess() && v == s.processSoftware(s.StartedAt) }

// Holds reports whether s has loaded a model.
func (s *Server) Holds(model units.ModelName) bool {
	for _, m := range s.Models {
		if m == model {
			return true
		}
	}
	return false
}

// Report is a backend server's answer to a query of its state.
type Report struct {
	// StartedAt and Orders are as in Server.
	StartedAt int64
	Orders    int64
	Busy      bool
	Models    []units.ModelName
	Copies    []Copy
	// OnDisk and InMemory list the models whose weights the backend server has kept, also over a
	// restart.
	OnDisk, InMemory []units.ModelName
	// Loading lists the adapters that the backend server is loading.
	Loading []Copy
	// Running and Waiting count the requests.
	Running int32
	Waiting int32
	// KVUsed is the KV memory used by requests in flight, in tokens.
	KVUsed  units.Tokens
	KVTotal units.Tokens
}

// ModelOf returns the model of a full name MODEL/ADAPTER, or the name itself if it has no
// adapter.
func ModelOf(name units.AdapterName) units.ModelName {
	model, _, _ := strings.Cut(string(name), "/")
	return units.ModelName(model)
}

// IsAdapter reports whether a full name includes an adapter.
func IsAdapter(name units.AdapterName) bool {
	return strings.IndexByte(string(name), '/') >= 0
}
