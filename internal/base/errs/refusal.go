// Package errs defines the errors that are returned to callers and operators.
package errs

import (
	"fmt"

	"mangostile/internal/base/clock"
)

// Code identifies the kind of a refusal. Its text is part of the API.
type Code string

// Codes of refusals.
const (
	CodeBadRequest       Code = "bad_request"
	CodeBodyTooLarge     Code = "body_too_large"
	CodeCallerNotAllowed Code = "caller_not_allowed"
	CodeCanceled         Code = "canceled"
	CodeConflict         Code = "conflict"
	CodeDeadline         Code = "deadline_exceeded"
	CodeDisabled         Code = "adapter_disabled"
	CodeInternal         Code = "internal"
	CodeKeyReused        Code = "idempotency_key_reused"
	CodeKeyRequired      Code = "idempotency_key_required"
	CodeKeyTooOld        Code = "idempotency_key_too_old"
	CodeLeaving          Code = "entry_vm_leaving"
	CodeLimited          Code = "limit_exceeded"
	CodeLoadFailed       Code = "adapter_load_failed"
	CodeLogUnavailable   Code = "log_unavailable"
	CodeNoCapacity       Code = "no_capacity"
	CodeNotReady         Code = "not_ready"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeOverloaded       Code = "overloaded"
	CodeQuarantined      Code = "request_quarantined"
	CodeServerFailed     Code = "backend_server_failed"
	CodeUnauthorized     Code = "unauthorized"
	CodeUnknownAdapter   Code = "unknown_adapter"
	CodeUnknownService   Code = "unknown_service"
	CodeUnknownVersion   Code = "unknown_version"
)

// Ran reports whether a refused request may have been executed.
type Ran string

// Values of Ran. RanNo is only used if no byte that could start the execution reached a
// backend server, or if the backend server reported that it did not execute the request.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
)

// Refusal is the error answer to a request.
type Refusal struct {
	Code    Code   `json:"code" msgpack:"c"`
	Message string `json:"message" msgpack:"m"` // names the remedy
	Ran     Ran    `json:"ran" msgpack:"r"`
	// RetryAfter is the time in ms after which a retry may succeed; 0 if waiting does not
	// help.
	RetryAfter clock.Millis `json:"retry_after_ms,omitempty" msgpack:"a,omitempty"`
}

// Refuse returns a refusal of a request that was not executed. The message is formatted as
// by fmt.Sprintf and must name the remedy.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Ran: RanNo}
}

// RefuseUnknown returns a refusal of a request that may have been executed.
func RefuseUnknown(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Ran: RanUnknown}
}

// WithRetryAfter sets the time after which a retry may succeed, and returns r.
func (r *Refusal) WithRetryAfter(wait clock.Millis) *Refusal {
	r.RetryAfter = wait
	return r
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.Code, r.Ran, r.Message)
}

// Status returns the HTTP status code of r.
func (r *Refusal) Status() int {
	switch r.Code {
	case CodeBadRequest, CodeKeyRequired, CodeKeyTooOld:
		return 400
	case CodeUnauthorized:
		return 401
	case CodeCallerNotAllowed, CodeDisabled:
		return 403
	case CodeUnknownAdapter, CodeUnknownVersion, CodeUnknownService:
		return 404
	case CodeConflict, CodeKeyReused, CodeOutcomeUnknown:
		return 409
	case CodeBodyTooLarge:
		return 413
	case CodeQuarantined:
		return 422
	case CodeLimited, CodeOverloaded:
		return 429
	case CodeCanceled:
		return 499
	case CodeInternal:
		return 500
	case CodeServerFailed, CodeLoadFailed:
		return 502
	case CodeDeadline:
		return 504
	default:
		return 503
	}
}
