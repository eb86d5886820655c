package main

import (
	"fmt"
	"time"

	"mangostile/internal/fake/grid"
)

// Sizes and times of the case region-killed.
const (
	streamEvents = 60
	streamPace   = 70 * time.Millisecond
	// clientsPerZone are the clients of each zone, of which each has one stream at a time.
	clientsPerZone = 8
	warmUp         = 8 * time.Second
	// downtime is how long the killed processes are down.
	downtime    = 2 * time.Second
	afterKill   = 14 * time.Second
	minTakenUp  = 12
	minShareNew = 0.5
)

// runRegionKilled kills the entry VMs of one region at the same moment while streams run. The callers take
// these up at entry VMs that ran all the time. Backend servers of two software versions serve.
func runRegionKilled(r *recorder, trouble bool) (result, error) {
	zones := []zone{{"kano-a", "ng-north", 2}, {"kaduna-b", "ng-north", 2}, {"lagos-a", "ng-south", 3}}
	d, err := newDeployment(r, zones)
	if err != nil {
		return result{}, err
	}
	defer d.close()
	for _, z := range zones {
		for _, version := range []string{"v1", "v2"} {
			replica := &grid.Replica{
				ID: "i-" + z.name + "-" + version, Service: "llm", Zone: z.name, Version: version, Model: "m0", Slots: 96, AdapterSlots: 8,
				Load: 250 * time.Millisecond, Events: streamEvents, Pace: streamPace,
			}
			if err := d.Start(replica); err != nil {
				return result{}, err
			}
		}
	}
	if err := d.Configure(streamConfig()); err != nil {
		return result{}, err
	}
	if err := d.start(); err != nil {
		return result{}, err
	}
	c := newStreamClients(d)
	for _, z := range zones {
		for i := range clientsPerZone {
			c.group.Go(func() { c.run(z, i) })
		}
	}
	time.Sleep(warmUp)
	if trouble {
		var region []*machine
		for _, m := range d.machines {
			if m.zone.region == "ng-north" {
				region = append(region, m)
			}
		}
		d.kill(region, downtime)
	}
	c.setKilled()
	time.Sleep(afterKill)
	c.stop()
	return c.shareTakenUp(), nil
}

// shareTakenUp applies the rule: of the streams that were taken up at entry VMs in touch, the share that
// goes on is at least half of the share of new streams that begin there.
func (c *streamClients) shareTakenUp() result {
	c.mu.Lock()
	defer c.mu.Unlock()
	var takenUp, wentOn, sent, began int
	for _, s := range c.streams {
		if s.first.inTouch && s.first.sentAt.After(c.killedAt) {
			sent++
			began += count(s.first.began())
		}
		inTouch, on := false, false
		for _, t := range s.takeUps {
			if t.inTouch && t.status != 0 {
				inTouch, on = true, on || t.began()
			}
		}
		takenUp += count(inTouch)
		wentOn += count(inTouch && on)
	}
	summary := fmt.Sprintf("at entry VMs in touch, %d of %d streams that were taken up went on, and %d of %d new ones began", wentOn, takenUp, began, sent)
	broken := takenUp >= minTakenUp && sent > 0 && float64(wentOn)/float64(takenUp) < minShareNew*float64(began)/float64(sent)
	return result{broken: broken, summary: summary}
}
