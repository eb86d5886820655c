package config

import (
	"fmt"
	"math"
	"strings"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/event"
)

// Bounds of settings and formats of faults.
const (
	maxTimeout          = 10 * clock.Minute
	minBodyBytes        = 1 << 10
	maxBodyBytes        = 256 << 20
	minMemoryMB         = 64
	maxMemoryMB         = 1 << 20
	minHeaderBytes      = 1 << 10
	maxHeaderBytes      = 1 << 20
	maxBackendSlots     = 1 << 16
	maxConnections      = 1 << 20
	outOfRangeFormat    = "%v is out of range: give %d to %d, or 0 for the default"
	notRepeatableFormat = "%q is not a call: write a method and the beginning of a path, as \"POST /release\""
)

func checkSettings(s *Settings, c *checker) {
	checkEntryVM(&s.EntryVM, c)
	c.address("platform.log_address", s.Platform.LogAddress)
	c.optionalAddress("platform.vm_list_address", s.Platform.VMListAddress)
	if s.Log.Level != "" {
		c.oneOf("log.level", s.Log.Level, "trace", "debug", "info", "warn", "error")
	}
	checkLimits(&s.Limits, c)
	checkPolicy(&s.Policy, c)
	checkCallers(s.Callers, c)
	checkPrincipals("operators", s.Operators, c)
	checkServices(s.Services, c)
	checkVMs(s.VMs, true, c)
	c.certificate("tls.serve_certificate_file", s.TLS.ServeCertificateFile, "tls.serve_key_file", s.TLS.ServeKeyFile)
	c.certificate("tls.admin_certificate_file", s.TLS.AdminCertificateFile, "tls.admin_key_file", s.TLS.AdminKeyFile)
	c.certificate("tls.peer_certificate_file", s.TLS.PeerCertificateFile, "tls.peer_key_file", s.TLS.PeerKeyFile)
	c.certificate("tls.peer_certificate_file", s.TLS.PeerCertificateFile, "tls.peer_authority_file", s.TLS.PeerAuthorityFile)
}

func checkEntryVM(own *EntryVM, c *checker) {
	c.required("entry_vm.id", string(own.ID), "give a name that no other entry VM has")
	c.required("entry_vm.failure_domain", string(own.FailureDomain), "name the failure domain that the VM is in")
	c.required("entry_vm.region", string(own.Region), "name the region that the failure domain is in")
	c.address("entry_vm.serve_address", own.ServeAddress)
	c.address("entry_vm.admin_address", own.AdminAddress)
	c.address("entry_vm.peer_address", own.PeerAddress)
}

func checkLimits(l *Limits, c *checker) {
	if l.MaxBodyBytes != 0 && (l.MaxBodyBytes < minBodyBytes || l.MaxBodyBytes > maxBodyBytes) {
		c.fault("limits.max_body_bytes", outOfRangeFormat, l.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	}
	if l.MaxHeaderBytes != 0 && (l.MaxHeaderBytes < minHeaderBytes || l.MaxHeaderBytes > maxHeaderBytes) {
		c.fault("limits.max_header_bytes", outOfRangeFormat, l.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	}
	if l.MemoryMB != 0 && (l.MemoryMB < minMemoryMB || l.MemoryMB > maxMemoryMB) {
		c.fault("limits.memory_mb", outOfRangeFormat, l.MemoryMB, minMemoryMB, maxMemoryMB)
	}
	if l.MaxConnections < 0 || l.MaxConnections > maxConnections {
		c.fault("limits.max_connections", outOfRangeFormat, l.MaxConnections, 1, maxConnections)
	}
	c.duration("limits.patience_ms", l.PatienceMS, maxTimeout)
	c.duration("limits.read_timeout_ms", l.ReadTimeoutMS, maxTimeout)
	c.duration("limits.write_timeout_ms", l.WriteTimeoutMS, maxTimeout)
}

func checkPolicy(p *Policy, c *checker) {
	if math.IsNaN(p.Objective) || p.Objective < 0 || p.Objective > 1 {
		c.fault("policy.objective", outOfRangeFormat, p.Objective, 0, 1)
	}
	if math.IsNaN(p.LoadsPerSecond) || p.LoadsPerSecond < 0 || p.LoadsPerSecond > maxLoadsPerSecond {
		c.fault("policy.loads_per_second", outOfRangeFormat, p.LoadsPerSecond, 0, maxLoadsPerSecond)
	}
	if p.LoadsInFlight < 0 || p.LoadsInFlight > maxLoadsInFlight {
		c.fault("policy.loads_in_flight", outOfRangeFormat, p.LoadsInFlight, 0, maxLoadsInFlight)
	}
	if p.FailureDomains < 0 || p.FailureDomains > maxFailureDomains {
		c.fault("policy.failure_domains", outOfRangeFormat, p.FailureDomains, 0, maxFailureDomains)
	}
	if math.IsNaN(p.LinkBytesPerSecond) || p.LinkBytesPerSecond < 0 && p.LinkBytesPerSecond != -1 || p.LinkBytesPerSecond > maxLinkBytesPerSecond {
		c.fault("policy.link_bytes_per_second", outOfRangeFormat, p.LinkBytesPerSecond, 0, int64(maxLinkBytesPerSecond))
	}
}

// Bounds of the policy and of a caller's limits.
const (
	maxLoadsPerSecond     = 10000
	maxLoadsInFlight      = 10000
	maxFailureDomains     = 1000
	maxConcurrency        = 1_000_000
	maxRate               = 1_000_000_000
	maxLinkBytesPerSecond = 1_000_000_000
)

func checkCallers(callers []Caller, c *checker) {
	var principals []Principal
	for i, caller := range callers {
		principals = append(principals, Principal{Name: caller.Name, TokenSHA256: caller.TokenSHA256})
		prefix := fmt.Sprintf("callers[%d]", i)
		c.rate(prefix+".requests_per_second", caller.RequestsPerSecond)
		c.rate(prefix+".tokens_per_second", caller.TokensPerSecond)
		if caller.Concurrency < 0 || caller.Concurrency > maxConcurrency {
			c.fault(prefix+".concurrency", outOfRangeFormat, caller.Concurrency, 0, maxConcurrency)
		}
	}
	checkPrincipals("callers", principals, c)
}

// checkPrincipals checks the names and token hashes of callers or operators, the tables of
// array. Two principals with one token could not be told apart.
func checkPrincipals(array string, principals []Principal, c *checker) {
	var names []string
	hashes := map[string]bool{}
	for i, p := range principals {
		key := fmt.Sprintf("%s[%d].token_sha256", array, i)
		c.tokenHash(key, p.TokenSHA256)
		hash := strings.ToLower(p.TokenSHA256)
		if hash != "" && hashes[hash] {
			c.fault(key, "is there twice: give each a token of its own")
		}
		hashes[hash] = true
		names = append(names, p.Name)
	}
	c.names(array, "name", names)
}

func checkServices(services []Service, c *checker) {
	var names []string
	for i, s := range services {
		prefix := fmt.Sprintf("services[%d]", i)
		c.duration(prefix+".deadline_ms", s.DeadlineMS, maxTimeout)
		for _, call := range s.NotRepeatable {
			method, path, ok := strings.Cut(call, " ")
			if !ok || method == "" || method != strings.ToUpper(method) || !strings.HasPrefix(path, "/") {
				c.fault(prefix+".not_repeatable", notRepeatableFormat, call)
			}
		}
		names = append(names, string(s.Name))
	}
	c.names("services", "name", names)
}

// checkVMs checks VMs. Backend servers need an address only if addressRequired, entry VMs
// always.
func checkVMs(vms []event.VM, addressRequired bool, c *checker) {
	var ids []string
	for i := range vms {
		prefix := fmt.Sprintf("vms[%d]", i)
		ids = append(ids, vms[i].ID)
		checkVM(&vms[i], prefix, c)
		if addressRequired || vms[i].Entry {
			c.address(prefix+".address", vms[i].Address)
		} else {
			c.optionalAddress(prefix+".address", vms[i].Address)
		}
	}
	c.names("vms", "id", ids)
}

func checkVM(vm *event.VM, prefix string, c *checker) {
	c.required(prefix+".failure_domain", string(vm.FailureDomain), "name the failure domain that the VM is in")
	c.required(prefix+".region", string(vm.Region), "name the region that the failure domain is in")
	if vm.State != "" {
		c.oneOf(prefix+".state", string(vm.State), string(event.VMLive), string(event.VMLeaving))
	}
	if vm.Entry {
		c.optionalAddress(prefix+".serve_address", vm.ServeAddress)
		return
	}
	c.oneOf(prefix+".kind", string(vm.Kind), string(event.KindEngine), string(event.KindService))
	switch vm.Kind {
	case event.KindEngine:
		c.required(prefix+".base", string(vm.Base), "name the base model that the engine serves")
	case event.KindService:
		c.required(prefix+".service", string(vm.Service), "name the service that the VM runs")
	}
	for key, n := range map[string]int32{".slots": vm.Slots, ".batch_max": vm.BatchMax} {
		if n < 0 || n > maxBackendSlots {
			c.fault(prefix+key, "%d is out of range: give 0 to %d", n, maxBackendSlots)
		}
	}
}
