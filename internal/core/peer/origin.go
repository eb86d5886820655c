package peer

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/origin"
	"mangostile/internal/core/topo"
)

// StreamStart tells an entry VM that keeps starts of streams which version began one.
type StreamStart struct {
	origin.Start `msgpack:"s"`
}

// StreamStarts hands starts of streams over to an entry VM that appends them to the store.
type StreamStarts struct {
	Number origin.HandoffNumber `msgpack:"n"`
	// Address is the peer address of the sender, to which the confirmation goes.
	Address string         `msgpack:"a"`
	Batches []origin.Batch `msgpack:"b"`
}

// StreamStartsKept confirms that the starts of a StreamStarts message are in the store.
type StreamStartsKept struct {
	Number origin.HandoffNumber `msgpack:"n"`
}

// OriginRequest asks which version began a stream.
type OriginRequest struct {
	// Question identifies the request among those of the sender.
	Question uint64     `msgpack:"q"`
	Key      origin.Key `msgpack:"k"`
	// Window is the time in ms in which the stream may have begun; 0 if the sender is of a release
	// that does not tell it.
	Window clock.Millis `msgpack:"w,omitempty"`
	// Address is the peer address of the sender, to which the reply goes.
	Address string `msgpack:"a"`
}

// OriginReply answers an OriginRequest.
type OriginReply struct {
	Question uint64 `msgpack:"q"`
	// Known is true if the sender knows the stream.
	Known bool `msgpack:"y,omitempty"`
	// Covers is true if the sender has kept all starts that it was told in the Window of the
	// request.
	Covers   bool          `msgpack:"c,omitempty"`
	Software topo.Software `msgpack:"v,omitempty"`
	// Service is the service that began the stream; empty if the sender does not know it.
	Service units.ServiceName `msgpack:"sv,omitempty"`
}

func (*StreamStart) peerMessage()      {}
func (*StreamStarts) peerMessage()     {}
func (*StreamStartsKept) peerMessage() {}
func (*OriginRequest) peerMessage()    {}
func (*OriginReply) peerMessage()      {}

// Check implements Message.
func (m *StreamStart) Check() error {
	if err := m.Start.Check(); err != nil {
		return invalid("stream_start", err.Error())
	}
	return nil
}

// Check implements Message.
func (m *StreamStarts) Check() error {
	if m.Address == "" {
		return invalid("stream_starts", "no address")
	}
	for i := range m.Batches {
		if err := m.Batches[i].Check(); err != nil {
			return invalid("stream_starts", err.Error())
		}
	}
	return nil
}

// Check implements Message.
func (*StreamStartsKept) Check() error { return nil }

// Check implements Message.
func (m *OriginRequest) Check() error {
	if m.Address == "" || m.Window < 0 {
		return invalid("origin_request", "no address, or a window below 0")
	}
	return nil
}

// Check implements Message.
func (m *OriginReply) Check() error {
	if err := origin.CheckOrigin(m.Service, m.Software); err != nil {
		return invalid("origin_reply", err.Error())
	}
	return nil
}
