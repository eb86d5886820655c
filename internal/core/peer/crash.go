package peer

import "mangostile/internal/core/blame"

// CrashNews tells another entry VM about crashes of backend servers and what causes them, and about
// the limits that backend servers named.
type CrashNews struct {
	blame.News `msgpack:"n"`
	Limits     []ServerLimit `msgpack:"l,omitempty"`
	// Whole is true if the news are all that the sender knows.
	Whole bool `msgpack:"w,omitempty"`
	// NeedsState asks for all that the receiver knows.
	NeedsState bool `msgpack:"s,omitempty"`
	// Address is the peer address of the sender.
	Address string `msgpack:"a"`
}

func (*CrashNews) peerMessage() {}

// Check implements Message.
func (m *CrashNews) Check() error {
	if m.Address == "" {
		return invalid("crash_news", "no address")
	}
	if err := m.News.Check(); err != nil {
		return invalid("crash_news", err.Error())
	}
	for i := range m.Limits {
		if err := m.Limits[i].Check(); err != nil {
			return err
		}
	}
	return nil
}
