package token

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestFind(t *testing.T) {
	var s Set
	// The SHA-256 of "abc", in digits of both cases.
	must.NoError(t, s.Add("BA7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", "village-app"))
	must.Error(t, s.Add("abc", "short"))
	tests := []struct {
		name, header, want string
		ok                 bool
	}{
		{"known", "Bearer abc", "village-app", true},
		{"unknown", "Bearer abd", "", false},
		{"not a bearer token", "abc", "village-app", false},
		{"empty", "", "", false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			name, ok := s.Find(tc.header)
			must.Eq(t, tc.ok, ok)
			must.Eq(t, tc.want, name)
		})
	}
}
