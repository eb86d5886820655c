package fleet

import (
	"context"
	"net/http"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/blame"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/claim"
	"mangostile/internal/core/credit"
	"mangostile/internal/core/homes"
	"mangostile/internal/core/origin"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"
	"mangostile/internal/node/door"
)

// Settings configure an entry VM at its start.
type Settings struct {
	ID units.EntryVMID
	// Domain and Region are those of this entry VM; Regions holds the region of each
	// failure domain.
	Domain  units.FailureDomain
	Region  units.Region
	Regions map[units.FailureDomain]units.Region
	// FrontAddress serves callers, ReadyAddress the balancer's readiness checks,
	// PeerAddress other entry VMs and MetricsAddress the metrics. If MetricsAddress
	// is empty, no metrics are served.
	FrontAddress   string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	// MemoryMB bounds the memory of the process; 0 means no limit.
	MemoryMB int
	// Descriptors bounds those of the process; 0 means that only the kernel's limit does.
	Descriptors int
	// Callers bounds what callers hold. Its zero values select what Descriptors and MemoryMB allow, and
	// the defaults of package door.
	Callers door.Limits
	// Rejoins is true unless the whole system starts for the first time.
	Rejoins bool
	// Capacity is what the entry VM can carry as a placer.
	Capacity claim.Capacity
	// Grace is the time from the request to stop until the process is killed.
	Grace clock.Millis
	// MaxDelay is the delay of the process from which on it refuses new requests; 0 means no
	// limit.
	MaxDelay clock.Millis
	// HandoverInterval is the minimum time between orders of two leaseholders to one
	// backend server.
	HandoverInterval clock.Millis
	// Quotas are the terms of customers' quotas.
	Quotas credit.Terms
	// Choose is the policy for choosing backend servers, Homes that for placing
	// adapters.
	Choose choose.Policy
	Homes  homes.Policy
}

// NamedVersion is a version of an adapter that the operator has named.
type NamedVersion struct {
	Adapter  units.AdapterName
	Revision topo.AdapterRevision
}

// FeedUpdate is what was read from the operator's configuration or from the list of
// backend servers.
type FeedUpdate struct {
	// Era is that of Next.
	Era units.Era
	// Restored is true if the store was restored from a copy since the last update. Entries may then
	// be older than known ones, or missing. The Store does not set it.
	Restored bool
	// Full is true if all current entries are listed, not only those that changed.
	Full   bool
	Config *topo.Config
	// Replaced lists the other configurations that the records hold.
	Replaced []*topo.Config
	Versions []NamedVersion
	Servers  []*topo.Server
	Removed  []units.BackendServerID
	// Next is the offset of the next read.
	Next units.Offset
	// Since is the time since which the entries may have been in the store, by the clock of the
	// entry VM. The Store does not set it.
	Since clock.Millis
	// Behind is true if the store had records from Next on, or had lost some before it.
	Behind bool
	// Gap is true if records since the last update were not read: configurations that were in force,
	// or versions of backend servers that were listed and removed meanwhile, are not known.
	Gap bool
	// Software lists the versions that the records name, also those that were replaced by later
	// records.
	Software []topo.ServiceSoftware
	// Skipped counts entries that were skipped because they could not be read.
	Skipped int
	// Records are the records as read, by key; an empty value removes the key.
	Records map[string][]byte
}

// Feed is one of the two sources of a FeedUpdate.
type Feed string

// Feeds.
const (
	FeedConfig  Feed = "config"
	FeedServers Feed = "servers"
)

// LeaseRecords are records of a shard's lease.
type LeaseRecords struct {
	// Era is that of the offsets.
	Era     units.Era
	From    units.Offset
	Records []claim.Record
	End     units.Offset
	// Oldest is the first offset that can still be read.
	Oldest units.Offset
}

// StartRecords is what was read of the starts of streams in the store.
type StartRecords struct {
	Batches []origin.Batch
	// Next is the offset of the next read, which is to follow at once if More is true. Era is that of
	// Next.
	Next units.Offset
	Era  units.Era
	More bool
	// Skipped counts the records that could not be read.
	Skipped int
}

// QuarantineRecord is a verdict in the store.
type QuarantineRecord struct {
	blame.Verdict
	// Until is when the verdict is forgotten, in Unix ms by the clock of its writer. It is
	// what Remaining is in the store.
	Until clock.Millis
}

// NewQuarantineRecord returns the record of v, a verdict at now, a wall clock time.
func NewQuarantineRecord(v blame.Verdict, now clock.Millis) QuarantineRecord {
	return QuarantineRecord{Verdict: v, Until: now + v.Remaining}
}

// SetRemaining sets Remaining as of now, a wall clock time. It reports false if the verdict
// has expired.
func (r *QuarantineRecord) SetRemaining(now clock.Millis) bool {
	r.Remaining = min(max(0, r.Until-now), blame.MaxTerm)
	return r.Remaining > 0
}

// QuarantineRecords is what was read of the verdicts in the store.
type QuarantineRecords struct {
	// Records are those that have not expired, in the order of the store.
	Records []QuarantineRecord
	// Next is the offset of the next read, which is to follow at once if More is true. Era is that of
	// Next.
	Next units.Offset
	Era  units.Era
	More bool
	// Expired and Skipped count other records: Skipped those that could not be read.
	Expired int
	Skipped int
}

// LedgerEntries is what was read of the ledger.
type LedgerEntries struct {
	Entries []origin.Entry
	// Next is the offset after the last change, Era that of Next.
	Next units.Offset
	Era  units.Era
	// Skipped counts entries that could not be read.
	Skipped int
}

// ExpiredError is returned by a read from an offset whose records have expired, or that the store does
// not have since it was restored. Oldest is the first offset that can still be read, Era that of Oldest.
type ExpiredError struct {
	Oldest units.Offset
	Era    units.Era
}

// Error implements error.
func (e *ExpiredError) Error() string { return "records have expired: read everything anew" }

// Store is the service for durable data.
type Store interface {
	// ReadFull returns all entries of a feed.
	ReadFull(ctx context.Context, feed Feed) (*FeedUpdate, error)
	// ReadUpdates returns the entries from an offset on, and waits for one up to wait.
	// The error is an ExpiredError if some of them have expired.
	ReadUpdates(ctx context.Context, feed Feed, from units.Offset, wait clock.Millis) (*FeedUpdate, error)
	// DecodeUpdate decodes relayed records into the update that ReadUpdates would
	// return.
	DecodeUpdate(feed Feed, records []peer.FeedRecord) *FeedUpdate
	// ReadSoftware returns the versions of the backend servers in the records of FeedServers from an
	// offset on, before the offset to. The error is an ExpiredError if some of them have expired.
	ReadSoftware(ctx context.Context, from, to units.Offset) ([]topo.ServiceSoftware, error)
	// ReadKeptSoftware returns the versions of the backend servers in all records of FeedServers, those of
	// removed backend servers included. whole is false if the store has deleted some of these records, or
	// has too many to read; the list may then lack versions.
	ReadKeptSoftware(ctx context.Context) (list []topo.ServiceSoftware, whole bool, err error)
	// ReadKeptConfigs returns the configurations in all records of FeedConfig, oldest first. whole is as
	// for ReadKeptSoftware.
	ReadKeptConfigs(ctx context.Context) (list []*topo.Config, whole bool, err error)
	// ReadLedger returns the entries of the ledger.
	ReadLedger(ctx context.Context) (*LedgerEntries, error)
	// AppendLedger changes the ledger if it still ends at the offset at of an era. Its results are those
	// of AppendLease.
	AppendLedger(ctx context.Context, era units.Era, at units.Offset, changes []origin.Change) (claim.Result, error)
	// ReadStarts returns the starts of streams in the store from an offset on. The error is an
	// ExpiredError if some of them have expired.
	ReadStarts(ctx context.Context, from units.Offset) (*StartRecords, error)
	// AppendStarts adds starts of streams. After an error they may have been added.
	AppendStarts(ctx context.Context, batches []origin.Batch) error
	// ReadLease returns the records of a shard's lease from an offset on. The error is
	// an ExpiredError if some of them have expired.
	ReadLease(ctx context.Context, shard string, from units.Offset) (*LeaseRecords, error)
	// AppendLease appends a record if the lease's partition ends at the offset a.At.
	// The error is the reason for a result other than claim.Accepted, nil if the store
	// itself gave that result.
	AppendLease(ctx context.Context, shard string, a claim.Append) (claim.Result, error)
	// ReadQuarantines returns the newest verdict of each key if from is 0, otherwise the
	// verdicts from an offset on. The error is an ExpiredError if some of them have expired.
	ReadQuarantines(ctx context.Context, from units.Offset) (*QuarantineRecords, error)
	// AppendQuarantine appends a verdict if the verdicts end at the offset at, so that none
	// is superseded by an older one that arrives late. Its results are those of AppendLease.
	AppendQuarantine(ctx context.Context, at units.Offset, r QuarantineRecord) (claim.Result, error)
}

// Holder is the leaseholder on whose behalf an order is sent.
type Holder struct {
	ID    units.EntryVMID
	Fence units.Fence
	// NotAfter is the latest time to send the order, by the clock that counts
	// suspended time.
	NotAfter clock.Millis
}

// Engines sends orders and report requests to backend servers that run models.
type Engines interface {
	// Order sends an order. The error is the reason why it was not sent or got no
	// answer.
	Order(ctx context.Context, o homes.Order, h Holder) (homes.Result, error)
	// Report requests a report of a backend server on its state.
	Report(ctx context.Context, a homes.ReportRequest) (*topo.Report, error)
}

// RequestHead holds the values of a caller's request headers.
type RequestHead struct {
	ID units.RequestID
	// Timeout is how long the caller waits; 0 if it does not set one.
	Timeout      clock.Millis
	Adapter      units.AdapterName
	PromptTokens units.Tokens
	MaxTokens    units.Tokens
	Parts        []choose.Part
	// LastEvent is the id of the last event that the caller received of a broken
	// stream. It is empty for a new stream.
	LastEvent string
	// Resumes is the id of the client attempt that brought the first event of that stream, empty
	// if the caller does not name it.
	Resumes units.RequestID
}

// AttemptHead holds the values of the headers that an entry VM adds to a request.
type AttemptHead struct {
	Server units.BackendServerID
	// Remaining is the remaining time until the request's deadline.
	Remaining clock.Millis
	// Customer is whose request it is, empty if it is of no customer.
	Customer units.CustomerName
	// Rank is the priority rank of the customer or the route; it is sent only to engines.
	Rank int
	// Engine is true if the request names an adapter, so that Server is an engine.
	Engine bool
	// LastEvent is the id of the last event forwarded to the caller, empty for none.
	LastEvent string
}

// AnswerHead holds the values of the headers of a backend server's answer.
type AnswerHead struct {
	ID units.RequestID
	// Stamped is true if the backend server signed the answer.
	Stamped bool
	// NotExecuted is true if the backend server did not execute the request.
	NotExecuted bool
	// Leaving is true if the backend server says that it leaves.
	Leaving bool
	// RetryAfter is for how long the backend server wants no requests; 0 if it doesn't say, and
	// negative if what it says makes no sense.
	RetryAfter clock.Millis
	// Limit is the rate of requests of all entry VMs together that the backend server takes for as
	// long as its answers say so; 0 if it doesn't say, and negative if what it says makes no sense.
	Limit units.Rate
	// Server is the backend server that answered, empty if the answer does not name it.
	Server units.BackendServerID
}

// Headers translates the headers of requests and answers.
type Headers interface {
	// ReadRequest reads a caller's headers. The text of its error is sent to the caller.
	ReadRequest(h http.Header) (RequestHead, error)
	// ReadKey reads the key of a caller, empty if there is none or more than one.
	ReadKey(h http.Header) string
	// WriteAttempt adds the values of a to h, a copy of the caller's headers. It removes the key,
	// and whatever the caller claims about the customer.
	WriteAttempt(h http.Header, a AttemptHead)
	ReadAnswer(status int, h http.Header) AnswerHead
}

// System is the platform interface that an entry VM runs on.
type System interface {
	Store
	Engines
	Headers
}
