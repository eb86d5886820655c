// Package units holds the named types of ids and quantities.
package units

import (
	"strconv"
	"strings"
)

// Ids of the parts of the system.
type (
	// EntryVMID names an entry VM. A replacement may use the same id.
	EntryVMID string
	// BackendServerID names a backend server: a model engine or an instance of
	// a plain service.
	BackendServerID string
	// FailureDomain names a group of VMs that may be cut off together.
	FailureDomain string
	// Region names a group of failure domains joined by cheap links.
	Region string
	// Caller names a client application that sends requests.
	Caller string
	// AdapterName names a LoRA adapter without its version.
	AdapterName string
	// Version names one version of an adapter.
	Version string
	// ModelName names a base model.
	ModelName string
	// ServiceName names a plain service.
	ServiceName string
	// RequestID names one request of a caller through all its attempts.
	RequestID string
	// StreamName names one stream of the platform's log service.
	StreamName string
	// RecordID names one record so that it can be found again when the answer
	// to its append was lost.
	RecordID string
)

// Quantities.
type (
	// Incarnation tells apart two runs of an entry VM under the same id. A later
	// run has a greater one.
	Incarnation uint64
	// Offset is a position in a stream of the log service. The first is 0.
	Offset int64
	// Fence is a fencing number. A backend server that checks it refuses an
	// order with a smaller number than it has seen.
	Fence uint64
	// GrantNumber names a grant of one owner during one incarnation of it.
	GrantNumber uint64
	// Priority orders requests. A greater one goes first; 0 is the usual one.
	Priority int8
	// Tokens counts tokens of a model.
	Tokens int32
	// Bytes counts bytes.
	Bytes int64
	// Fingerprint identifies the content of a request.
	Fingerprint uint64
)

// String formats f as 16 hexadecimal digits.
func (f Fingerprint) String() string {
	digits := strconv.FormatUint(uint64(f), 16)
	return strings.Repeat("0", 16-len(digits)) + digits
}

// AdapterVersion names one version of an adapter, the unit that is loaded.
type AdapterVersion struct {
	Adapter AdapterName `msgpack:"a" json:"adapter"`
	Version Version     `msgpack:"v" json:"version"`
}

// String formats av the way callers and engines write it: adapter@version, or
// only the adapter if the version is empty.
func (av AdapterVersion) String() string {
	if av.Version == "" {
		return string(av.Adapter)
	}
	return string(av.Adapter) + "@" + string(av.Version)
}

// ParseAdapterVersion is the inverse of AdapterVersion.String.
func ParseAdapterVersion(s string) AdapterVersion {
	adapter, version, _ := strings.Cut(s, "@")
	return AdapterVersion{Adapter: AdapterName(adapter), Version: Version(version)}
}
