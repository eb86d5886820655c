package fleet

import (
	"context"
	"net/http"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/claim"
	"mangostile/internal/core/homes"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"
)

// Settings are what an entry VM is told when it starts.
type Settings struct {
	ID units.EntryVMID
	// Domain and Region are the entry VM's own; Regions holds that of each
	// failure domain.
	Domain  units.FailureDomain
	Region  units.Region
	Regions map[units.FailureDomain]units.Region
	// FrontAddress takes callers, ReadyAddress the balancer's question whether
	// the entry VM is ready, PeerAddress other entry VMs and MetricsAddress
	// whoever reads metrics. An empty MetricsAddress serves none.
	FrontAddress   string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	// MemoryMB bounds the process's memory. 0 is no bound.
	MemoryMB int
	// Grace is the time between the request to stop and the end by force.
	Grace clock.Millis
	// Turn is the least time between orders of two placers to one backend server.
	Turn clock.Millis
	// Choose and Homes hold the settings of decisions.
	Choose choose.Policy
	Homes  homes.Policy
}

// NamedVersion is a version of an adapter that the operator has named.
type NamedVersion struct {
	Adapter  units.AdapterName
	Revision topo.AdapterRevision
}

// News is what was read of the operator's configuration or of the list of backend
// servers.
type News struct {
	// Whole tells that everything that counts is listed, not only what changed.
	Whole    bool
	Config   *topo.Config
	Versions []NamedVersion
	Servers  []*topo.Server
	Dropped  []units.BackendServerID
	// Next is the offset to read on from.
	Next units.Offset
	// Bad counts entries that could not be read and were passed over.
	Bad int
	// Records are the records as read, by key; an empty value drops the key.
	Records map[string][]byte
}

// Feed is one of the two sources of News.
type Feed string

// Feeds.
const (
	FeedConfig  Feed = "config"
	FeedServers Feed = "servers"
)

// LeaseRecords are records of a shard's lease.
type LeaseRecords struct {
	From    units.Offset
	Records []claim.Record
	End     units.Offset
	// Oldest is the first offset that can still be read.
	Oldest units.Offset
}

// ExpiredError tells that news from an offset on can't be read any more.
type ExpiredError struct{ Oldest units.Offset }

// Error implements error.
func (e *ExpiredError) Error() string { return "records have expired: read everything anew" }

// Store is the service that keeps what must last.
type Store interface {
	// ReadWhole returns all that a feed holds.
	ReadWhole(ctx context.Context, feed Feed) (*News, error)
	// ReadNews returns what came from an offset on, and waits for it up to wait.
	// The error is an ExpiredError if a part has expired.
	ReadNews(ctx context.Context, feed Feed, from units.Offset, wait clock.Millis) (*News, error)
	// DecodeNews returns what records say, as News would.
	DecodeNews(feed Feed, records []peer.FeedRecord) *News
	// ReadLease returns the records of a shard's lease from an offset on.
	ReadLease(ctx context.Context, shard string, from units.Offset) (*LeaseRecords, error)
	// AppendLease appends a record if the lease ends where it says. The error tells
	// why a result other than claim.Accepted came, nil if the store said so itself.
	AppendLease(ctx context.Context, shard string, a claim.Append) (claim.Result, error)
}

// Holder is who gives orders.
type Holder struct {
	ID    units.EntryVMID
	Fence units.Fence
	// NotAfter is the instant, by the clock that counts suspended time, up to
	// which the order may be sent.
	NotAfter clock.Millis
}

// Engines gives orders to backend servers that run models.
type Engines interface {
	// Order sends an order. The error tells why it was not sent or got no answer.
	Order(ctx context.Context, o homes.Order, h Holder) (homes.Result, error)
	Report(ctx context.Context, a homes.Ask) (*topo.Report, error)
}

// RequestHead is what the headers of a request say.
type RequestHead struct {
	ID units.RequestID
	// Within is the time that the caller waits; 0 if it does not say.
	Within       clock.Millis
	Adapter      units.AdapterName
	PromptTokens units.Tokens
	MaxTokens    units.Tokens
	Parts        []choose.Part
	// LastEvent is the id of the last event that the caller has of a stream that
	// broke. It is empty for a new one.
	LastEvent string
}

// AttemptHead is what a backend server is told of a request besides what the caller
// sent.
type AttemptHead struct {
	Server units.BackendServerID
	// Within is the time that is left.
	Within clock.Millis
	// Rank is that of the route; only engines are told.
	Rank   int
	Engine bool
	// LastEvent is the id of the last event that was passed on, empty for none.
	LastEvent string
}

// AnswerHead is what the headers of a backend server's answer say.
type AnswerHead struct {
	ID units.RequestID
	// Stamped tells that the backend server signed the answer.
	Stamped bool
	// NotRun tells that the backend server did not run the request.
	NotRun bool
	// Server is the backend server that answered, if it says so.
	Server units.BackendServerID
}

// Headers translates the headers of requests and answers.
type Headers interface {
	ReadRequest(h http.Header) (RequestHead, error)
	// WriteAttempt changes a copy of the caller's headers.
	WriteAttempt(h http.Header, a AttemptHead)
	ReadAnswer(status int, h http.Header) AnswerHead
}

// System is all that an entry VM needs of the platform.
type System interface {
	Store
	Engines
	Headers
}
