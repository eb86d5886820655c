package main

import (
	"fmt"
	"sync"
	"time"
)

// Sizes and times of the case power-loss.
const (
	powerReplicas = 40
	powerSlots    = 3
	powerEvents   = 20
	// requestPeriod is the time between two requests. At this rate they take 0.9 of the slots.
	requestPeriod = 12 * time.Millisecond
	powerWarm     = 8 * time.Second
	// crashed is the number of replicas that crash together, a quarter.
	crashed      = powerReplicas / 4
	machinesDown = time.Second
	replicasDown = 2 * time.Second
	recoverTime  = 12 * time.Second
	afterRecover = 12 * time.Second
	minServed    = 0.25
)

// runPowerLoss kills all entry VMs and crashes the replicas after that, a quarter at a time. The callers
// ask for the model without an adapter.
func runPowerLoss(r *recorder, trouble bool) (result, error) {
	zones := []zone{{"galle", "southern", 3}, {"matara", "southern", 2}, {"kandy", "central", 2}}
	d, err := newDeployment(r, zones)
	if err != nil {
		return result{}, err
	}
	defer d.close()
	var replicas []*replica
	for i := range powerReplicas {
		p := &replica{
			id: fmt.Sprintf("i-%d", i+1), service: "llm", zone: zones[i%len(zones)].name, modelLoad: 600 * time.Millisecond, adapterLoad: 250 * time.Millisecond, adapterSlots: 8,
			slots: powerSlots, events: powerEvents, pace: longPace, record: r, store: d.Store, holders: &d.holders,
		}
		if err := p.start("v1", "m0"); err != nil {
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
	c := &steadyClients{deployment: d, period: requestPeriod, next: func(n int) *attempt {
		return &attempt{id: fmt.Sprintf("c%d", n), path: fmt.Sprintf("/fit/%d", n), model: "m0"}
	}, timeout: streamDeadline}
	quit := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { c.run(quit) })
	time.Sleep(powerWarm)
	lostAt := time.Now()
	backAt := lostAt
	if trouble {
		d.kill(d.machines, machinesDown)
		for first := 0; first < powerReplicas; first += crashed {
			for _, p := range replicas[first : first+crashed] {
				p.stop()
			}
			time.Sleep(replicasDown)
			for _, p := range replicas[first : first+crashed] {
				if err := p.start("v1"); err != nil {
					return result{}, err
				}
			}
		}
		backAt = time.Now()
	}
	time.Sleep(recoverTime + afterRecover)
	close(quit)
	clients.Wait()
	return c.recovered(lostAt, backAt.Add(recoverTime)), nil
}

// steadyClients send requests at fixed times, each once.
type steadyClients struct {
	*deployment
	period  time.Duration
	timeout time.Duration
	// next returns the attempt with a number.
	next func(n int) *attempt

	mu       sync.Mutex
	attempts []*attempt
}

// run sends requests until quit is closed, and waits for their answers.
func (c *steadyClients) run(quit chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(c.period)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-quit:
			return
		case <-ticker.C:
		}
		a := c.next(n)
		a.machine = c.pick(c.zones[n%len(c.zones)])
		group.Go(func() {
			a.send(c.timeout)
			a.log(c.record)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.attempts = append(c.attempts, a)
		})
	}
}

// recovered applies the rule: of the requests sent after a time, at least a quarter is served, if a
// quarter was before the fault.
func (c *steadyClients) recovered(lostAt, recoverAt time.Time) result {
	c.mu.Lock()
	defer c.mu.Unlock()
	var before, servedBefore, after, servedAfter int
	for _, a := range c.attempts {
		switch at := a.sentAt; {
		case at.Before(lostAt.Add(-streamPeriod)):
			before++
			servedBefore += count(a.complete)
		case at.After(recoverAt):
			after++
			servedAfter += count(a.complete)
		}
	}
	summary := fmt.Sprintf("%d of %d requests were served before the final fault, %d of %d of those sent later than %s after the machines and replicas were back", servedBefore, before, servedAfter, after, recoverTime)
	broken := before > 0 && after > 0 && float64(servedBefore) >= minServed*float64(before) && float64(servedAfter) < minServed*float64(after)
	return result{broken: broken, summary: summary}
}

// streamPeriod is the length of a stream of the case power-loss.
const streamPeriod = (powerEvents + 2) * longPace
