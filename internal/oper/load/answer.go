package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/fake/engine"

	"github.com/pkg/errors"
)

// WrongAnswerError reports an answer that doesn't match its request.
type WrongAnswerError struct {
	Got  string
	Want string
}

// Error implements error.
func (e *WrongAnswerError) Error() string { return "got " + e.Got + ", want " + e.Want }

// RefusedError is an answer that refuses the request.
type RefusedError struct{ errs.Refusal }

// errCut reports an attempt without a complete answer: after the dial the connection failed,
// or the answer ended early or didn't come in time.
var errCut = errors.New("the answer broke off")

type refusalBody struct {
	Error *errs.Refusal `json:"error"`
}

// readRefusal returns the refusal in an error answer's body as a *RefusedError, or a
// *WrongAnswerError if the body has none. status is 0 for an error inside a stream.
func readRefusal(status int, body []byte) error {
	var refusal refusalBody
	if json.Unmarshal(body, &refusal) != nil || refusal.Error == nil || refusal.Error.Code == "" || refusal.Error.Ran == "" {
		return &WrongAnswerError{Got: string(body), Want: "a refusal with code, message and ran, for status " + strconv.Itoa(status)}
	}
	return &RefusedError{*refusal.Error}
}

// completion holds the checked fields of a completion or of a chunk of one.
type completion struct {
	Model   string `json:"model"`
	Choices []struct {
		Text    string `json:"text"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (c *completion) text() string {
	var text strings.Builder
	for i := range c.Choices {
		text.WriteString(c.Choices[i].Text + c.Choices[i].Message.Content + c.Choices[i].Delta.Content)
	}
	return text.String()
}

// checkText checks that model is what call requests and text is that model's complete
// answer.
func checkText(call *Call, model, text string) error {
	ran := units.ParseAdapterVersion(model)
	if ran.Adapter != call.Adapter.Adapter || call.Adapter.Version != "" && ran.Version != call.Adapter.Version {
		return &WrongAnswerError{Got: "model " + model, Want: "model " + call.Adapter.String()}
	}
	want := strings.Join(engine.Answer(engine.Work{Adapter: ran, Prompt: call.Prompt, MaxTokens: call.Tokens}), "")
	if text != want {
		return &WrongAnswerError{Got: text, Want: want}
	}
	return nil
}

func checkCompletion(call *Call, body []byte) error {
	var answer completion
	if err := json.Unmarshal(body, &answer); err != nil {
		return &WrongAnswerError{Got: string(body), Want: "a completion"}
	}
	return checkText(call, answer.Model, answer.text())
}

// checkService checks that body repeats call's path, key and body. The answer to an action
// must be that of the first execution of its key.
func checkService(call *Call, body []byte) error {
	var answer struct {
		Done string `json:"done"`
		Key  string `json:"key"`
		Run  string `json:"run"`
		Echo string `json:"echo"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return &WrongAnswerError{Got: string(body), Want: "the service's answer"}
	}
	if answer.Done != call.Path || answer.Key != call.Key || answer.Echo != call.Body {
		return &WrongAnswerError{Got: string(body), Want: call.Path + " with key " + call.Key + " and body " + call.Body}
	}
	if call.Kind == KindAction && answer.Run != "1" {
		return &WrongAnswerError{Got: string(body), Want: "the answer of the first run"}
	}
	return nil
}

// Parts of the lines of a streamed answer.
var (
	dataPrefix  = []byte("data: ")
	eventPrefix = []byte("event: ")
	endMark     = []byte("[DONE]")
)

// readStream reads a streamed answer to its end and checks it. It calls token with the
// arrival time of each chunk that contains text. It returns errCut if r ends before the end
// mark, a *RefusedError for an error event and a *WrongAnswerError for a wrong answer.
func readStream(call *Call, r io.Reader, token func(time.Time)) error {
	lines := bufio.NewReader(r)
	var text strings.Builder
	var model, event string
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return errCut
		}
		line = bytes.TrimRight(line, "\r\n")
		if name, ok := bytes.CutPrefix(line, eventPrefix); ok {
			event = string(name)
			continue
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		switch {
		case !ok:
			continue
		case event == "error":
			return readRefusal(0, data)
		case bytes.Equal(data, endMark):
			return checkText(call, model, text.String())
		}
		var chunk completion
		if err := json.Unmarshal(data, &chunk); err != nil {
			return &WrongAnswerError{Got: string(data), Want: "a chunk of a completion"}
		}
		if model != "" && chunk.Model != model {
			return &WrongAnswerError{Got: "a chunk of " + chunk.Model, Want: "one of " + model}
		}
		model = chunk.Model
		if part := chunk.text(); part != "" {
			text.WriteString(part)
			token(time.Now())
		}
	}
}
