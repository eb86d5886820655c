package server

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/core/entry"
	"mangostile/internal/core/event"
	"mangostile/internal/fake/engine"
	"mangostile/internal/fake/plain"
	"mangostile/internal/fake/stand"
	"mangostile/internal/node/edge"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"
)

// exchange is one request and what its caller received.
type exchange struct {
	prompt string
	tokens int
	stream bool
	// key is the idempotency key of a request to the service, or "".
	key  string
	body string
	// broken reports that the connection broke before the whole answer arrived.
	broken bool
}

// fault describes what is wrong with the answer, or returns "". runs counts the executions
// by idempotency key.
func (a *exchange) fault(runs map[string]int) string {
	switch {
	case a.key != "" && strings.Contains(a.body, `"ran":"no"`):
		if runs[a.key] > 0 {
			return "refused with ran: no, but it ran"
		}
	case a.key != "" && strings.Contains(a.body, `"done"`):
		if runs[a.key] != 1 || !strings.Contains(a.body, a.key) {
			return "answered, but not with its one run"
		}
	case strings.Contains(a.body, `"ran":"`), a.broken:
	case a.key != "":
		return "neither an answer nor a refusal"
	case a.text() != strings.Join(engine.Answer(engine.Work{Adapter: braidV1, Prompt: a.prompt, MaxTokens: a.tokens}), ""):
		return "not the whole answer to its own request"
	}
	return ""
}

var braidV1 = units.AdapterVersion{Adapter: "braid", Version: "v1"}

// text joins the tokens of a completion or of its stream.
func (a *exchange) text() string {
	var text strings.Builder
	for _, line := range strings.Split(a.body, "\n") {
		var part struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &part) == nil && len(part.Choices) == 1 {
			text.WriteString(part.Choices[0].Text)
		}
	}
	if a.stream && !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
		return "no end mark"
	}
	return text.String()
}

// send sends request number i of a caller and reads the answer.
func (n *node) send(caller, i int) exchange {
	a := exchange{prompt: fmt.Sprintf("caller %d request %d", caller, i), tokens: 4 + i%9, stream: i%2 == 0}
	path := "/v1/completions"
	body := fmt.Sprintf(`{"model":"braid","prompt":%q,"max_tokens":%d,"stream":%v}`, a.prompt, a.tokens, a.stream)
	if i%5 == 4 {
		a.key = uuid.Must(uuid.NewV7()).String()
		path, body = "/services/ledger/release", "{}"
	}
	req, err := http.NewRequest(http.MethodPost, n.serve+path, strings.NewReader(body))
	must.NoError(n.t, err)
	req.Header.Set(edge.HeaderKey, a.key)
	req.Header.Set(edge.HeaderDeadline, "1500")
	resp, err := n.client.Do(req)
	if err != nil {
		a.broken = true
		return a
	}
	got, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	a.body, a.broken = string(got), err != nil
	return a
}

const (
	faultCallers  = 16
	faultRequests = 20
	faultInterval = 100 * time.Millisecond
)

// faultScript holds the faults that are injected into the backend servers, in order.
var faultScript = []func(s *stand.Set){
	func(s *stand.Set) { s.Engines[0].SetFaults(engine.Faults{CrossAnswers: true}) },
	func(s *stand.Set) { s.Engines[1].SetFaults(engine.Faults{BreakAfterTokens: 3}) },
	func(s *stand.Set) { s.Services["ledger"].SetFaults(plain.Faults{LoseAnswers: true}) },
	func(s *stand.Set) { s.Engines[0].SetFaults(engine.Faults{LoseAnswers: true, DelayMillis: 20}) },
	func(s *stand.Set) { s.Services["ledger"].SetFaults(plain.Faults{Refuse: true}) },
	func(s *stand.Set) { s.Engines[0].SetFaults(engine.Faults{}) },
	func(s *stand.Set) { s.Engines[1].SetFaults(engine.Faults{Crash: true}) },
	func(s *stand.Set) { _ = s.Stop("ledger-1") },
	func(s *stand.Set) { s.Engines[0].SetFaults(engine.Faults{Leaving: true}) },
	func(s *stand.Set) { _ = s.Stop("engine-2") },
	func(s *stand.Set) { s.Services["ledger"].SetFaults(plain.Faults{}) },
	func(s *stand.Set) { s.Engines[0].SetFaults(engine.Faults{}) },
	func(s *stand.Set) { _ = s.Restart("ledger-1") },
	func(s *stand.Set) { _ = s.Restart("engine-2") },
	func(s *stand.Set) { s.Engines[1].SetFaults(engine.Faults{}) },
}

// TestFaultsUnderLoad makes backend servers swap, lose, delay and truncate answers,
// crash, leave and disappear while callers send requests of every kind. Each caller must
// get the whole answer to its own request or a refusal whose "ran" field is correct.
func TestFaultsUnderLoad(t *testing.T) {
	vm := event.VM{FailureDomain: "galle", Region: "south", Base: "straw-7b", ChecksFence: true}
	var deployment stand.Options
	deployment.Engine.StepTime = 2 * time.Millisecond
	for _, id := range []string{"engine-1", "engine-2", "ledger-1", "ledger-2"} {
		vm.ID, vm.Kind, vm.Service = id, event.KindEngine, ""
		if strings.HasPrefix(id, "ledger") {
			vm.Kind, vm.Service = event.KindService, "ledger"
		}
		deployment.Backends = append(deployment.Backends, vm)
	}
	n := startNodeWith(t, deployment, func(options *Options) {
		options.Core.Services = map[units.ServiceName]entry.Service{"ledger": {}}
		options.Edge = edge.Options{NotRepeatable: map[units.ServiceName][]string{"ledger": {"POST /release"}}}
	})
	ended := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() { n.injectFaults(ended) })
	answers := make([][]exchange, faultCallers)
	var callers sync.WaitGroup
	for caller := range faultCallers {
		callers.Go(func() {
			for i := range faultRequests {
				answers[caller] = append(answers[caller], n.send(caller, i))
			}
		})
	}
	callers.Wait()
	close(ended)
	faults.Wait()
	n.checkAnswers(answers)
	n.stop()
}

func (n *node) injectFaults(ended <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-ended:
			return
		case <-time.After(faultInterval):
			faultScript[i%len(faultScript)](n.standin)
		}
	}
}

func (n *node) checkAnswers(answers [][]exchange) {
	n.t.Helper()
	runs := n.standin.Services["ledger"].Runs()
	served, codes := 0, map[string]int{}
	for _, exchanges := range answers {
		for i := range exchanges {
			a := &exchanges[i]
			if fault := a.fault(runs); fault != "" {
				n.t.Errorf("%s: %+v", fault, *a)
			}
			_, code, refused := strings.Cut(a.body, `"code":"`)
			switch {
			case refused:
				codes[code[:strings.IndexByte(code, '"')]]++
			case a.broken:
				codes["cut"]++
			default:
				served++
			}
		}
	}
	must.Zero(n.t, n.standin.Counters().Violations, must.Sprintf("%+v", n.standin.Counters()))
	must.Positive(n.t, served)
	must.MapNotEmpty(n.t, runs)
	n.t.Logf("%d of %d requests were served, the others: %v", served, faultCallers*faultRequests, codes)
}
