package config

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong in a settings file.
type Fault struct {
	File string
	// Line counts from 1. For a key that is missing it is the line of its table.
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

// FaultsError holds all faults of a settings file, in the order of their lines.
type FaultsError struct{ Faults []Fault }

// Error implements error. It returns a line for each fault.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
