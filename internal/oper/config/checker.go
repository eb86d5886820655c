package config

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"math"
	"net"
	"os"
	"slices"
	"strings"

	"mangostile/internal/base/clock"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// checker collects the faults of one file.
type checker struct {
	file   string
	lines  keyLines
	faults []Fault
}

// fault records that key is wrong. Only the first fault of a key or of a table around it is
// kept, as the others follow from it.
func (c *checker) fault(key, format string, args ...any) {
	for _, f := range c.faults {
		if f.Key == key || strings.HasPrefix(key, f.Key+".") {
			return
		}
	}
	c.faults = append(c.faults, Fault{File: c.file, Line: c.lines.line(key), Key: key, Remedy: fmt.Sprintf(format, args...)})
}

// syntax records an error of the TOML library.
func (c *checker) syntax(err error) {
	line := 1
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		line, _ = decodeError.Position()
	}
	text := strings.TrimPrefix(err.Error(), "toml: ")
	c.faults = append(c.faults, Fault{File: c.file, Line: line, Remedy: "this is not TOML, mend it: " + text})
}

// err returns all faults as one error, or nil.
func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return &FaultsError{Faults: c.faults}
}

func (c *checker) required(key, value, remedy string) {
	if value == "" {
		c.fault(key, "is missing: %s", remedy)
	}
}

func (c *checker) oneOf(key, value string, choices ...string) {
	if !slices.Contains(choices, value) {
		c.fault(key, "%q is not known: use %s", value, strings.Join(choices, ", "))
	}
}

// address checks that value is an IP address and a port.
func (c *checker) address(key, value string) {
	if value == "" {
		c.fault(key, "is missing: give an IP address and a port, as 127.0.0.1:8080")
		return
	}
	host, port, err := net.SplitHostPort(value)
	if err != nil || port == "" || net.ParseIP(host) == nil {
		c.fault(key, "%q is not an address: give an IP address and a port, as 127.0.0.1:8080", value)
	}
}

func (c *checker) optionalAddress(key, value string) {
	if value != "" {
		c.address(key, value)
	}
}

func (c *checker) duration(key string, value, limit clock.Millis) {
	if value < 0 || value > limit {
		c.fault(key, "%d is out of range: give milliseconds from 0 to %d", value, limit)
	}
}

func (c *checker) atLeast(key string, value, minimum float64) {
	if value < minimum {
		c.fault(key, "%v is too small: give at least %v", value, minimum)
	}
}

// tokenHash checks that value is a SHA-256. Its fault doesn't show value, which may be a
// plain token.
func (c *checker) tokenHash(key, value string) {
	digest, err := hex.DecodeString(value)
	if err != nil || len(digest) != sha256Bytes {
		c.fault(key, "is not a SHA-256 in 64 hexadecimal digits: print one with mangostile settings token")
	}
}

const sha256Bytes = 32

// certificate checks that a certificate and one other file, its private key or the authority,
// are given together and that both exist; it doesn't read them. A certificate that needs both
// takes two calls. The settings are the keys that faults name.
func (c *checker) certificate(certificateSetting, certificatePath, otherSetting, otherPath string) {
	if (certificatePath == "") != (otherPath == "") {
		c.fault(certificateSetting, "needs %s beside it: give both or neither", otherSetting)
		return
	}
	for name, path := range map[string]string{certificateSetting: certificatePath, otherSetting: otherPath} {
		if path == "" {
			continue
		}
		if _, err := os.Stat(path); err != nil {
			c.fault(name, "the file can't be read: name an existing PEM file")
		}
	}
}

// rate checks a limit per second.
func (c *checker) rate(key string, rate float64) {
	if math.IsNaN(rate) || rate < 0 || rate > maxRate {
		c.fault(key, outOfRangeFormat, rate, 0, maxRate)
	}
}

// names checks that no name of an array of tables is missing or duplicate; key is the key
// of the name in each table.
func (c *checker) names(array, key string, names []string) {
	seen := map[string]bool{}
	for i, name := range names {
		path := fmt.Sprintf("%s[%d].%s", array, i, key)
		c.required(path, name, "give a name")
		if name != "" && seen[name] {
			c.fault(path, "%q is there twice: give each a name of its own", name)
		}
		seen[name] = true
	}
}
