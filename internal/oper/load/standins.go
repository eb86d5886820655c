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

// standins reads the stand-ins' counters and the fill of their batches.
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

// batchMax returns the mean room of the engines' batches.
func (s *standins) batchMax() (float64, error) {
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

// Counters sums the counters of all engines.
type Counters struct {
	engine.Counters
	// SecondRuns counts runs of an action's key after the first.
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

// begun returns the requests that an engine began to run, by the ids that the
// callers gave them.
func (s *standins) begun() (map[string]bool, error) {
	all := map[string]bool{}
	for _, address := range s.engines {
		var ids []string
		if err := s.get(address, "/runs", &ids); err != nil {
			return nil, err
		}
		for _, id := range ids {
			given, _, _ := strings.Cut(id, ".")
			all[given] = true
		}
	}
	return all, nil
}

// runs returns how often each key ran. Instances that share a list of runs are
// counted once.
func (s *standins) runs() (map[string]int, error) {
	runs := map[string]int{}
	for _, address := range s.services {
		var own map[string]int
		if err := s.get(address, "/runs", &own); err != nil {
			return nil, err
		}
		for key, n := range own {
			runs[key] = max(runs[key], n)
		}
	}
	return runs, nil
}
