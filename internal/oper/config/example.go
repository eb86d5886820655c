package config

import (
	// Embeds the example files.
	_ "embed"
)

// Example is a commented settings file of an entry VM.
//
//go:embed example.toml
var Example string

// ExampleStandin is a commented settings file of the stand-ins.
//
//go:embed example_standin.toml
var ExampleStandin string
