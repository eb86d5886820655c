// Package blame finds the prompt parts and the requests that crash backend servers. It
// compares what was in flight at crashes, and spares whatever answers begin on.
package blame

import (
	"fmt"
	"strconv"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"

	"github.com/pkg/errors"
)

// Key identifies a part of a prompt, or a whole request by a hash of its content. It is
// written as up to 16 hexadecimal digits.
type Key uint64

// String returns k as 16 hexadecimal digits.
func (k Key) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// ParseKey parses the form that String returns. Leading zeros may be left out.
func ParseKey(text string) (Key, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, errors.Errorf("%q is no key of a quarantine: write it as list shows it, in hexadecimal digits", text)
	}
	return Key(n), nil
}

// Reason says why a verdict was given.
type Reason string

// Reasons of verdicts. The first one is that of a quarantine, the others end one.
const (
	// ReasonCrashes means that requests with the key were in flight at crashes.
	ReasonCrashes Reason = "crashes"
	// ReasonAnswered means that an answer began on the key.
	ReasonAnswered Reason = "answered"
	// ReasonExplained means that another key in quarantine explains the crashes.
	ReasonExplained Reason = "explained"
	// ReasonLifted means that an operator has lifted the quarantine.
	ReasonLifted Reason = "lifted"
)

// maxVersion bounds the versions of verdicts, so that a next one can always be counted.
const maxVersion = 1 << 32

// Verdict says whether requests with a key are refused. Of two verdicts on a key the one with
// the higher Version holds; if they have the same, the one that refuses nothing.
type Verdict struct {
	Key     Key    `msgpack:"k" json:"key"`
	Version uint64 `msgpack:"v" json:"version"`
	// Quarantined is true if requests with the key are refused.
	Quarantined bool   `msgpack:"q,omitempty" json:"quarantined"`
	Reason      Reason `msgpack:"w,omitempty" json:"reason,omitempty"`
	// Remaining is the time in ms until the verdict is forgotten.
	Remaining clock.Millis `msgpack:"r,omitempty" json:"remaining_ms"`
	// Server is the backend server that crashed last, empty if unknown.
	Server units.BackendServerID `msgpack:"s,omitempty" json:"backend_server,omitempty"`
}

// Replaces reports whether v holds rather than old, a verdict on the same key.
func (v *Verdict) Replaces(old *Verdict) bool {
	return v.Version > old.Version || v.Version == old.Version && old.Quarantined && !v.Quarantined
}

// Check reports whether v is valid.
func (v *Verdict) Check() error {
	if v.Version == 0 || v.Version > maxVersion || v.Remaining < 0 || v.Remaining > MaxTerm {
		return errors.Errorf("verdict on %s has no valid version or term", v.Key)
	}
	return nil
}
