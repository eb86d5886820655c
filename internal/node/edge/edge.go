package edge

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"mangostile/internal/base/quota"
	"mangostile/internal/node/render"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/token"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/node/conns"
	"mangostile/internal/node/meter"
	"mangostile/internal/plat/call"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Headers of requests and answers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderDeadline  = "X-Deadline-Ms"
	HeaderPriority  = "X-Priority"
	// HeaderForwardedBy names the entry VM that forwarded the request. Such a
	// request is not forwarded again.
	HeaderForwardedBy   = "X-Forwarded-By-Entry-Vm"
	HeaderAdapter       = "X-Adapter"
	HeaderBackendServer = "X-Backend-Server"
	HeaderEntryVM       = "X-Entry-Vm"
	HeaderKey           = "Idempotency-Key"
)

// Options configure an Edge.
type Options struct {
	EntryVM units.EntryVMID
	// Callers holds the tokens and names of the callers. If it is empty, no token is
	// required and every caller is AnonymousCaller.
	Callers token.Set
	// NotRepeatable lists the calls of each service that are not idempotent, as a
	// method and a path prefix separated by a blank.
	NotRepeatable map[units.ServiceName][]string
	Clock         clock.Clock
	// Logger receives events that the core does not log; nil discards them.
	Logger hclog.Logger
	// Meter collects metrics; nil collects none.
	Meter *meter.Meter
	// WriteTimeout is the time for a caller to read a part of a stream; 0 means
	// DefaultWriteTimeout.
	WriteTimeout time.Duration
	// Memory bounds the memory of answers and events, on account of the backend servers that send
	// them; nil means no bound.
	Memory *quota.Pool
	// Submit hands an event to the core. It reports false if the core's queue is full.
	Submit func(event.Event) bool
	// Ready reports whether the entry VM accepts requests.
	Ready func() bool
	// Models lists the adapters that a caller may use.
	Models func(units.Caller) []units.AdapterVersion
}

// AnonymousCaller is the name of every caller if the settings list no callers.
const AnonymousCaller units.Caller = "anonymous"

// Default limits on callers.
const (
	// DefaultMaxBodyBytes is the maximum length of a request's body.
	DefaultMaxBodyBytes units.Bytes = 8 << 20
	// DefaultMaxHeaderBytes is the maximum length of a request's headers.
	DefaultMaxHeaderBytes units.Bytes = 16 << 10
	// DefaultReadTimeout is the time for a whole request to arrive.
	DefaultReadTimeout = 30 * time.Second
	// DefaultWriteTimeout is the time for a caller to read a part of its answer.
	DefaultWriteTimeout = 10 * time.Second
)

// Edge serves callers' requests. Create it with New.
type Edge struct {
	options   Options
	exchanges exchanges
	backend   backendClients
	// closed is closed by Close.
	closed    chan struct{}
	closeOnce sync.Once
}

// New returns an Edge. Its HTTP clients never retry a call on their own.
func New(options Options) *Edge {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	if options.WriteTimeout == 0 {
		options.WriteTimeout = DefaultWriteTimeout
	}
	return &Edge{options: options, backend: backendClients{pool: conns.Pool{Clock: options.Clock, Memory: options.Memory}}, closed: make(chan struct{})}
}

// Close refuses all requests that are waiting for the core.
func (e *Edge) Close() { e.closeOnce.Do(func() { close(e.closed) }) }

// OpenRequests returns the number of requests that have not ended.
func (e *Edge) OpenRequests() int { return e.exchanges.count() }

// Do executes an effect on one request: Dispatch, Refuse, Replay or CancelDispatch. It
// never blocks. It drops the effect if the request has ended or has maxCommands effects
// queued.
func (e *Edge) Do(id units.RequestID, effect event.Effect) {
	x := e.exchanges.find(id)
	if x == nil {
		return
	}
	if _, ok := effect.(event.CancelDispatch); ok {
		x.cancel()
		return
	}
	select {
	case x.commands <- effect:
	default:
	}
}

// Handle serves one request of a caller. While the entry VM is not ready, it marks the
// connection to be closed, so that no request arrives on it once the entry VM leaves.
func (e *Edge) Handle(ctx *fasthttp.RequestCtx) {
	defer func() {
		if !e.options.Ready() {
			ctx.SetConnectionClose()
		}
	}()
	ctx.Response.Header.Set(HeaderEntryVM, string(e.options.EntryVM))
	path := string(ctx.Path())
	switch {
	case path == "/healthz":
		ctx.SetBodyString("ok\n")
	case path == "/readyz":
		e.handleReady(ctx)
	default:
		e.handleCaller(ctx, path)
		e.options.Meter.Answered(ctx.Response.StatusCode())
	}
}

func (e *Edge) handleReady(ctx *fasthttp.RequestCtx) {
	if !e.options.Ready() {
		ctx.Error("not ready\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

func (e *Edge) handleCaller(ctx *fasthttp.RequestCtx, path string) {
	caller, refusal := e.caller(ctx)
	if refusal != nil {
		e.writeRefusal(ctx, "", refusal)
		return
	}
	x := newExchange(ctx.Conn())
	x.request.Caller = caller
	x.method = string(ctx.Method())
	switch {
	case path == "/v1/models":
		e.handleModels(ctx, caller)
		return
	case path == "/v1/completions" || path == "/v1/chat/completions":
		x.path = path
		refusal = readCompletion(ctx, x)
	case strings.HasPrefix(path, "/services/"):
		refusal = e.readServiceCall(ctx, x, path)
	default:
		refusal = errs.Refuse(errs.CodeBadRequest, "path %s is not served: use /v1/completions, /v1/chat/completions, /v1/models or /services/NAME/", path)
	}
	if refusal == nil {
		refusal = e.readHeaders(ctx, x)
	}
	if refusal != nil {
		e.writeRefusal(ctx, x.request.ID, refusal)
		return
	}
	e.run(ctx, x)
}

func (e *Edge) caller(ctx *fasthttp.RequestCtx) (units.Caller, *errs.Refusal) {
	if e.options.Callers.Len() == 0 {
		return AnonymousCaller, nil
	}
	name, ok := e.options.Callers.Find(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if !ok {
		return "", errs.Refuse(errs.CodeUnauthorized, "send Authorization: Bearer with a token of the settings' callers")
	}
	return units.Caller(name), nil
}

func (e *Edge) readHeaders(ctx *fasthttp.RequestCtx, x *exchange) *errs.Refusal {
	header := &ctx.Request.Header
	x.request.Forwarded = len(header.Peek(HeaderForwardedBy)) > 0
	maxLength := maxCallerRequestID
	if x.request.Forwarded {
		maxLength = maxForwardedRequestID
	}
	id, refusal := uniqueRequestID(string(header.Peek(HeaderRequestID)), maxLength)
	if refusal != nil {
		return refusal
	}
	x.request.ID = id
	x.authorization = string(header.Peek(fasthttp.HeaderAuthorization))
	if text := string(header.Peek(HeaderDeadline)); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 1 || n > int64(clock.Hour) {
			return errs.Refuse(errs.CodeBadRequest, "%s must be milliseconds from 1 to %d", HeaderDeadline, clock.Hour)
		}
		// The request may have waited to be read.
		x.request.Deadline = e.options.Clock.Now() - call.Waited(rawConn(x.conn)) + clock.Millis(n)
	}
	if text := string(header.Peek(HeaderPriority)); text != "" {
		n, err := strconv.ParseInt(text, 10, 8)
		if err != nil || n < -10 || n > 0 {
			return errs.Refuse(errs.CodeBadRequest, "%s must be a whole number from -10 to 0", HeaderPriority)
		}
		x.request.Priority = units.Priority(n)
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(x.method + "\x00" + x.path + "\x00")
	_, _ = digest.Write(x.body)
	x.request.Digest = units.Fingerprint(digest.Sum64())
	return nil
}

// Maximum lengths of request ids that a caller chooses, and of those that another entry
// VM has appended to.
const (
	maxCallerRequestID    = 128
	maxForwardedRequestID = 256
)

// uniqueRequestID returns a globally unique request id. It begins with the caller's own
// id if there is one; that alone is not unique, since callers may reuse it.
func uniqueRequestID(given string, maxLength int) (units.RequestID, *errs.Refusal) {
	unique := uuid.NewString()
	if given == "" {
		return units.RequestID(unique), nil
	}
	if len(given) > maxLength || strings.ContainsFunc(given, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return "", errs.Refuse(errs.CodeBadRequest, "%s must be at most %d printable characters without blanks", HeaderRequestID, maxLength)
	}
	return units.RequestID(given + "." + unique), nil
}

// completionBody is the part of a completion's body that the edge reads.
type completionBody struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens units.Tokens    `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// prefixBytes is the length of the prompt prefix that identifies requests which can
// share a prefix cache.
const prefixBytes = 256

// bytesPerToken is used to estimate the number of tokens of a prompt.
const bytesPerToken = 4

func readCompletion(ctx *fasthttp.RequestCtx, x *exchange) *errs.Refusal {
	if !ctx.IsPost() {
		return errs.Refuse(errs.CodeBadRequest, "use POST")
	}
	var body completionBody
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		return errs.Refuse(errs.CodeBadRequest, "the body is not a JSON object of the completions API: %v", err)
	}
	if body.Model == "" {
		return errs.Refuse(errs.CodeBadRequest, "name an adapter in model, as adapter or adapter@version")
	}
	prompt := []byte(body.Prompt)
	if len(prompt) == 0 {
		prompt = body.Messages
	}
	x.body = ctx.PostBody()
	x.request.Adapter = units.ParseAdapterVersion(body.Model)
	x.request.Idempotent = true
	x.request.Streamed = body.Stream
	x.request.MaxTokens = body.MaxTokens
	x.request.PromptTokens = units.Tokens(len(prompt) / bytesPerToken)
	x.request.Prefix = units.Fingerprint(xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)]))
	return nil
}

func (e *Edge) readServiceCall(ctx *fasthttp.RequestCtx, x *exchange, path string) *errs.Refusal {
	name, rest, _ := strings.Cut(strings.TrimPrefix(path, "/services/"), "/")
	x.request.Service = units.ServiceName(name)
	x.path = "/" + rest
	x.contentType = string(ctx.Request.Header.ContentType())
	x.body = ctx.PostBody()
	x.request.Key = string(ctx.Request.Header.Peek(HeaderKey))
	x.request.Idempotent = true
	for _, call := range e.options.NotRepeatable[x.request.Service] {
		method, prefix, _ := strings.Cut(call, " ")
		if method == x.method && strings.HasPrefix(x.path, prefix) {
			x.request.Idempotent = false
		}
	}
	if query := string(ctx.QueryArgs().QueryString()); query != "" {
		x.path += "?" + query
	}
	return nil
}

func (e *Edge) handleModels(ctx *fasthttp.RequestCtx, caller units.Caller) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	answer := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, av := range e.options.Models(caller) {
		answer.Data = append(answer.Data, model{ID: av.String(), Object: "model"})
	}
	render.JSON(ctx, fasthttp.StatusOK, answer)
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Error     *errs.Refusal   `json:"error"`
	RequestID units.RequestID `json:"request_id,omitempty"`
}

func (e *Edge) writeRefusal(ctx *fasthttp.RequestCtx, id units.RequestID, refusal *errs.Refusal) {
	e.options.Meter.Refused(refusal)
	render.JSON(ctx, refusal.Status(), refusalBody{Error: refusal, RequestID: id})
	if id != "" {
		ctx.Response.Header.Set(HeaderRequestID, string(id))
	}
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + clock.Second - 1) / clock.Second
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
}

// Refuse answers a request whose body was not read whole.
func (e *Edge) Refuse(ctx *fasthttp.RequestCtx, refusal *errs.Refusal) {
	e.writeRefusal(ctx, "", refusal)
}

// HandleError answers a request that could not be read.
func (e *Edge) HandleError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	refusal := errs.Refuse(errs.CodeBadRequest, "the request is not HTTP: %v", err)
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		refusal = errs.Refuse(errs.CodeBodyTooLarge, "the body is too long: send a shorter one")
	case errors.As(err, &small):
		refusal = errs.Refuse(errs.CodeBodyTooLarge, "the headers are too long: send shorter ones")
	case errors.As(err, &timeout) && timeout.Timeout():
		refusal = errs.Refuse(errs.CodeBadRequest, "the request did not arrive in time: send it faster")
	}
	e.writeRefusal(ctx, "", refusal)
}
