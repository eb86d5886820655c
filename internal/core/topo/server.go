package topo

import (
	"strings"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// AdapterRevision is the number of a version of an adapter; a later version has a
// greater one. 0 is not known.
type AdapterRevision int64

// Copy is an adapter that a backend server holds or loads.
type Copy struct {
	Adapter  units.AdapterName
	Revision AdapterRevision
}

// Server is one backend server as it was last listed.
type Server struct {
	ID      units.BackendServerID
	Service units.ServiceName
	Address string
	Domain  units.FailureDomain
	Region  units.Region
	Slots   int32
	// Born is the start of the process in milliseconds since the Unix epoch, by
	// the backend server's clock.
	Born     int64
	Draining bool
	// Leaves is the time left when the entry was written, for a backend server
	// that is taken away at short notice. 0 is not known.
	Leaves clock.Millis
	// Orders counts the orders that the backend server has accepted.
	Orders int64
	// Models and Copies list the models and the adapters that it holds.
	Models []units.ModelName
	Copies []Copy
}

// Holds reports whether s has a model loaded.
func (s *Server) Holds(model units.ModelName) bool {
	for _, m := range s.Models {
		if m == model {
			return true
		}
	}
	return false
}

// Report is what a backend server says of itself when it is asked.
type Report struct {
	Born   int64
	Orders int64
	Busy   bool
	Models []units.ModelName
	Copies []Copy
	// Coming lists adapters that are on their way to the backend server.
	Coming  []Copy
	Running int32
	Waiting int32
	// KVUsed is the memory that running requests hold.
	KVUsed  units.Tokens
	KVTotal units.Tokens
}

// ModelOf returns the model of an adapter's full name, MODEL/ADAPTER, or the name
// itself where no adapter is named.
func ModelOf(name units.AdapterName) units.ModelName {
	model, _, _ := strings.Cut(string(name), "/")
	return units.ModelName(model)
}

// IsAdapter reports whether a full name has an adapter behind the model.
func IsAdapter(name units.AdapterName) bool {
	return strings.IndexByte(string(name), '/') >= 0
}
