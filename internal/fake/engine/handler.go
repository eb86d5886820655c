package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/fake/reply"

	"github.com/valyala/fasthttp"
)

// completionRequest is the part of a completion's body that the engine reads.
type completionRequest struct {
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
}

const (
	defaultMaxTokens = 16
	loadTimeout      = 60 * clock.Second
)

// Handle answers the engine's HTTP protocol.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/completions", "/v1/chat/completions":
		e.handleCompletion(ctx)
	case "/v1/orders":
		e.handleOrder(ctx)
	case "/v1/report":
		reply.JSON(ctx, fasthttp.StatusOK, e.Report())
	case "/counters":
		reply.JSON(ctx, fasthttp.StatusOK, e.Counters())
	case "/fault":
		e.handleFault(ctx)
	default:
		reply.Refuse(ctx, fasthttp.StatusNotFound, "not_found", "no such path")
	}
}

// Faults are the failures that a POST to /fault brings about.
type Faults struct {
	// Crash breaks off all requests and starts the engine cold.
	Crash bool `json:"crash"`
	// Leaving makes the engine refuse new requests.
	Leaving bool `json:"leaving"`
}

func (e *Engine) handleFault(ctx *fasthttp.RequestCtx) {
	var faults Faults
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		reply.Refuse(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if faults.Crash {
		e.Crash()
	}
	e.SetLeaving(faults.Leaving)
	reply.JSON(ctx, fasthttp.StatusOK, faults)
}

func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var order event.Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		reply.Refuse(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return
	}
	limit, cancel := context.WithTimeout(context.Background(), loadTimeout.Duration())
	defer cancel()
	err := e.Order(limit, order)
	fence := struct {
		Fence units.Fence `json:"fence"`
	}{e.Report().Fence}
	var refused *RefusedError
	switch {
	case err == nil:
		reply.JSON(ctx, fasthttp.StatusOK, fence)
	case errors.As(err, &refused) && refused.Code == CodeFenced:
		reply.JSON(ctx, fasthttp.StatusConflict, fence)
	default:
		reply.Refuse(ctx, fasthttp.StatusBadRequest, "refused", err.Error())
	}
}

func (e *Engine) handleCompletion(ctx *fasthttp.RequestCtx) {
	var request completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		reply.Refuse(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return
	}
	work := Work{
		ID: units.RequestID(ctx.Request.Header.Peek("X-Request-Id")), Adapter: units.ParseAdapterVersion(request.Model),
		Prompt: request.Prompt, MaxTokens: request.MaxTokens,
	}
	for _, message := range request.Messages {
		work.Prompt += " " + message.Content
	}
	if work.MaxTokens == 0 {
		work.MaxTokens = defaultMaxTokens
	}
	chat := string(ctx.Path()) == "/v1/chat/completions"
	if request.Stream {
		e.streamCompletion(ctx, work, chat)
		return
	}
	e.wholeCompletion(ctx, work, chat)
}

func (e *Engine) wholeCompletion(ctx *fasthttp.RequestCtx, work Work, chat bool) {
	var text strings.Builder
	err := e.Generate(context.Background(), work, func(token string) error {
		text.WriteString(token)
		return nil
	})
	if err != nil {
		e.refuse(ctx, err)
		return
	}
	reply.JSON(ctx, fasthttp.StatusOK, completion(work, chat, text.String(), "stop"))
}

// refuse answers work that failed. Work that had begun breaks the connection, as
// an engine that died would.
func (e *Engine) refuse(ctx *fasthttp.RequestCtx, err error) {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		_ = ctx.Conn().Close()
		return
	}
	status := fasthttp.StatusServiceUnavailable
	if refused.Code == CodeAdapterMissing {
		status = fasthttp.StatusNotFound
	}
	reply.Refuse(ctx, status, refused.Code, refused.Message)
}

func (e *Engine) streamCompletion(ctx *fasthttp.RequestCtx, work Work, chat bool) {
	tokens := make(chan string)
	result := make(chan error, 1)
	gone, cancel := context.WithCancel(context.Background())
	go func() {
		result <- e.Generate(gone, work, func(token string) error {
			select {
			case tokens <- token:
				return nil
			case <-gone.Done():
				return gone.Err()
			}
		})
		close(tokens)
	}()
	first, ok := <-tokens
	if !ok {
		cancel()
		e.refuse(ctx, <-result)
		return
	}
	conn := ctx.Conn()
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		for token := first; ok; token, ok = <-tokens {
			if writeChunk(w, completion(work, chat, token, "")) != nil {
				return
			}
		}
		if <-result != nil {
			_ = conn.Close()
			return
		}
		_ = writeChunk(w, completion(work, chat, "", "stop"))
		_, _ = w.WriteString("data: [DONE]\n\n")
		_ = w.Flush()
	})
}

func writeChunk(w *bufio.Writer, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(body)
	_, _ = w.WriteString("\n\n")
	return w.Flush()
}

type completionAnswer struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Text         string             `json:"text,omitempty"`
	Message      *completionMessage `json:"message,omitempty"`
	Delta        *completionMessage `json:"delta,omitempty"`
	FinishReason string             `json:"finish_reason,omitempty"`
}

type completionMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// completion returns a whole answer if finish is "stop" and text is not empty,
// and a part of a stream otherwise.
func completion(work Work, chat bool, text, finish string) completionAnswer {
	answer := completionAnswer{
		ID: string(work.ID), Object: "text_completion", Created: time.Now().Unix(), Model: work.Adapter.String(),
	}
	choice := completionChoice{Text: text, FinishReason: finish}
	if chat {
		answer.Object = "chat.completion"
		choice.Text = ""
		if finish != "" && text != "" {
			choice.Message = &completionMessage{Role: "assistant", Content: text}
		} else {
			answer.Object = "chat.completion.chunk"
			choice.Delta = &completionMessage{Content: text}
		}
	}
	answer.Choices = []completionChoice{choice}
	return answer
}
