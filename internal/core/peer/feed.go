package peer

import (
	"mangostile/internal/base/units"
	"mangostile/internal/core/origin"
	"mangostile/internal/core/topo"
)

// FeedUpdate forwards records that a placer has read from the store, so that not
// every entry VM has to read it.
type FeedUpdate struct {
	Feed string `msgpack:"f"`
	// From is the first offset of the range that was read, Next the first one after it.
	From units.Offset `msgpack:"o"`
	Next units.Offset `msgpack:"n"`
	// FromEra and Era are the eras of From and Next.
	FromEra units.Era `msgpack:"x,omitempty"`
	Era     units.Era `msgpack:"e,omitempty"`
	// Records holds the newest record of each key that changed in that range.
	Records []FeedRecord `msgpack:"r,omitempty"`
	// Software lists the versions that only records which were replaced in that range name.
	Software []topo.ServiceSoftware `msgpack:"s,omitempty"`
	// Gap is true if some records of that range were not read.
	Gap bool `msgpack:"g,omitempty"`
	// Behind is true if records from Next on were in the store already when it was read.
	Behind bool `msgpack:"b,omitempty"`
}

// FeedRecord is a record as the store holds it. An empty value deletes the key.
type FeedRecord struct {
	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v,omitempty"`
}

// Restored reports whether the store was restored in the range that was read. Its offsets can't be
// compared then.
func (m *FeedUpdate) Restored() bool { return m.Era > m.FromEra }

func (*FeedUpdate) peerMessage() {}

// Check implements Message.
func (m *FeedUpdate) Check() error {
	if m.Feed == "" || m.From < 0 || m.Next < 0 || m.Era < m.FromEra || m.Next < m.From && !m.Restored() {
		return invalid("feed_news", "feed is missing or offsets are out of order")
	}
	for i := range m.Records {
		if m.Records[i].Key == "" {
			return invalid("feed_news", "record without key")
		}
	}
	for i := range m.Software {
		if err := origin.CheckSoftware(m.Software[i].Software); err != nil || m.Software[i].Service == "" {
			return invalid("feed_news", "version without service or too long")
		}
	}
	return nil
}
