package peer

import "mangostile/internal/base/units"

// FeedNews passes on what a placer has read of the store, so that not every entry
// VM reads it.
type FeedNews struct {
	Feed string `msgpack:"f"`
	// From and Next are the offsets between which the records were read.
	From units.Offset `msgpack:"o"`
	Next units.Offset `msgpack:"n"`
	// Records holds the newest record of each key that changed.
	Records []FeedRecord `msgpack:"r,omitempty"`
}

// FeedRecord is a record as the store holds it. An empty value drops the key.
type FeedRecord struct {
	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v,omitempty"`
}

func (*FeedNews) peerMessage() {}

// Check implements Message.
func (m *FeedNews) Check() error {
	if m.Feed == "" || m.From < 0 || m.Next < m.From {
		return invalid("feed_news", "a feed and offsets in order are needed")
	}
	for i := range m.Records {
		if m.Records[i].Key == "" {
			return invalid("feed_news", "record without key")
		}
	}
	return nil
}
