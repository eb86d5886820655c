package engine

import (
	"bufio"
	"encoding/json"
	"strings"
	"time"

	"mangostile/internal/base/units"

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

// streamAnswer streams the tokens of r, starting with number from. The caller has called
// r.follow(1); streamAnswer unfollows r when the stream ends.
func (e *Engine) streamAnswer(ctx *fasthttp.RequestCtx, r *run, chat bool, from int) {
	breakAfter := e.activeFaults().BreakAfterTokens
	conn := ctx.Conn()
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.unfollow(r)
		for i := from; ; i++ {
			token, ok, err := r.token(i)
			if err != nil || breakAfter > 0 && i-from >= breakAfter {
				_ = conn.Close()
				return
			}
			if !ok {
				break
			}
			if writeChunk(w, answerChunk(r.work, chat, token, "")) != nil {
				return
			}
		}
		_ = writeChunk(w, answerChunk(r.work, chat, "", "stop"))
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
