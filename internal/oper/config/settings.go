// Package config reads and checks settings files.
package config

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// Settings is the settings file of one entry VM.
type Settings struct {
	// Callers are allowed to send requests. If it is empty, no token is required.
	Callers []Caller `toml:"callers"`
	// EntryVM describes the entry VM that reads the file.
	EntryVM EntryVM `toml:"entry_vm"`
	Limits  Limits  `toml:"limits"`
	Log     Log     `toml:"log"`
	// Operators are allowed to use the admin API. If it is empty, no token is required.
	Operators []Principal `toml:"operators"`
	// Platform has the addresses of the platform's services.
	Platform Platform `toml:"platform"`
	// Policy configures routing, placement and loads.
	Policy   Policy    `toml:"policy"`
	Services []Service `toml:"services"`
	TLS      TLS       `toml:"tls"`
	// VMs are other VMs besides those in the platform's list. If both have a VM, the list
	// takes precedence.
	VMs []event.VM `toml:"vms"`
}

// Policy configures routing, placement and loads.
type Policy struct {
	// Objective weighs two aims, from 0 (keep load stalls short) to 1 (keep batches
	// full).
	Objective float64 `toml:"objective"`
	// LoadsPerSecond limits the loads from the weight store over all failure domains; 0
	// is no limit.
	LoadsPerSecond float64 `toml:"loads_per_second"`
	// LoadsInFlight limits concurrent loads over all failure domains; 0 is 8.
	LoadsInFlight int32 `toml:"loads_in_flight"`
	// FailureDomains is the number of failure domains that share the weight store, in
	// equal parts; 0 is 1.
	FailureDomains int32 `toml:"failure_domains"`
	// LinkBytesPerSecond limits the traffic of this entry VM with other regions for
	// requests that its own failure domain can't serve; 0 is 65536, -1 keeps all requests
	// in the own failure domain.
	LinkBytesPerSecond float64 `toml:"link_bytes_per_second"`
}

// EntryVM describes the entry VM that reads the file.
type EntryVM struct {
	ID            units.EntryVMID     `toml:"id"`
	FailureDomain units.FailureDomain `toml:"failure_domain"`
	Region        units.Region        `toml:"region"`
	// ServeAddress, AdminAddress and PeerAddress are IP addresses and ports to listen on
	// for callers, operators and other entry VMs.
	ServeAddress string `toml:"serve_address"`
	AdminAddress string `toml:"admin_address"`
	PeerAddress  string `toml:"peer_address"`
}

// Limits limit the size and duration of a caller's requests. A value of 0 is the default.
type Limits struct {
	// MaxBodyBytes limits the length of a request's body.
	MaxBodyBytes units.Bytes `toml:"max_body_bytes"`
	// MaxHeaderBytes limits the length of a request's headers.
	MaxHeaderBytes units.Bytes `toml:"max_header_bytes"`
	// ReadTimeoutMS bounds the time until a request is read completely.
	ReadTimeoutMS clock.Millis `toml:"read_timeout_ms"`
	// WriteTimeoutMS bounds the time until a caller accepts a part of its answer.
	WriteTimeoutMS clock.Millis `toml:"write_timeout_ms"`
	// MaxConnections limits the open connections of callers; 0 is half of the process's descriptors that
	// are not kept for files, and what a fifth of its memory allows.
	MaxConnections int `toml:"max_connections"`
	// PatienceMS is how long a caller that sends or reads too slowly keeps others waiting before its
	// connection is closed for them.
	PatienceMS clock.Millis `toml:"patience_ms"`
	// MemoryMB is the memory of the process in MiB; 0 means no limit.
	MemoryMB int `toml:"memory_mb"`
}

// Log configures logging.
type Log struct {
	// Level is trace, debug, info, warn or error; "" is info.
	Level string `toml:"level"`
}

// Platform has the addresses of the platform's services, as IP addresses and ports.
type Platform struct {
	LogAddress    string `toml:"log_address"`
	VMListAddress string `toml:"vm_list_address"`
}

// Caller is a caller and its limits, which apply to all adapters and services together, in
// each failure domain separately. A limit of 0 is none.
type Caller struct {
	Name string `toml:"name"`
	// TokenSHA256 is the SHA-256 of the bearer token in hexadecimal digits.
	TokenSHA256       string  `toml:"token_sha256"`
	Concurrency       int32   `toml:"concurrency"`
	RequestsPerSecond float64 `toml:"requests_per_second"`
	TokensPerSecond   float64 `toml:"tokens_per_second"`
}

// Principal is a client that authenticates with a token.
type Principal struct {
	Name string `toml:"name"`
	// TokenSHA256 is the SHA-256 of the bearer token in hexadecimal digits.
	TokenSHA256 string `toml:"token_sha256"`
}

// Service is a plain service, which callers reach at /services/NAME/.
type Service struct {
	Name units.ServiceName `toml:"name"`
	// DeadlineMS bounds the time until an answer is complete if the caller sets no
	// deadline; 0 is 10 seconds.
	DeadlineMS clock.Millis `toml:"deadline_ms"`
	// NotRepeatable lists the calls that must be executed at most once, each as a method
	// and the prefix of a path below /services/NAME, such as "POST /release".
	NotRepeatable []string `toml:"not_repeatable"`
}

// TLS has the paths of PEM files. An address without a certificate is plain HTTP. Changed
// files are reloaded without a restart.
type TLS struct {
	ServeCertificateFile string `toml:"serve_certificate_file"`
	ServeKeyFile         string `toml:"serve_key_file"`
	AdminCertificateFile string `toml:"admin_certificate_file"`
	AdminKeyFile         string `toml:"admin_key_file"`
	// PeerCertificateFile, PeerKeyFile and PeerAuthorityFile enable mutual TLS between
	// entry VMs, with certificates that the authority signed. Set them on all entry VMs or
	// on none.
	PeerCertificateFile string `toml:"peer_certificate_file"`
	PeerKeyFile         string `toml:"peer_key_file"`
	PeerAuthorityFile   string `toml:"peer_authority_file"`
}
