package main

import (
	"fmt"
	"strings"
	"time"
)

// Sizes and times of the case upgrade-in-outage.
const (
	upgradeClients = 24
	// longEvents and longPace are the length of its streams.
	longEvents   = 140
	longPace     = 60 * time.Millisecond
	upgradeWarm  = 9 * time.Second
	outage       = 6 * time.Second
	replicaDown  = 500 * time.Millisecond
	upgradePause = 2200 * time.Millisecond
	upgradeRest  = 12 * time.Second
	maxMixed     = 2
)

// runUpgradeInOutage starts the replicas of one software version again with another one, one after
// the other and each under its id, while the store is down.
func runUpgradeInOutage(r *recorder, trouble bool) (result, error) {
	zones := []zone{{"kano-a", "ng-north", 2}, {"kaduna-b", "ng-north", 1}}
	d, err := newDeployment(r, zones)
	if err != nil {
		return result{}, err
	}
	defer d.close()
	var replicas []*replica
	for i, software := range []string{"v1", "v1", "v2", "v2"} {
		p := &replica{
			id: fmt.Sprintf("i-%d", i+1), service: "llm", zone: zones[i%2].name, modelLoad: 600 * time.Millisecond, adapterLoad: 250 * time.Millisecond, adapterSlots: 8,
			events: longEvents, pace: longPace, record: r, store: d.Store, holders: &d.holders,
		}
		if err := p.start(software, "m0"); err != nil {
			return result{}, err
		}
		defer p.stop()
		replicas = append(replicas, p)
	}
	if err := d.Configure(streamConfig()); err != nil {
		return result{}, err
	}
	if err := d.start(); err != nil {
		return result{}, err
	}
	c := newStreamClients(d)
	for i := range upgradeClients {
		c.group.Go(func() { c.run(zones[i%len(zones)], i) })
	}
	time.Sleep(upgradeWarm)
	if trouble {
		r.write("store_down")
		d.Store.Down.Store(true)
		time.AfterFunc(outage, func() {
			d.Store.Down.Store(false)
			r.write("store_up")
		})
	}
	for _, p := range replicas[:2] {
		p.stop()
		time.Sleep(replicaDown)
		if err := p.start("v2"); err != nil {
			return result{}, err
		}
		time.Sleep(upgradePause - replicaDown)
	}
	time.Sleep(upgradeRest)
	c.stop()
	return c.mixedStreams(), nil
}

// mixedStreams applies the rule: at most maxMixed streams hold events of two software versions, in
// one answer or over a caller's attempts.
func (c *streamClients) mixedStreams() result {
	c.mu.Lock()
	defer c.mu.Unlock()
	mixed := 0
	for _, s := range c.streams {
		var versions []string
		for _, a := range append([]*attempt{s.first}, s.takeUps...) {
			for i, v := range a.software {
				if len(versions) == 0 || !strings.HasPrefix(versions[len(versions)-1], v+" ") {
					versions = append(versions, fmt.Sprintf("%s from event %d of %s", v, a.softwareFrom[i], a.id))
				}
			}
		}
		if len(versions) > 1 {
			mixed++
			c.record.write("mixed", "stream", s.first.id, "versions", strings.Join(versions, ", "))
		}
	}
	return result{broken: mixed > maxMixed, summary: fmt.Sprintf("%d of %d streams hold events of two software versions", mixed, len(c.streams))}
}
