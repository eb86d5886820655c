package stand

import (
	"encoding/json"
	"testing"

	"mangostile/internal/core/event"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

func newTestSet(t *testing.T) *Set {
	t.Helper()
	s, err := Start(Options{Backends: []event.VM{
		{ID: "engine-1", Kind: event.KindEngine, Base: "b"},
		{ID: "ledger-1", Kind: event.KindService, Service: "ledger"},
		{ID: "ledger-2", Kind: event.KindService, Service: "ledger"},
	}})
	must.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func post(t *testing.T, url, body string) (int, string) {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(url)
	req.Header.Set("Idempotency-Key", "k1")
	req.SetBodyString(body)
	must.NoError(t, fasthttp.Do(req, resp))
	return resp.StatusCode(), string(resp.Body())
}

func TestControlReadsCountersAndSetsFaults(t *testing.T) {
	s := newTestSet(t)
	control := "http://" + s.ControlAddress
	for range 2 {
		status, _ := post(t, "http://"+s.Backends[1].Address+"/release", "{}")
		must.Eq(t, fasthttp.StatusOK, status)
	}
	_, body, err := fasthttp.Get(nil, control+"/counters")
	must.NoError(t, err)
	var counters Counters
	must.NoError(t, json.Unmarshal(body, &counters))
	must.Eq(t, ServiceCounters{Keys: 1, Runs: 2, SecondRuns: 1}, counters.Services["ledger"])
	must.Eq(t, 1, counters.Violations)

	tests := []struct {
		name, path, body string
		status           int
		check            func() bool
	}{
		{"log", "/fault/log", `{"down":true}`, 200, func() bool {
			status, _ := post(t, "http://"+s.LogAddress+"/v1/streams/x/records", `{}`)
			return status == fasthttp.StatusServiceUnavailable
		}},
		{"store", "/fault/store", `{"slow":2}`, 200, func() bool { return true }},
		{"list", "/fault/vms", `{"leaving":["engine-1"],"gone":["ledger-2"]}`, 200, func() bool {
			vms := s.VMs.Visible()
			return len(vms) == 2 && vms[0].State == event.VMLeaving
		}},
		{"engine", "/fault/engine-1", `{"leaving":true}`, 200, func() bool { return s.Engines[0].Report().Leaving }},
		{"one instance of a service", "/fault/ledger-2", `{"leaving":true}`, 200, func() bool {
			first, _ := post(t, "http://"+s.Backends[1].Address+"/release", "{}")
			second, _ := post(t, "http://"+s.Backends[2].Address+"/release", "{}")
			return first == fasthttp.StatusOK && second == fasthttp.StatusServiceUnavailable
		}},
		{"unknown backend server", "/fault/engine-9", `{}`, 404, func() bool { return true }},
		{"wrong body", "/fault/log", `no`, 400, func() bool { return true }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			status, answer := post(t, control+tc.path, tc.body)
			must.Eq(t, tc.status, status, must.Sprint(answer))
			must.True(t, tc.check())
		})
	}
}

// TestStoppedBackendServerLooksDead checks that a stopped engine refuses connections, answers
// again after a restart and has counted a crash.
func TestStoppedBackendServerLooksDead(t *testing.T) {
	s := newTestSet(t)
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	url := "http://" + s.Backends[0].Address + "/v1/report"
	_, _, err := client.Get(nil, url)
	must.NoError(t, err)
	status, _ := post(t, "http://"+s.ControlAddress+"/fault/engine-1", `{"stopped":true}`)
	must.Eq(t, fasthttp.StatusOK, status)
	_, _, err = client.Get(nil, url)
	must.Error(t, err)
	status, _ = post(t, "http://"+s.ControlAddress+"/fault/engine-1", `{"stopped":false}`)
	must.Eq(t, fasthttp.StatusOK, status)
	var another fasthttp.Client
	_, _, err = another.Get(nil, url)
	must.NoError(t, err)
	must.Eq(t, 1, s.Engines[0].Counters().Crashes)
}
