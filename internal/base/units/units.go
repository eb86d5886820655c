// Package units defines the named types of ids and quantities.
package units

import (
	"strconv"
	"strings"
)

// Identifiers.
type (
	// EntryVMID identifies an entry VM. A replacement may reuse the id.
	EntryVMID string
	// BackendServerID identifies a backend server: a model engine or an instance of a
	// plain service.
	BackendServerID string
	// FailureDomain names a group of VMs that may fail or become unreachable together.
	FailureDomain string
	// Region names a group of failure domains connected by inexpensive links.
	Region string
	// Caller names a client application that sends requests.
	Caller string
	// CustomerName names a customer of the users' platform, who has keys and a quota.
	CustomerName string
	// AdapterName names a LoRA adapter without its version.
	AdapterName string
	// Version names one version of an adapter.
	Version string
	// ModelName names a base model.
	ModelName string
	// ServiceName names a plain service.
	ServiceName string
	// RequestID identifies one request of a caller across all its attempts.
	RequestID string
	// StreamName names one stream of the platform's log service.
	StreamName string
	// RecordID identifies one record, so that it can be found in the log if the answer to
	// its append was lost.
	RecordID string
)

// Quantities.
type (
	// Incarnation distinguishes processes of an entry VM that use the same id. A later
	// process has a greater incarnation.
	Incarnation uint64
	// Offset is a position in a stream of the log service. The first is 0.
	Offset int64
	// Era counts how often the platform's store was restored from a copy that lacked its last writes.
	// Offsets of two eras can't be compared.
	Era int64
	// Fence is a fencing number. A backend server that checks it rejects an order with a
	// smaller number than the greatest it has seen.
	Fence uint64
	// GrantNumber identifies a grant of one owner within one incarnation of the owner.
	GrantNumber uint64
	// Priority orders requests: greater values are served first; 0 is the default.
	Priority int8
	// Tokens is a number of model tokens.
	Tokens int32
	// Bytes is a number of bytes.
	Bytes int64
	// Amount is a number of units of a quota: requests or tokens.
	Amount int64
	// Rate is a number of requests per second.
	Rate float64
	// Fingerprint identifies the content of a request.
	Fingerprint uint64
)

// String formats f as 16 hexadecimal digits.
func (f Fingerprint) String() string {
	digits := strconv.FormatUint(uint64(f), 16)
	return strings.Repeat("0", 16-len(digits)) + digits
}

// AdapterVersion identifies one version of an adapter, the unit that engines load.
type AdapterVersion struct {
	Adapter AdapterName `msgpack:"a" json:"adapter"`
	Version Version     `msgpack:"v" json:"version"`
}

// String formats av as callers and engines write it: adapter@version, or only the adapter
// if the version is empty.
func (av AdapterVersion) String() string {
	if av.Version == "" {
		return string(av.Adapter)
	}
	return string(av.Adapter) + "@" + string(av.Version)
}

// ParseAdapterVersion is the inverse of AdapterVersion.String. It accepts any text: without
// "@" the version is empty.
func ParseAdapterVersion(s string) AdapterVersion {
	adapter, version, _ := strings.Cut(s, "@")
	return AdapterVersion{Adapter: AdapterName(adapter), Version: Version(version)}
}
