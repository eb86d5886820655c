package blame

import (
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"

	"github.com/pkg/errors"
)

// Request holds the keys of one request.
type Request struct {
	// Parts are the keys of the parts of its prompt, in their order, without the last, which
	// belongs to the request alone.
	Parts []Key `msgpack:"p,omitempty"`
	// Content is the key of the whole request, 0 if it does not count.
	Content Key `msgpack:"c,omitempty"`
	// Again is true if the request was sent to the backend server although a crash was known to
	// count against Content. A common failure of both servers is unlikely then.
	Again bool `msgpack:"a,omitempty"`
}

// keys returns the keys of r, more specific ones later.
func (r Request) keys() []Key {
	if r.Content == 0 {
		return r.Parts
	}
	return append(slices.Clip(r.Parts), r.Content)
}

// Empty reports whether r has no keys.
func (r Request) Empty() bool { return len(r.Parts) == 0 && r.Content == 0 }

// Crash is a crash of a backend server.
type Crash struct {
	Server units.BackendServerID `msgpack:"s"`
	// StartedAt is the start of the process that crashed, by the backend server's clock.
	StartedAt int64 `msgpack:"b"`
	// Age is the time in ms since the crash.
	Age clock.Millis `msgpack:"a"`
	// Requests were in flight there without an answer having begun.
	Requests []Request `msgpack:"r"`
}

// Begun reports that an answer began on a key.
type Begun struct {
	Key Key `msgpack:"k"`
	// Age is the time in ms since then.
	Age clock.Millis `msgpack:"a"`
}

// News is what entry VMs tell each other. The zero value tells nothing.
type News struct {
	Crashes  []Crash   `msgpack:"c,omitempty"`
	Begun    []Begun   `msgpack:"b,omitempty"`
	Verdicts []Verdict `msgpack:"v,omitempty"`
}

// Empty reports whether n tells nothing.
func (n *News) Empty() bool { return len(n.Crashes)+len(n.Begun)+len(n.Verdicts) == 0 }

// Add adds other to n.
func (n *News) Add(other News) {
	n.Crashes = append(n.Crashes, other.Crashes...)
	n.Begun = append(n.Begun, other.Begun...)
	n.Verdicts = append(n.Verdicts, other.Verdicts...)
}

// Check reports whether n is valid.
func (n *News) Check() error {
	for i := range n.Crashes {
		c := &n.Crashes[i]
		if c.Server == "" || c.Age < 0 || len(c.Requests) > maxRequests {
			return errors.New("crash without backend server, from the future or with too many requests")
		}
		for _, r := range c.Requests {
			if len(r.Parts) > MaxParts {
				return errors.New("request with too many parts")
			}
		}
	}
	for _, b := range n.Begun {
		if b.Age < 0 {
			return errors.New("answer that began in the future")
		}
	}
	for i := range n.Verdicts {
		if err := n.Verdicts[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// within reports whether other has all keys of r.
func (r Request) within(other Request) bool {
	missing := func(key Key) bool { return !slices.Contains(other.Parts, key) }
	return (r.Content == 0 || r.Content == other.Content) && !slices.ContainsFunc(r.Parts, missing)
}
