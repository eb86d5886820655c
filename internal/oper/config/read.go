package config

import (
	"os"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Read reads and checks the settings file at path.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings: name an existing file")
	}
	return Parse(path, text)
}

// Parse reads settings from text. Path is only named in errors.
func Parse(path string, text []byte) (*Settings, error) {
	var settings Settings
	if err := toml.Unmarshal(text, &settings); err != nil {
		return nil, errors.Wrapf(err, "settings %s", path)
	}
	return &settings, nil
}
