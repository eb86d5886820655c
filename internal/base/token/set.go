// Package token tells who sent a bearer token, from hashes of all tokens.
package token

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
)

// Set holds names by the SHA-256 of their tokens. The zero value is empty. No
// token is kept.
type Set struct{ entries []entry }

type entry struct {
	digest [sha256.Size]byte
	name   string
}

// Add adds a name whose token has the given SHA-256 in hexadecimal digits.
func (s *Set) Add(digest, name string) error {
	raw, err := hex.DecodeString(digest)
	if err != nil || len(raw) != sha256.Size {
		return errors.Errorf("token of %s: give the SHA-256 in 64 hexadecimal digits", name)
	}
	added := entry{name: name}
	copy(added.digest[:], raw)
	s.entries = append(s.entries, added)
	return nil
}

// Len returns the number of names.
func (s *Set) Len() int { return len(s.entries) }

// Find returns the name whose token an Authorization header bears. It looks at
// all names and compares each in constant time.
func (s *Set) Find(authorization string) (name string, ok bool) {
	bearer, isBearer := strings.CutPrefix(authorization, "Bearer ")
	digest := sha256.Sum256([]byte(bearer))
	for i := range s.entries {
		if subtle.ConstantTimeCompare(digest[:], s.entries[i].digest[:]) == 1 {
			name, ok = s.entries[i].name, isBearer
		}
	}
	return name, ok
}
