package event

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
)

// Request is what the core knows of a caller's request. The body stays outside.
type Request struct {
	ID     units.RequestID
	Caller units.Caller
	// Adapter is set for a request to a model engine; its version is empty if
	// the caller leaves the choice to the weights. Service is set otherwise.
	Adapter units.AdapterVersion
	Service units.ServiceName
	// Idempotent is false if the request must run at most once; Key is then the
	// caller's idempotency key.
	Idempotent bool
	Key        string
	// Digest identifies method, path and body.
	Digest units.Fingerprint
	// Prefix identifies the beginning of the prompt, for prefix caches.
	Prefix       units.Fingerprint
	PromptTokens units.Tokens
	MaxTokens    units.Tokens
	Streamed     bool
	// Deadline is the instant after which the answer is of no use. 0 takes the
	// default of the adapter's row or the service.
	Deadline clock.Millis
	// Priority is added to the priority of the adapter's row.
	Priority units.Priority
	// Forwarded is set if another failure domain sent the request here; it is
	// not sent on again.
	Forwarded bool
}

// DispatchResult is how an attempt ended.
type DispatchResult struct {
	Kind ResultKind
	// CallerGotBytes is set if a part of the answer has reached the caller, so
	// that no other attempt can take its place.
	CallerGotBytes bool
	// Status, ContentType and Body hold the answer of a service whose outcome is
	// recorded. They are empty otherwise.
	Status      int
	ContentType string
	Body        []byte
	// OutputTokens counts tokens that were generated.
	OutputTokens units.Tokens
}

// ResultKind is the kind of a DispatchResult.
type ResultKind uint8

// Kinds of results.
const (
	// ResultServed tells that the whole answer came and has been passed on.
	ResultServed ResultKind = iota + 1
	// ResultNotSent tells that no byte reached the backend server.
	ResultNotSent
	// ResultNotRun tells that the backend server said that it did not run the
	// request, for instance since it is leaving or lacks the adapter.
	ResultNotRun
	// ResultAdapterMissing is ResultNotRun because the adapter is not loaded.
	ResultAdapterMissing
	// ResultBroken tells that the connection broke after the request was sent.
	ResultBroken
	// ResultTimeout tells that the deadline passed after the request was sent.
	ResultTimeout
	// ResultCanceled tells that the caller went away.
	ResultCanceled
	// ResultFailed tells that an engine answered, but with an error of its own
	// or with the answer to another request.
	ResultFailed
)

// String returns the name of k in log lines.
func (k ResultKind) String() string {
	switch k {
	case ResultServed:
		return "served"
	case ResultNotSent:
		return "not_sent"
	case ResultNotRun:
		return "not_run"
	case ResultAdapterMissing:
		return "adapter_missing"
	case ResultBroken:
		return "broken"
	case ResultTimeout:
		return "timeout"
	case ResultCanceled:
		return "canceled"
	case ResultFailed:
		return "failed"
	default:
		return "unknown"
	}
}

// Ran returns what a refusal after a result of kind k may say.
func (k ResultKind) Ran() errs.Ran {
	switch k {
	case ResultNotSent, ResultNotRun, ResultAdapterMissing:
		return errs.RanNo
	default:
		return errs.RanUnknown
	}
}
