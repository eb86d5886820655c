package config

import (
	"fmt"
	"strings"
)

// Fault is an error in a settings file and its remedy.
type Fault struct {
	File string
	// Line counts from 1. For a missing key it is the line of its table.
	Line   int
	Key    string
	Remedy string
}

// String returns the fault as one line, such as
// "entry-1.toml:7: entry_vm.id: give a name".
func (f Fault) String() string {
	if f.Key == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Remedy)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Remedy)
}

// FaultsError reports all faults of a settings file, sorted by line.
type FaultsError struct{ Faults []Fault }

// Error implements error. It returns one line per fault.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
