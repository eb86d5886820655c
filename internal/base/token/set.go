// Package token authenticates bearer tokens by their hashes.
package token

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
)

// Set maps the SHA-256 digests of tokens to names. The tokens themselves are not stored.
// The zero value is empty.
type Set struct{ entries []entry }

type entry struct {
	digest [sha256.Size]byte
	name   string
}

// Add adds a name and the SHA-256 digest of its token, in 64 hexadecimal digits. It returns
// an error for any other digest.
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

// Find returns the name for the bearer token of an Authorization header. ok is false, whatever
// name is, if the token is unknown or "Bearer " doesn't precede it. To take the same time for
// every token, Find compares all digests, each in constant time.
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
