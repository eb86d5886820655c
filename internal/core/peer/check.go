package peer

import (
	"fmt"
)

// InvalidError reports a decoded message that breaks an invariant of its type.
type InvalidError struct {
	Type   string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("peer message %s: %s: run the same release on all entry VMs", e.Type, e.Reason)
}

func invalid(kind, reason string) error {
	return &InvalidError{Type: kind, Reason: reason}
}

// Check implements Message.
func (m *Heartbeat) Check() error {
	if m.Incarnation == 0 {
		return invalid("heartbeat", "no incarnation")
	}
	if m.ConfigOffset < 0 {
		return invalid("heartbeat", "negative config offset")
	}
	if len(m.Loads)%LoadFigures != 0 {
		return invalid("heartbeat", "incomplete load figures of a backend server")
	}
	for i := range m.Servers {
		if m.Servers[i].Server == "" {
			return invalid("heartbeat", "backend server without id")
		}
	}
	return nil
}

// Check implements Message.
func (m *GrantRequest) Check() error {
	if m.Request == "" || m.Server == "" || m.Adapter.Adapter == "" {
		return invalid("grant_ask", "request, backend server or adapter is missing")
	}
	return nil
}

// Check implements Message.
func (m *GrantReply) Check() error {
	if m.Request == "" {
		return invalid("grant_reply", "no request id")
	}
	if m.Grant == 0 && m.Refusal == nil {
		return invalid("grant_reply", "neither grant nor refusal")
	}
	return nil
}

// Check implements Message.
func (m *GrantRelease) Check() error {
	if m.Request == "" || m.Server == "" {
		return invalid("grant_release", "request or backend server is missing")
	}
	return nil
}

// Check implements Message.
func (m *Handover) Check() error {
	if m.Server == "" || m.Fence == 0 {
		return invalid("handover", "backend server or fencing number is missing")
	}
	for i := range m.Grants {
		g := &m.Grants[i]
		if g.Grant == 0 || g.Holder == "" || g.Request == "" || g.Server != m.Server {
			return invalid("handover", "grant without number, holder or request, or of another backend server")
		}
	}
	return nil
}

// Check implements Message.
func (m *ConfigRecords) Check() error {
	next := m.From
	for i := range m.Records {
		if m.Records[i].Offset != next {
			return invalid("config_records", "offsets are not consecutive")
		}
		next++
	}
	return nil
}

// Check implements Message.
func (m *ConfigRequest) Check() error {
	if m.From < 0 {
		return invalid("config_ask", "negative offset")
	}
	return nil
}

// Check implements Message.
func (m *ConfigSnapshot) Check() error {
	if m.Parts < 1 || m.Part < 0 || m.Part >= m.Parts {
		return invalid("config_snapshot", "part out of range")
	}
	return nil
}

// Check implements Message.
func (m *PoisonMark) Check() error {
	if m.Fingerprint == 0 {
		return invalid("poison_mark", "no fingerprint")
	}
	return nil
}

// Check implements Message.
func (m *DomainSummary) Check() error {
	if m.Domain == "" || m.Incarnation == 0 {
		return invalid("domain_summary", "failure domain or incarnation is missing")
	}
	if len(m.Entries) == 0 {
		return invalid("domain_summary", "no entry VM")
	}
	return nil
}
