package load

import (
	"encoding/json"
	"strings"
	"time"

	"mangostile/internal/core/event"
	"mangostile/internal/fake/engine"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// standins reads the stand-ins' counters, batch limits and executions.
type standins struct {
	client   *fasthttp.Client
	engines  []string
	services []string
}

const standinTimeout = 2 * time.Second

func (s *standins) get(address, path string, value any) error {
	status, body, err := s.client.GetTimeout(nil, "http://"+address+path, standinTimeout)
	if err != nil {
		return errors.Wrapf(err, "stand-in %s", address)
	}
	if status != fasthttp.StatusOK {
		return errors.Errorf("stand-in %s%s answered with status %d", address, path, status)
	}
	return errors.Wrapf(json.Unmarshal(body, value), "stand-in %s%s", address, path)
}

// meanBatchMax returns the mean batch size limit of the engines, 0 without engines.
func (s *standins) meanBatchMax() (float64, error) {
	sum := 0.0
	for _, address := range s.engines {
		var report event.ServerReport
		if err := s.get(address, "/v1/report", &report); err != nil {
			return 0, err
		}
		sum += float64(report.BatchMax)
	}
	return sum / float64(max(1, len(s.engines))), nil
}

// Counters holds the counters of all stand-ins, summed.
type Counters struct {
	engine.Counters
	// SecondRuns counts executions of an action's key after the first.
	SecondRuns int `json:"second_runs"`
}

// engineCounters sums the engines' counters.
func (s *standins) engineCounters() (engine.Counters, error) {
	var sum engine.Counters
	for _, address := range s.engines {
		var c engine.Counters
		if err := s.get(address, "/counters", &c); err != nil {
			return sum, err
		}
		sum.WrongAdapter += c.WrongAdapter
		sum.EvictedRunning += c.EvictedRunning
		sum.OldOrdersTaken += c.OldOrdersTaken
		sum.Requests += c.Requests
		sum.Tokens += c.Tokens
		sum.Steps += c.Steps
		sum.Loads += c.Loads
		sum.Unloads += c.Unloads
		sum.Crashes += c.Crashes
		sum.Canceled += c.Canceled
		sum.Resumed += c.Resumed
		sum.CachedTokens += c.CachedTokens
	}
	return sum, nil
}

// started returns the requests that an engine started, by the callers' request ids.
func (s *standins) started() (map[string]bool, error) {
	all := map[string]bool{}
	for _, address := range s.engines {
		var ids []string
		if err := s.get(address, "/runs", &ids); err != nil {
			return nil, err
		}
		for _, id := range ids {
			requestID, _, _ := strings.Cut(id, ".")
			all[requestID] = true
		}
	}
	return all, nil
}

// runs returns the number of executions of each key. Instances that share a list of
// executions are counted once.
func (s *standins) runs() (map[string]int, error) {
	runs := map[string]int{}
	for _, address := range s.services {
		var counts map[string]int
		if err := s.get(address, "/runs", &counts); err != nil {
			return nil, err
		}
		for key, n := range counts {
			runs[key] = max(runs[key], n)
		}
	}
	return runs, nil
}
