package peer

import "mangostile/internal/base/units"

// FeedUpdate forwards records that a placer has read from the store, so that not
// every entry VM has to read it.
type FeedUpdate struct {
	Feed string `msgpack:"f"`
	// From is the first offset of the range that was read, Next the first one after it.
	From units.Offset `msgpack:"o"`
	Next units.Offset `msgpack:"n"`
	// Records holds the newest record of each key that changed in that range.
	Records []FeedRecord `msgpack:"r,omitempty"`
}

// FeedRecord is a record as the store holds it. An empty value deletes the key.
type FeedRecord struct {
	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v,omitempty"`
}

func (*FeedUpdate) peerMessage() {}

// Check implements Message.
func (m *FeedUpdate) Check() error {
	if m.Feed == "" || m.From < 0 || m.Next < m.From {
		return invalid("feed_news", "feed is missing or offsets are out of order")
	}
	for i := range m.Records {
		if m.Records[i].Key == "" {
			return invalid("feed_news", "record without key")
		}
	}
	return nil
}
