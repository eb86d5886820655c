// Package config reads and checks settings files.
package config

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// Settings is one entry VM's settings file.
type Settings struct {
	// Callers may send requests.
	Callers []Caller `toml:"callers"`
	// EntryVM is the own entry VM.
	EntryVM EntryVM `toml:"entry_vm"`
	Limits  Limits  `toml:"limits"`
	Log     Log     `toml:"log"`
	// Operators may use the admin address.
	Operators []Principal `toml:"operators"`
	// Platform is where the platform's services are.
	Platform Platform `toml:"platform"`
	// Policy weighs the decisions on routing, placement and loads.
	Policy   Policy    `toml:"policy"`
	Services []Service `toml:"services"`
	TLS      TLS       `toml:"tls"`
	// VMs are other VMs known without the platform's list.
	VMs []event.VM `toml:"vms"`
}

// Policy is what an operator sets of routing, placement and loads.
type Policy struct {
	// Objective is 0 to keep load stalls short, 1 to keep batches full, or
	// between.
	Objective float64 `toml:"objective"`
	// LoadsPerSecond is what the weight store allows in all; 0 is no bound.
	LoadsPerSecond float64 `toml:"loads_per_second"`
	// LoadsInFlight bounds the loads on their way in all; 0 is 8.
	LoadsInFlight int32 `toml:"loads_in_flight"`
	// FailureDomains is the number of failure domains that share the store, each
	// with an equal part; 0 is 1.
	FailureDomains int32 `toml:"failure_domains"`
	// LinkBytesPerSecond bounds what this entry VM sends to and takes from other
	// regions for requests that its own failure domain can't serve; 0 is 65536,
	// -1 keeps all requests in the own failure domain.
	LinkBytesPerSecond float64 `toml:"link_bytes_per_second"`
}

// EntryVM describes the own entry VM.
type EntryVM struct {
	ID            units.EntryVMID     `toml:"id"`
	FailureDomain units.FailureDomain `toml:"failure_domain"`
	Region        units.Region        `toml:"region"`
	// ServeAddress, AdminAddress and PeerAddress are hosts and ports to listen
	// on.
	ServeAddress string `toml:"serve_address"`
	AdminAddress string `toml:"admin_address"`
	PeerAddress  string `toml:"peer_address"`
}

// Limits bound what one caller can take of an entry VM. 0 is the default.
type Limits struct {
	// MaxBodyBytes is the greatest length of a request's body.
	MaxBodyBytes units.Bytes `toml:"max_body_bytes"`
	// MaxHeaderBytes is the greatest length of a request's headers.
	MaxHeaderBytes units.Bytes `toml:"max_header_bytes"`
	// ReadTimeoutMS is the time for a whole request to arrive.
	ReadTimeoutMS clock.Millis `toml:"read_timeout_ms"`
	// WriteTimeoutMS is the time for a caller to take a part of its answer.
	WriteTimeoutMS clock.Millis `toml:"write_timeout_ms"`
}

// Log says what is logged.
type Log struct {
	// Level is trace, debug, info, warn or error; "" is info.
	Level string `toml:"level"`
}

// Platform is where the platform's services are, as hosts and ports.
type Platform struct {
	LogAddress    string `toml:"log_address"`
	VMListAddress string `toml:"vm_list_address"`
}

// Caller is a caller with its limits over all adapters and services, in each
// failure domain; 0 is none.
type Caller struct {
	Name string `toml:"name"`
	// TokenSHA256 is the SHA-256 of the bearer token in hexadecimal digits.
	TokenSHA256       string  `toml:"token_sha256"`
	Concurrency       int32   `toml:"concurrency"`
	RequestsPerSecond float64 `toml:"requests_per_second"`
	TokensPerSecond   float64 `toml:"tokens_per_second"`
}

// Principal is someone who shows a token.
type Principal struct {
	Name string `toml:"name"`
	// TokenSHA256 is the SHA-256 of the bearer token in hexadecimal digits.
	TokenSHA256 string `toml:"token_sha256"`
}

// Service is a plain service.
type Service struct {
	Name       units.ServiceName `toml:"name"`
	DeadlineMS clock.Millis      `toml:"deadline_ms"`
	// NotRepeatable lists calls that must run at most once, each as a method and
	// the beginning of a path below /services/NAME, as "POST /release".
	NotRepeatable []string `toml:"not_repeatable"`
}

// TLS names PEM files. An address without a certificate is plain HTTP. Changed
// files are taken up without a restart.
type TLS struct {
	ServeCertificateFile string `toml:"serve_certificate_file"`
	ServeKeyFile         string `toml:"serve_key_file"`
	AdminCertificateFile string `toml:"admin_certificate_file"`
	AdminKeyFile         string `toml:"admin_key_file"`
	// PeerCertificateFile, PeerKeyFile and PeerAuthorityFile make connections
	// between entry VMs encrypted, with a certificate of the authority on both
	// sides. They are the same setting on all entry VMs.
	PeerCertificateFile string `toml:"peer_certificate_file"`
	PeerKeyFile         string `toml:"peer_key_file"`
	PeerAuthorityFile   string `toml:"peer_authority_file"`
}
