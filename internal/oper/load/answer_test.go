package load

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

func chunk(model, text string) string {
	return fmt.Sprintf("data: {\"model\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", model, text)
}

func TestReadStream(t *testing.T) {
	call := &Call{Kind: KindChat, Adapter: units.AdapterVersion{Adapter: "braid"}, Prompt: "seven strands", Tokens: 3}
	const end = "data: [DONE]\n\n"
	tests := []struct {
		name   string
		stream string
		want   string
	}{
		{"whole", chunk("braid@v1", "[braid@v1]") + chunk("braid@v1", " seven") + chunk("braid@v1", " <end>") + end, ""},
		{"whole in one chunk", chunk("braid@v1", "[braid@v1] seven <end>") + end, ""},
		{"no end mark", chunk("braid@v1", "[braid@v1] seven <end>"), "broke off"},
		{"token missing", chunk("braid@v1", "[braid@v1] <end>") + end, "want [braid@v1] seven <end>"},
		{"token twice", chunk("braid@v1", "[braid@v1] seven seven <end>") + end, "want [braid@v1] seven <end>"},
		{"of another request", chunk("braid@v1", "[braid@v1] eight <end>") + end, "want [braid@v1] seven <end>"},
		{"other adapter", chunk("letter@v1", "[letter@v1] seven <end>") + end, "want model braid"},
		{"other version halfway", chunk("braid@v1", "[braid@v1]") + chunk("braid@v2", " seven <end>") + end, "want one of braid@v1"},
		{"ran elsewhere", chunk("braid@v1", "[letter@v1] seven <end>") + end, "want [braid@v1]"},
		{"no JSON", "data: {\n\n" + end, "a chunk of a completion"},
		{"refused", "event: error\ndata: {\"error\":{\"code\":\"no_capacity\",\"message\":\"m\",\"ran\":\"unknown\"}}\n\n", "no_capacity (ran: unknown)"},
		{"refused without ran", "event: error\ndata: {\"error\":{\"code\":\"no_capacity\"}}\n\n", "want a refusal with code"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := readStream(call, strings.NewReader(tt.stream), func(time.Time) {})
			if tt.want == "" {
				must.NoError(t, err)
				return
			}
			must.ErrorContains(t, err, tt.want)
		})
	}
}

func TestCheckService(t *testing.T) {
	call := &Call{Kind: KindAction, Path: "/release", Key: "k", Body: "b"}
	tests := []struct {
		name string
		body string
		ok   bool
	}{
		{"own", `{"done":"/release","key":"k","run":"1","echo":"b"}`, true},
		{"second run", `{"done":"/release","key":"k","run":"2","echo":"b"}`, false},
		{"other key", `{"done":"/release","key":"j","run":"1","echo":"b"}`, false},
		{"other body", `{"done":"/release","key":"k","run":"1","echo":"c"}`, false},
		{"other path", `{"done":"/stock","key":"k","run":"1","echo":"b"}`, false},
		{"cut", `{"done":"/release"`, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var wrong *WrongAnswerError
			must.EqOp(t, !tt.ok, errors.As(checkService(call, []byte(tt.body)), &wrong))
		})
	}
}

// TestRefusedButRan checks that a request counts as refused but run only if its last attempt
// was refused with ran=no and an engine started that attempt.
func TestRefusedButRan(t *testing.T) {
	r := newResults()
	call := &Call{Kind: KindLetter, Adapter: units.AdapterVersion{Adapter: "braid"}}
	for id, ran := range map[string]errs.Ran{"not-run": errs.RanNo, "ran": errs.RanNo, "unknown": errs.RanUnknown} {
		r.add(&outcome{call: call, requestIDs: []string{"first-try", id}, err: &RefusedError{errs.Refusal{Code: errs.CodeNoCapacity, Ran: ran}}}, time.Now(), true)
	}
	report := Report{RefusedButRan: r.refusedButRan(map[string]bool{"ran": true, "unknown": true, "first-try": true})}
	must.Eq(t, []string{"1 requests run but refused as not run"}, report.Faults())
}

// TestCheckActions checks that an answered action that never ran or ran twice, and a refused
// one that ran, are reported as faults. An action with an unknown outcome may have run or not.
func TestCheckActions(t *testing.T) {
	r := newResults()
	r.actions = map[string]*actionResult{
		"answered": {answered: true}, "answered-not-run": {answered: true}, "answered-twice": {answered: true},
		"not-run": {}, "not-run-but-ran": {}, "open": {mayHaveRun: true}, "open-ran": {mayHaveRun: true},
	}
	report := Report{Actions: r.checkActions(map[string]int{"answered": 1, "answered-twice": 2, "not-run-but-ran": 1, "open-ran": 1})}
	must.Eq(t, ActionReport{
		Keys: 7, Answered: 3, Unknown: 2, RefusedNotRun: 2, Ran: 4, SecondRuns: 1, AnsweredNotRun: 1, RefusedNotRunButRan: 1,
	}, report.Actions)
	must.Len(t, 3, report.Faults())
}
