package edge

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// FuzzReadRequest checks that any body and headers are accepted or refused as not
// executed, and that an accepted completion can be sent to an engine under another
// adapter.
func FuzzReadRequest(f *testing.F) {
	f.Add([]byte(`{"model":"braid@v1","prompt":"x","max_tokens":6}`), "r1", "1000", "-1")
	f.Add([]byte(`{"model":"braid","messages":[{"role":"user","content":"x"}],"stream":true}`), "", "", "")
	f.Add([]byte(`{"model":"@","prompt":null,"max_tokens":-1}`), "\x00", "0", "9")
	f.Add([]byte(`[]`), "r", "99999999999999999999", "1e9")
	f.Fuzz(func(t *testing.T, body []byte, id, deadline, priority string) {
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetMethod(fasthttp.MethodPost)
		ctx.Request.Header.Set(HeaderRequestID, id)
		ctx.Request.Header.Set(HeaderDeadline, deadline)
		ctx.Request.Header.Set(HeaderPriority, priority)
		ctx.Request.SetBody(body)
		e := New(Options{})
		x := newExchange(nil)
		x.method, x.path = fasthttp.MethodPost, "/v1/completions"
		refusal := readCompletion(&ctx, x)
		if refusal == nil {
			refusal = e.readHeaders(&ctx, x)
		}
		if refusal != nil {
			must.EqOp(t, errs.RanNo, refusal.Ran)
			must.NotEqOp(t, "", refusal.Message)
			return
		}
		must.NotEqOp(t, "", string(x.request.ID))
		must.True(t, x.request.Deadline <= e.options.Clock.Now()+clock.Hour)
		sent, err := withModel(x.body, testAdapter, x.request.Priority)
		must.NoError(t, err)
		var decoded struct {
			Model string `json:"model"`
		}
		must.NoError(t, json.Unmarshal(sent, &decoded))
		must.EqOp(t, testAdapter.String(), decoded.Model)
	})
}

// FuzzAnswerStream checks that any answer of an engine ends, and that only events of the
// requested adapter are forwarded.
func FuzzAnswerStream(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"r\",\"model\":\"braid@v1\"}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"id\":\"r\",\"model\":\"letter@v1\"}\n\n"))
	f.Add([]byte(": comment\n\nevent: x\r\ndata: [DONE]\r\n\r\n"))
	f.Add([]byte("\n\n\ndata:"))
	f.Fuzz(func(t *testing.T, body []byte) {
		s := newAnswerStream(newExchange(nil), event.Dispatch{Request: "r", Adapter: testAdapter}, io.NopCloser(bytes.NewReader(body)), nil)
		defer s.close()
		for range len(body) + 1 {
			end, err := s.next()
			if end || err != nil {
				must.True(t, err == nil || s.resultOf(err).Ran() == errs.RanUnknown)
				return
			}
			for _, data := range dataOf(s.buf) {
				var ev streamEvent
				must.NoError(t, json.Unmarshal(data, &ev))
				must.EqOp(t, units.ParseAdapterVersion(ev.Model), testAdapter)
			}
		}
		t.Fatal("the stream did not end")
	})
}

// dataOf returns the data of each line of an event that has some.
func dataOf(event []byte) [][]byte {
	var all [][]byte
	for line := range bytes.Lines(event) {
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			all = append(all, data)
		}
	}
	return all
}
