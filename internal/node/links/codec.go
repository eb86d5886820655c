// Package links carries messages between entry VMs over TCP.
package links

import (
	"fmt"

	"mangostile/internal/base/frame"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
)

// Type tags of frames. They are part of the protocol and never change meaning.
const (
	tagHello byte = iota + 1
	tagHeartbeat
	tagGrantAsk
	tagGrantReply
	tagGrantRelease
	tagConfigRecords
	tagConfigAsk
	tagConfigSnapshot
	tagPoisonMark
	tagDomainSummary
	tagHandover
	tagUsage
	tagHomes
	tagFeedNews
)

// hello is the first frame of a connection.
type hello struct {
	From units.EntryVMID `msgpack:"f"`
	// To is the entry VM that the sender means to reach.
	To units.EntryVMID `msgpack:"t"`
}

// UnknownTagError reports a frame of a type that this release does not know.
type UnknownTagError struct{ Tag byte }

// Error implements error.
func (e *UnknownTagError) Error() string {
	return fmt.Sprintf("frame with unknown tag %d: run the same release on all entry VMs", e.Tag)
}

func tagOf(m peer.Message) byte {
	switch m.(type) {
	case *peer.Heartbeat:
		return tagHeartbeat
	case *peer.GrantRequest:
		return tagGrantAsk
	case *peer.GrantReply:
		return tagGrantReply
	case *peer.GrantRelease:
		return tagGrantRelease
	case *peer.ConfigRecords:
		return tagConfigRecords
	case *peer.ConfigRequest:
		return tagConfigAsk
	case *peer.ConfigSnapshot:
		return tagConfigSnapshot
	case *peer.PoisonMark:
		return tagPoisonMark
	case *peer.DomainSummary:
		return tagDomainSummary
	case *peer.Handover:
		return tagHandover
	case *peer.UsageReport:
		return tagUsage
	case *peer.PlacementUpdate:
		return tagHomes
	case *peer.FeedUpdate:
		return tagFeedNews
	default:
		return 0
	}
}

func newMessage(tag byte) peer.Message {
	switch tag {
	case tagHeartbeat:
		return &peer.Heartbeat{}
	case tagGrantAsk:
		return &peer.GrantRequest{}
	case tagGrantReply:
		return &peer.GrantReply{}
	case tagGrantRelease:
		return &peer.GrantRelease{}
	case tagConfigRecords:
		return &peer.ConfigRecords{}
	case tagConfigAsk:
		return &peer.ConfigRequest{}
	case tagConfigSnapshot:
		return &peer.ConfigSnapshot{}
	case tagPoisonMark:
		return &peer.PoisonMark{}
	case tagDomainSummary:
		return &peer.DomainSummary{}
	case tagHandover:
		return &peer.Handover{}
	case tagUsage:
		return &peer.UsageReport{}
	case tagHomes:
		return &peer.PlacementUpdate{}
	case tagFeedNews:
		return &peer.FeedUpdate{}
	default:
		return nil
	}
}

// decodeMessage decodes and checks a message.
func decodeMessage(tag byte, payload []byte) (peer.Message, error) {
	m := newMessage(tag)
	if m == nil {
		return nil, &UnknownTagError{Tag: tag}
	}
	if err := frame.Decode(payload, m); err != nil {
		return nil, err
	}
	return m, m.Check()
}
