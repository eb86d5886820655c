// Package links transports messages between entry VMs over TCP, optionally with mutual
// TLS. Delivery is not guaranteed.
package links

import (
	"fmt"

	"mangostile/internal/base/frame"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
)

// Type tags of frames. They are part of the wire protocol, so their values never change
// meaning.
const (
	tagHello byte = iota + 1
	tagHeartbeat
	tagGrantRequest
	tagGrantReply
	tagGrantRelease
	tagConfigRecords
	tagConfigRequest
	tagConfigSnapshot
	tagPoisonMark
	tagDomainSummary
	tagHandover
	tagUsageReport
	tagPlacementUpdate
	tagFeedUpdate
	tagCrashNews
	tagStreamStart
	tagOriginRequest
	tagOriginReply
	tagCreditRequest
	tagCreditReply
	tagStreamStarts
	tagStreamStartsKept
)

// hello is the first frame of a connection and identifies both ends.
type hello struct {
	From units.EntryVMID `msgpack:"f"`
	// To is the intended receiver. Any other entry VM closes the connection.
	To units.EntryVMID `msgpack:"t"`
}

// UnknownTagError reports a frame of a type that this release does not support.
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
		return tagGrantRequest
	case *peer.GrantReply:
		return tagGrantReply
	case *peer.GrantRelease:
		return tagGrantRelease
	case *peer.ConfigRecords:
		return tagConfigRecords
	case *peer.ConfigRequest:
		return tagConfigRequest
	case *peer.ConfigSnapshot:
		return tagConfigSnapshot
	case *peer.PoisonMark:
		return tagPoisonMark
	case *peer.DomainSummary:
		return tagDomainSummary
	case *peer.Handover:
		return tagHandover
	case *peer.UsageReport:
		return tagUsageReport
	case *peer.PlacementUpdate:
		return tagPlacementUpdate
	case *peer.FeedUpdate:
		return tagFeedUpdate
	case *peer.CrashNews:
		return tagCrashNews
	case *peer.StreamStart:
		return tagStreamStart
	case *peer.OriginRequest:
		return tagOriginRequest
	case *peer.OriginReply:
		return tagOriginReply
	case *peer.CreditRequest:
		return tagCreditRequest
	case *peer.CreditReply:
		return tagCreditReply
	case *peer.StreamStarts:
		return tagStreamStarts
	case *peer.StreamStartsKept:
		return tagStreamStartsKept
	default:
		return 0
	}
}

// kinds holds the name of each type of message, by its tag, for metrics.
var kinds = [...]string{
	tagHeartbeat: "heartbeat", tagGrantRequest: "grant_request", tagGrantReply: "grant_reply", tagGrantRelease: "grant_release",
	tagConfigRecords: "config_records", tagConfigRequest: "config_request", tagConfigSnapshot: "config_snapshot", tagPoisonMark: "poison_mark",
	tagDomainSummary: "domain_summary", tagHandover: "handover", tagUsageReport: "usage_report", tagPlacementUpdate: "placement_update",
	tagFeedUpdate: "feed_update", tagCrashNews: "crash_news", tagStreamStart: "stream_start", tagOriginRequest: "origin_request", tagOriginReply: "origin_reply",
	tagCreditRequest: "credit_request", tagCreditReply: "credit_reply",
	tagStreamStarts: "stream_starts", tagStreamStartsKept: "stream_starts_kept",
}

// kindOf returns the name of the type of m.
func kindOf(m peer.Message) string { return kinds[tagOf(m)] }

func newMessage(tag byte) peer.Message {
	switch tag {
	case tagHeartbeat:
		return &peer.Heartbeat{}
	case tagGrantRequest:
		return &peer.GrantRequest{}
	case tagGrantReply:
		return &peer.GrantReply{}
	case tagGrantRelease:
		return &peer.GrantRelease{}
	case tagConfigRecords:
		return &peer.ConfigRecords{}
	case tagConfigRequest:
		return &peer.ConfigRequest{}
	case tagConfigSnapshot:
		return &peer.ConfigSnapshot{}
	case tagPoisonMark:
		return &peer.PoisonMark{}
	case tagDomainSummary:
		return &peer.DomainSummary{}
	case tagHandover:
		return &peer.Handover{}
	case tagUsageReport:
		return &peer.UsageReport{}
	case tagPlacementUpdate:
		return &peer.PlacementUpdate{}
	case tagFeedUpdate:
		return &peer.FeedUpdate{}
	case tagCrashNews:
		return &peer.CrashNews{}
	case tagStreamStart:
		return &peer.StreamStart{}
	case tagOriginRequest:
		return &peer.OriginRequest{}
	case tagOriginReply:
		return &peer.OriginReply{}
	case tagCreditRequest:
		return &peer.CreditRequest{}
	case tagCreditReply:
		return &peer.CreditReply{}
	case tagStreamStarts:
		return &peer.StreamStarts{}
	case tagStreamStartsKept:
		return &peer.StreamStartsKept{}
	default:
		return nil
	}
}

// decodeMessage decodes and validates a message. It returns an UnknownTagError for an
// unsupported tag.
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
