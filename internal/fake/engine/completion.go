package engine

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"mangostile/internal/base/units"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// completionRequest has the fields of a completion's body that the engine uses.
type completionRequest struct {
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int            `json:"max_tokens"`
	Priority  units.Priority `json:"priority"`
	Stream    bool           `json:"stream"`
}

const defaultMaxTokens = 16

func (c *completionRequest) work(id units.RequestID) Work {
	work := Work{ID: id, Adapter: units.ParseAdapterVersion(c.Model), Prompt: c.Prompt, MaxTokens: c.MaxTokens, Priority: c.Priority}
	for _, message := range c.Messages {
		work.Prompt += " " + message.Content
	}
	if work.MaxTokens == 0 {
		work.MaxTokens = defaultMaxTokens
	}
	return work
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

func newAnswer(work Work, object string, choice completionChoice) completionAnswer {
	return completionAnswer{
		ID: string(work.ID), Object: object, Created: time.Now().Unix(), Model: work.Adapter.String(),
		Choices: []completionChoice{choice},
	}
}

func wholeAnswer(work Work, chat bool, tokens []string) completionAnswer {
	text := strings.Join(tokens, "")
	if chat {
		message := &completionMessage{Role: "assistant", Content: text}
		return newAnswer(work, "chat.completion", completionChoice{Message: message, FinishReason: "stop"})
	}
	return newAnswer(work, "text_completion", completionChoice{Text: text, FinishReason: "stop"})
}

func answerChunk(work Work, chat bool, token, finish string) completionAnswer {
	if chat {
		return newAnswer(work, "chat.completion.chunk", completionChoice{Delta: &completionMessage{Content: token}, FinishReason: finish})
	}
	return newAnswer(work, "text_completion", completionChoice{Text: token, FinishReason: finish})
}

// errBroken ends a stream whose connection is to break.
var errBroken = errors.New("the connection breaks")

// streamAnswer streams the tokens of r, starting with number from. The caller has called
// r.follow(1); streamAnswer unfollows r when the stream ends.
func (e *Engine) streamAnswer(ctx *fasthttp.RequestCtx, r *run, chat bool, from int) {
	breakAfter := e.activeFaults().BreakAfterTokens
	ctx.SetContentType("text/event-stream")
	streamBody(ctx, func(w *bufio.Writer) error {
		defer e.unfollow(r)
		for i := from; ; i++ {
			token, ok, err := r.token(i)
			if err != nil {
				return err
			}
			if breakAfter > 0 && i-from >= breakAfter {
				return errBroken
			}
			if !ok {
				break
			}
			if err := writeChunk(w, answerChunk(r.work, chat, token, "")); err != nil {
				return err
			}
		}
		if err := writeChunk(w, answerChunk(r.work, chat, "", "stop")); err != nil {
			return err
		}
		_, err := w.WriteString("data: [DONE]\n\n")
		return err
	})
}

// streamBody sends what write writes as the body of the answer. If write fails, the
// connection is closed without the end of the body, but only after all that was flushed
// before has been sent: the pipe has no buffer, so its reader asks for more, and finds the
// error, only then.
func streamBody(ctx *fasthttp.RequestCtx, write func(w *bufio.Writer) error) {
	body, in := io.Pipe()
	ctx.SetBodyStream(body, -1)
	go func() {
		w := bufio.NewWriter(in)
		err := write(w)
		if err == nil {
			err = w.Flush()
		}
		_ = in.CloseWithError(err)
	}()
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
