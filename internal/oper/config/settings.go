// Package config reads settings files.
package config

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// Settings is one entry VM's settings file.
type Settings struct {
	// EntryVM is the own entry VM.
	EntryVM EntryVM `toml:"entry_vm"`
	// Platform is where the platform's services are.
	Platform Platform `toml:"platform"`
	// VMs are other VMs known without the platform's list.
	VMs []event.VM `toml:"vms"`
	// Callers may send requests.
	Callers []Principal `toml:"callers"`
	// Operators may use the admin address.
	Operators []Principal `toml:"operators"`
	Services  []Service   `toml:"services"`
	Log       Log         `toml:"log"`
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

// Platform is where the platform's services are, as hosts and ports.
type Platform struct {
	LogAddress    string `toml:"log_address"`
	VMListAddress string `toml:"vm_list_address"`
}

// Principal is a caller or an operator.
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

// Log says what is logged.
type Log struct {
	// Level is trace, debug, info, warn or error.
	Level string `toml:"level"`
}
