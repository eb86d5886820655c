package event

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
)

// Request describes a caller's request to the core. The body stays outside of the
// core.
type Request struct {
	ID     units.RequestID
	Caller units.Caller
	// Adapter is set for a request to a model engine; its version is empty if the
	// version is to be chosen by weight. Service is set otherwise.
	Adapter units.AdapterVersion
	Service units.ServiceName
	// Idempotent is false if the request must run at most once; Key is then the
	// caller's idempotency key.
	Idempotent bool
	Key        string
	// Digest identifies method, path and body.
	Digest units.Fingerprint
	// Prefix identifies the prompt's prefix, for prefix caches.
	Prefix       units.Fingerprint
	PromptTokens units.Tokens
	MaxTokens    units.Tokens
	Streamed     bool
	// Deadline is the instant after which the answer is useless. 0 selects the default
	// of the adapter's row or of the service.
	Deadline clock.Millis
	// Priority is added to the priority of the adapter's row.
	Priority units.Priority
	// Forwarded is set if another failure domain forwarded the request; it is not
	// forwarded again.
	Forwarded bool
}

// DispatchResult is the result of an attempt.
type DispatchResult struct {
	Kind ResultKind
	// CallerGotBytes is set if a part of the answer has reached the caller, so that
	// no other attempt can replace this one.
	CallerGotBytes bool
	// Status, ContentType and Body hold the answer if the Dispatch asked for it with
	// RecordAnswer. They are empty otherwise.
	Status      int
	ContentType string
	Body        []byte
	// OutputTokens is the number of generated tokens.
	OutputTokens units.Tokens
}

// ResultKind is the kind of a DispatchResult.
type ResultKind uint8

// Kinds of results.
const (
	// ResultServed means that the whole answer was received and forwarded.
	ResultServed ResultKind = iota + 1
	// ResultNotSent means that no byte reached the backend server.
	ResultNotSent
	// ResultNotRun means that the backend server reported that it did not run the
	// request, for instance because it is leaving or lacks the adapter.
	ResultNotRun
	// ResultAdapterMissing is ResultNotRun because the adapter is not loaded.
	ResultAdapterMissing
	// ResultBroken means that the connection broke after the request was sent.
	ResultBroken
	// ResultTimeout means that the deadline passed after the request was sent.
	ResultTimeout
	// ResultCanceled means that the caller disconnected.
	ResultCanceled
	// ResultFailed means that an engine answered with an error of its own or with the
	// answer to another request.
	ResultFailed
)

// String returns the name of k for log lines.
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

// Ran returns whether the request ran, as far as a result of kind k shows it, for
// use in a refusal.
func (k ResultKind) Ran() errs.Ran {
	switch k {
	case ResultNotSent, ResultNotRun, ResultAdapterMissing:
		return errs.RanNo
	default:
		return errs.RanUnknown
	}
}
