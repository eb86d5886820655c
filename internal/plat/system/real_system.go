package system

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/plat/call"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// RealSystem is the System that calls the platform and backend servers over HTTP.
type RealSystem struct {
	// LogAddress is the host:port of the log service.
	LogAddress string
	// VMListAddress is the host:port of the list of VMs. If it is "", the list is empty.
	VMListAddress string
	client        fasthttp.Client

	mu sync.Mutex
	// listTag is the ETag of the last list of VMs that ListVMs returned.
	listTag string
}

var _ System = (*RealSystem)(nil)

// DialTimeout is the maximum time, in ms, between the call of a method and the first byte
// that it sends.
const DialTimeout = clock.Millis(call.DialTimeout / time.Millisecond)

// maxConnsPerAddress bounds the connections to one address.
const maxConnsPerAddress = 256

// Timeouts of calls. That of a read of the log is appendTimeout and the time that the read
// waits for records.
const (
	appendTimeout = 3 * clock.Second
	orderTimeout  = 60 * clock.Second
	reportTimeout = clock.Second
	listTimeout   = 2 * clock.Second
)

// NewRealSystem returns a RealSystem. Its HTTP client never retries a call.
func NewRealSystem(logAddress, vmListAddress string) *RealSystem {
	return &RealSystem{
		LogAddress: logAddress, VMListAddress: vmListAddress,
		client: call.NewClient(maxConnsPerAddress),
	}
}

// AppendRecords implements System.
func (s *RealSystem) AppendRecords(ctx context.Context, stream units.StreamName, records []NewRecord) (units.Offset, error) {
	request := struct {
		Records []NewRecord `json:"records"`
	}{records}
	var reply struct {
		First units.Offset `json:"first_offset"`
	}
	err := s.call(ctx, fasthttp.MethodPost, s.LogAddress, "/v1/streams/"+string(stream)+"/records", request, &reply, appendTimeout)
	return reply.First, err
}

// ReadRecords implements System.
func (s *RealSystem) ReadRecords(ctx context.Context, stream units.StreamName, from units.Offset, wait clock.Millis) (RecordBatch, error) {
	path := "/v1/streams/" + string(stream) + "/records?from=" + strconv.FormatInt(int64(from), 10) + "&wait_ms=" + strconv.FormatInt(int64(wait), 10)
	var batch RecordBatch
	err := s.call(ctx, fasthttp.MethodGet, s.LogAddress, path, nil, &batch, wait+appendTimeout)
	return batch, err
}

// ListVMs implements System.
func (s *RealSystem) ListVMs(ctx context.Context) ([]event.VM, error) {
	if s.VMListAddress == "" {
		return nil, nil
	}
	s.mu.Lock()
	tag := s.listTag
	s.mu.Unlock()
	req, resp := new(fasthttp.Request), new(fasthttp.Response)
	req.SetRequestURI("http://" + s.VMListAddress + "/v1/vms")
	if tag != "" {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, tag)
	}
	const what = "GET /v1/vms"
	if err := s.do(ctx, req, resp, what, listTimeout); err != nil {
		return nil, err
	}
	if resp.StatusCode() == fasthttp.StatusNotModified {
		return nil, nil
	}
	var reply struct {
		VMs []event.VM `json:"vms"`
	}
	if err := decodeReply(resp, what, &reply); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listTag = string(resp.Header.Peek(fasthttp.HeaderETag))
	return reply.VMs, nil
}

// OrderServer implements System.
func (s *RealSystem) OrderServer(ctx context.Context, address string, order event.Order) event.OrderResult {
	var reply struct {
		Fence units.Fence `json:"fence"`
	}
	err := s.call(ctx, fasthttp.MethodPost, address, "/v1/orders", order, &reply, orderTimeout)
	if err == nil {
		return event.OrderResult{Kind: event.OrderAccepted, Fence: reply.Fence}
	}
	var noEffect *NoEffectError
	if errors.As(err, &noEffect) {
		return event.OrderResult{Kind: event.OrderNotSent, Reason: err.Error()}
	}
	var status *StatusError
	if !errors.As(err, &status) {
		return event.OrderResult{Kind: event.OrderLost, Reason: err.Error()}
	}
	result := event.OrderResult{Kind: event.OrderRefused, Reason: status.Text}
	if status.Status == fasthttp.StatusConflict {
		result.Kind = event.OrderFenced
		if json.Unmarshal([]byte(status.Text), &reply) == nil {
			result.Fence = reply.Fence
		}
	}
	if status.code() == codeNoSlot {
		result.Kind = event.OrderNoSlot
	}
	return result
}

// codeNoSlot is the code with which an engine refuses a load if all its slots are taken.
const codeNoSlot = "no_slot"

// ReportServer implements System.
func (s *RealSystem) ReportServer(ctx context.Context, address string) (event.ServerReport, error) {
	var report event.ServerReport
	err := s.call(ctx, fasthttp.MethodGet, address, "/v1/report", nil, &report, reportTimeout)
	return report, err
}

// StatusError reports an HTTP response with a status other than 200.
type StatusError struct {
	Status int
	Text   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Text)
}

// code returns the error code in the body, empty if it has none.
func (e *StatusError) code() string {
	var body struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(e.Text), &body) != nil {
		return ""
	}
	return body.Error.Code
}

// call performs one HTTP exchange with JSON bodies, without retries. If ctx is done first,
// call returns and the exchange continues in the background until its deadline.
func (s *RealSystem) call(ctx context.Context, method, address, path string, body, reply any, timeout clock.Millis) error {
	req, resp := new(fasthttp.Request), new(fasthttp.Response)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode call")
		}
		req.Header.SetContentType("application/json")
		req.SetBody(encoded)
	}
	what := method + " " + path
	if err := s.do(ctx, req, resp, what, timeout); err != nil {
		return err
	}
	return decodeReply(resp, what, reply)
}

// do performs one HTTP exchange, bounded by timeout and ctx. It succeeds for any status of
// the response. If ctx is done first, req and resp are still in use when do returns.
func (s *RealSystem) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, what string, timeout clock.Millis) error {
	deadline := time.Now().Add(timeout.Duration())
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	done := make(chan error, 1)
	go func() { done <- s.client.DoDeadline(req, resp, deadline) }()
	select {
	case err := <-done:
		if err != nil {
			return wrapCallError(what, err)
		}
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), what)
	}
}

// decodeReply decodes the body of a response with status 200. It returns a NoEffectError
// for status 503 and a StatusError for any other one.
func decodeReply(resp *fasthttp.Response, what string, reply any) error {
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable {
		return &NoEffectError{Op: what, Err: &StatusError{Status: resp.StatusCode(), Text: string(resp.Body())}}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return &StatusError{Status: resp.StatusCode(), Text: string(resp.Body())}
	}
	return errors.Wrapf(json.Unmarshal(resp.Body(), reply), "decode answer to %s", what)
}

// wrapCallError returns a NoEffectError for calls that were certainly not sent.
func wrapCallError(what string, err error) error {
	if call.NotSent(err) {
		return &NoEffectError{Op: what, Err: err}
	}
	return errors.Wrap(err, what)
}
