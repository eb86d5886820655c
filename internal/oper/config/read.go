package config

import (
	"os"

	"github.com/pkg/errors"
)

// Read reads and checks the settings file of an entry VM at path.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings: name an existing file")
	}
	return Parse(path, text)
}

// Parse parses and checks settings. Path is only used in errors. If text has faults, the
// error is a FaultsError with all of them.
func Parse(path string, text []byte) (*Settings, error) {
	return decode(path, text, checkSettings)
}

// ReadStandin reads and checks the settings file of the stand-ins at path.
func ReadStandin(path string) (*Standin, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings: name an existing file")
	}
	return ParseStandin(path, text)
}

// ParseStandin parses and checks the settings of the stand-ins like Parse.
func ParseStandin(path string, text []byte) (*Standin, error) {
	return decode(path, text, checkStandin)
}
