package config

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// FuzzParse checks that any text is either parsed or rejected with faults that each have a
// remedy.
func FuzzParse(f *testing.F) {
	f.Add([]byte(Example))
	f.Add([]byte(ExampleStandin))
	f.Add([]byte("[entry_vm]\nid = 3\n[[vms]]\nport = \"x\"\n"))
	f.Add([]byte("entry_vm = [[1], {a = 2}]\n[limits]\nmax_body_bytes = -1\n"))
	f.Add([]byte("a = \"\n\x00"))
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, err := Parse("entry.toml", text)
		checkFaults(t, settings != nil, err)
		standin, err := ParseStandin("standin.toml", text)
		checkFaults(t, standin != nil, err)
	})
}

func checkFaults(t *testing.T, read bool, err error) {
	t.Helper()
	if err == nil {
		must.True(t, read)
		return
	}
	var faults *FaultsError
	must.True(t, errors.As(err, &faults), must.Sprint(err))
	must.Positive(t, len(faults.Faults))
	for _, fault := range faults.Faults {
		must.NotEqOp(t, "", fault.Remedy)
	}
}
