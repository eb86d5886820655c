package choose

import (
	"math"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"
)

// An engine reads prompts between the tokens of the streams that run there, so that each prompt causes
// a pause in all of them. Where the routes of a service name an objective for pauses, the choice of an
// engine weighs the streams that would get a pause beyond it. Nothing here has an effect where they
// name none. See docs/design/stream_pauses.md.

const (
	// freePause and certainPause are the expected pauses, as shares of the objective, up to which no
	// stream and from which on each stream is counted as late. An engine's pace varies by some times
	// within a second, so that a pause expected at a quarter of the objective may already exceed it.
	freePause    = 0.25
	certainPause = 1.25
	// loadMemory is the time after which an observation of an engine's load counts 1/e, about a third:
	// as long as streams of some dozen events last.
	loadMemory = 2 * clock.Second
	// harmWeight is the part of a stream's lateness that a prompt is charged with for each stream at
	// the engine: a stream meets several prompts, each of which could have made it late.
	harmWeight = 0.1
	// maxHarm bounds what a request is charged with for the streams of others, in streams, so that no
	// estimate outweighs a failing backend server.
	maxHarm = 2
	// minWaiting is the least mean number of prompts that are expected to wait at an engine.
	minWaiting = 0.1
	// unseenShare is the part of the time to read r's prompt that its cost varies by between engines.
	// Other entry VMs' sends count here only some hundred ms later, and all would else choose the same
	// engine meanwhile.
	unseenShare = 0.5
)

// pauses holds the decayed means, at the time at, of the number of streams at a backend server and of
// prompts that wait there. The zero value is an idle one.
type pauses struct {
	streams, waiting float64
	at               clock.Millis
}

// gapTargets returns the shortest objective for pauses of each service whose routes name one. The
// streams of other entry VMs may be of any of these routes.
func gapTargets(config *topo.Config) map[units.ServiceName]clock.Millis {
	targets := map[units.ServiceName]clock.Millis{}
	for i := range config.Routes {
		route := &config.Routes[i]
		if route.Kind != topo.KindStream || route.GapTarget <= 0 {
			continue
		}
		for _, share := range route.Shares {
			if gap, ok := targets[share.Service]; !ok || route.GapTarget < gap {
				targets[share.Service] = route.GapTarget
			}
		}
	}
	return targets
}

// pauseCost returns what a request at an engine costs in ms beyond the time to its first event: for
// the pauses that its prompt causes between the events of the streams there, and for those that it
// has to expect itself. A stream with a pause beyond its objective counts as much as a first event that
// is late by the route's target.
func (c *Core) pauseCost(r *Request, v *view) float64 {
	gap := c.gapTargets[v.Service]
	if gap == 0 || v.engine == nil {
		return 0
	}
	c.observeLoad(v)
	target := float64(max(r.Route.Target, gap))
	reading := float64(r.PromptTokens-min(r.PromptTokens, v.prefixes.cached(r))) / c.prefillRate(v)
	harm := harmWeight * v.pauses.streams * min(1, reading/float64(gap)) * c.stallRisk(v, gap)
	cost := target * min(maxHarm, harm)
	if r.Route.GapTarget > 0 {
		cost += target * c.pauseRisk(r, v, r.Route.GapTarget)
	}
	return cost + unseenShare*reading*spread(r.ID, v.ID)
}

// pauseRisk returns the probability that r gets a pause beyond gap at v: that v reads another prompt while
// r runs, and that its streams pause for so long meanwhile.
func (c *Core) pauseRisk(r *Request, v *view, gap clock.Millis) float64 {
	// Each prompt is read in reading ms on average, so that as many begin in that time as wait.
	reading := c.streams(v.Service).prompt / c.prefillRate(v)
	prompts := max(minWaiting, v.pauses.waiting) * c.life(r, v, gap) / reading
	return c.stallRisk(v, gap) * (1 - math.Exp(-prompts))
}

// stallRisk returns the share of the streams at v, 0 to 1, that get a pause beyond gap while v reads
// prompts.
func (c *Core) stallRisk(v *view, gap clock.Millis) float64 {
	stall := c.streams(v.Service).stall
	if stall == 0 {
		stall = float64(gap)
	}
	stall *= c.slowness(v) / float64(gap)
	return min(1, max(0, (stall-freePause)/(certainPause-freePause)))
}

// slowness returns the time that v takes for a prompt as a multiple of that at the common pace.
func (c *Core) slowness(v *view) float64 { return c.cfg.Policy.PrefillPerMS / c.prefillRate(v) }

// life returns the expected time in ms from r's first event at v to its last.
func (c *Core) life(r *Request, v *view, gap clock.Millis) float64 {
	event := c.streams(v.Service).event
	if event == 0 {
		event = gapShare * float64(gap)
	}
	return float64(r.MaxTokens) / float64(max(1, v.engine.EventTokens)) * event
}

// observeLoad includes the load of v now in its means.
func (c *Core) observeLoad(v *view) {
	if c.now <= v.pauses.at {
		return
	}
	weight := 1.0
	if v.pauses.at > 0 {
		weight -= math.Exp(-float64(c.now-v.pauses.at) / float64(loadMemory))
	}
	waiting := float64(v.own.prefill+v.others.prefill) / c.streams(v.Service).prompt
	streams := max(0, float64(v.own.active+v.others.active)-waiting)
	v.pauses.at = c.now
	v.pauses.waiting += weight * (waiting - v.pauses.waiting)
	v.pauses.streams += weight * (streams - v.pauses.streams)
}
