// Package client calls the admin API of entry VMs.
package client

import (
	"context"
	"encoding/json"
	"net/url"
	"strings"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/node/admin"
	"mangostile/internal/oper/sheet"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Client calls the admin API of one entry VM. Create it with New.
type Client struct {
	// Address is the admin address as host and port, with the prefix https:// if it is
	// served with TLS.
	Address string
	// Token is the operator's bearer token; if it is empty, none is sent.
	Token string
	http  fasthttp.Client
}

// New returns a client that never retries a call.
func New(address, token string) *Client {
	return &Client{Address: address, Token: token, http: fasthttp.Client{
		Name:                      "mangostile",
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Timeouts of calls. The table, which may be large, has that of edits.
const (
	callTimeout = 10 * time.Second
	editTimeout = 60 * time.Second
)

// CallError reports a call that the entry VM answered with an error status.
type CallError struct {
	Address string
	// Status is the HTTP status.
	Status  int
	Message string
}

// Error implements error.
func (e *CallError) Error() string {
	return "entry VM at " + e.Address + ": " + e.Message
}

// Table returns the whole table.
func (c *Client) Table(ctx context.Context) (*sheet.Sheet, error) {
	var s sheet.Sheet
	return &s, c.call(ctx, fasthttp.MethodGet, "/admin/table", nil, &s, editTimeout)
}

// Edit sends an edit and waits for its outcome. After a CallError the edit changes nothing.
// After any other error its outcome is unknown, unless it is a dry run: it may be accepted,
// even after Edit returns. The history shows whether it was.
func (c *Client) Edit(ctx context.Context, edit *admin.EditRequest) (*admin.EditAnswer, error) {
	var answer admin.EditAnswer
	err := c.call(ctx, fasthttp.MethodPost, "/admin/edits", edit, &answer, editTimeout)
	var callErr *CallError
	if err != nil && !edit.DryRun && !errors.As(err, &callErr) {
		err = errors.Wrap(err, "the edit may come in force or not: look at the history before you send it again")
	}
	return &answer, err
}

// Members returns the entry VM's view of all entry VMs, with itself as the first.
func (c *Client) Members(ctx context.Context) (*admin.Members, error) {
	var answer admin.Members
	return &answer, c.call(ctx, fasthttp.MethodGet, "/admin/members", nil, &answer, callTimeout)
}

// Status returns the entry VM's status and its view of its failure domain.
func (c *Client) Status(ctx context.Context) (*admin.Status, error) {
	var status admin.Status
	return &status, c.call(ctx, fasthttp.MethodGet, "/admin/status", nil, &status, callTimeout)
}

// Explain returns the decisions that the entry VM made on a request.
func (c *Client) Explain(ctx context.Context, request units.RequestID) (*admin.Explanation, error) {
	var answer admin.Explanation
	path := "/admin/explain?request=" + url.QueryEscape(string(request))
	return &answer, c.call(ctx, fasthttp.MethodGet, path, nil, &answer, callTimeout)
}

// History returns the newest edits, oldest first.
func (c *Client) History(ctx context.Context) (*admin.History, error) {
	var history admin.History
	return &history, c.call(ctx, fasthttp.MethodGet, "/admin/history", nil, &history, callTimeout)
}

// LiftQuarantine ends the quarantine of the request with a fingerprint.
func (c *Client) LiftQuarantine(ctx context.Context, fingerprint string) error {
	var answer admin.LiftRequest
	return c.call(ctx, fasthttp.MethodPost, "/admin/quarantine/lift", admin.LiftRequest{Fingerprint: fingerprint}, &answer, callTimeout)
}

// NewEditRequest returns the edit for changes that are based on the revision readAt. It
// groups the cells by row, which keeps large edits small.
func NewEditRequest(changes []sheet.Change, readAt units.Offset, dryRun bool) *admin.EditRequest {
	edit := &admin.EditRequest{ReadAt: readAt, DryRun: dryRun}
	columns, rows := map[string]int{}, map[units.AdapterName]int{}
	for i := range changes {
		if _, known := columns[changes[i].Column]; !known {
			columns[changes[i].Column] = len(edit.Columns)
			edit.Columns = append(edit.Columns, changes[i].Column)
		}
	}
	for i := range changes {
		change := &changes[i]
		index, known := rows[change.Adapter]
		if !known {
			index = len(edit.Rows)
			rows[change.Adapter] = index
			row := make([]*string, len(edit.Columns)+1)
			adapter := string(change.Adapter)
			row[0] = &adapter
			edit.Rows = append(edit.Rows, row)
		}
		edit.Rows[index][columns[change.Column]+1] = &change.New
	}
	return edit
}

// call sends one request and decodes the answer, both as JSON. It never retries. An
// error status is returned as a CallError.
func (c *Client) call(ctx context.Context, method, path string, body, reply any, timeout time.Duration) error {
	if err := ctx.Err(); err != nil {
		return errors.Wrap(err, "call "+c.Address)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.url(path))
	if c.Token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.Token)
	}
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode call")
		}
		req.Header.SetContentType("application/json")
		req.SetBody(encoded)
	}
	deadline := time.Now().Add(timeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return errors.Wrapf(err, "entry VM at %s gave no answer: check --entry and that it runs", c.Address)
	}
	return c.read(resp, reply)
}

func (c *Client) url(path string) string {
	if strings.Contains(c.Address, "://") {
		return strings.TrimSuffix(c.Address, "/") + path
	}
	return "http://" + c.Address + path
}

func (c *Client) read(resp *fasthttp.Response, reply any) error {
	if resp.StatusCode() == fasthttp.StatusRequestEntityTooLarge {
		return &CallError{Address: c.Address, Status: resp.StatusCode(), Message: "the edit is too long: import the rows in several files"}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		var failure admin.ErrorResponse
		if json.Unmarshal(resp.Body(), &failure) != nil || failure.Message == "" {
			failure.Message = string(resp.Body())
		}
		return &CallError{Address: c.Address, Status: resp.StatusCode(), Message: failure.Message}
	}
	return errors.Wrap(json.Unmarshal(resp.Body(), reply), "read the answer of "+c.Address)
}
