package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// Times of the case rollback-in-freeze, from the begin of the freeze.
const (
	rollbackClients = 60
	rollbackEvents  = 90
	rollbackWarm    = 36 * time.Second
	freezeTime      = 7500 * time.Millisecond
	canaryStart     = 3100 * time.Millisecond
	demandShift     = 4400 * time.Millisecond
	canaryUnlisted  = 6900 * time.Millisecond
	canaryGone      = canaryUnlisted + drainTime
	rollbackRest    = 8 * time.Second
	// drainTime is how long a replica serves after its entry was dropped.
	drainTime = 3 * time.Second
)

// runRollbackInFreeze freezes an entry VM that gives no orders. Meanwhile a replica of another
// software version comes, serves and is taken from the list, and it ends drainTime later. Callers take
// up the streams that break with it.
func runRollbackInFreeze(r *recorder, trouble bool) (result, error) {
	zones := []zone{{"kano-a", "ng-north", 4}, {"lagos-a", "ng-south", 2}}
	d, err := newDeployment(r, zones)
	if err != nil {
		return result{}, err
	}
	defer d.close()
	newReplica := func(id string, z zone) *replica {
		return &replica{
			id: id, service: "llm", zone: z.name, modelLoad: 600 * time.Millisecond, adapterLoad: 250 * time.Millisecond, adapterSlots: 8,
			events: rollbackEvents, pace: longPace, record: r, store: d.Store, holders: &d.holders,
		}
	}
	for i := range 4 {
		p := newReplica(fmt.Sprintf("i-%d", i+1), zones[i%2])
		if err := p.start("v1", "m0"); err != nil {
			return result{}, err
		}
		defer p.stop()
	}
	if err := d.Configure(streamConfig()); err != nil {
		return result{}, err
	}
	if err := d.start(); err != nil {
		return result{}, err
	}
	c := newStreamClients(d)
	for _, z := range zones {
		for i := range rollbackClients {
			// Streams begin at different times.
			c.group.Go(func() {
				time.Sleep(time.Duration(i) * rollbackEvents * longPace / rollbackClients)
				c.run(z, i)
			})
		}
	}
	time.Sleep(rollbackWarm)
	holder := d.lastHolder(zones[0].region)
	if holder == nil {
		return result{}, errors.New("no entry VM has given orders in the region")
	}
	frozen := d.machines[0]
	if frozen == holder {
		frozen = d.machines[1]
	}
	began := time.Now()
	if trouble {
		d.freeze(frozen, freezeTime)
	}
	time.Sleep(time.Until(began.Add(canaryStart)))
	canary := newReplica("i-canary", zones[0])
	if err := canary.start("v2"); err != nil {
		return result{}, err
	}
	defer canary.stop()
	time.Sleep(time.Until(began.Add(demandShift)))
	c.shifted.Store(true)
	time.Sleep(time.Until(began.Add(canaryUnlisted)))
	canary.unlist()
	time.Sleep(time.Until(began.Add(canaryGone)))
	canary.stop()
	time.Sleep(rollbackRest)
	c.stop()
	return c.mixedStreams(), nil
}

// freeze stops the process of an entry VM for a time.
func (d *deployment) freeze(m *machine, t time.Duration) {
	m.signal(syscall.SIGSTOP)
	d.record.write("frozen", "vm", m.name)
	d.group.Go(func() {
		d.sleep(t)
		m.signal(syscall.SIGCONT)
		d.record.write("thawed", "vm", m.name)
	})
}

func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.undisturbedSince = time.Now()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(sig)
	}
}
