package soak

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// injectFaults injects the plan's faults at their times and returns when all have
// ended.
func (d *deployment) injectFaults(ctx context.Context) {
	var group errgroup.Group
	for _, f := range d.plan.faults {
		group.Go(func() error {
			time.Sleep(time.Until(d.startedAt.Add(f.at)))
			if ctx.Err() == nil {
				d.inject(f)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		d.t.Error(err)
	}
}

// inject injects one fault and ends it after its duration.
func (d *deployment) inject(f fault) {
	v := d.vms[f.target%len(d.vms)]
	switch f.kind {
	case vmKill, vmTerm, vmPause, vmHup, callersReset:
		d.injectVMFault(f, v)
	case killAll:
		for _, v := range d.vms {
			// The fault of each entry VM lasts until all have been restarted.
			defer v.faults.begin()()
			v.end(syscall.SIGKILL, time.Second)
		}
		time.Sleep(f.duration)
		for _, v := range d.vms {
			d.restart(v)
		}
	case vmsInTurn:
		for _, v := range d.vms {
			d.stop(v)
			d.restart(v)
			time.Sleep(f.duration / time.Duration(len(d.vms)))
		}
	case storeDown, storeSlow, storeLosesAnswers, storeLate, storeForgets, storeGarbage:
		d.injectStoreFault(f)
	case linkSilent, linkOneWay, linkRefuses, linkDelays:
		d.injectLinkFault(f, v)
	case newConfig:
		d.configure()
	case serverSaysLeaving:
		d.sayLeaving(f)
	case serverRelease:
		d.release("llm", f.duration)
	case serverLimit:
		d.nameLimit(f)
	case serverBackoff:
		d.targetServer(f.target).BackoffUntil.Store(time.Now().Add(f.duration).UnixMilli())
		time.Sleep(f.duration)
	default:
		d.injectServerFault(f)
	}
}

// sayLeaving lets a server say in its answers that it leaves, which the list shows only later.
func (d *deployment) sayLeaving(f fault) {
	s := d.targetServer(f.target)
	d.removeServer(s)
	d.startServer(s.Service)
	s.SaysLeaving.Store(true)
	// A request reaches it too late after drainTimeout.
	time.Sleep(drainTimeout + f.duration)
	d.SetState(s.Replica, "draining")
}

// release replaces the servers of a service, one after the other within a time, by ones of a new
// software version.
func (d *deployment) release(service string, duration time.Duration) {
	var old []*server
	d.mu.Lock()
	for _, s := range d.servers {
		if s.Service == service {
			old = append(old, s)
		}
	}
	d.mu.Unlock()
	for _, s := range old {
		d.startServerOf(service, "released")
		d.removeServer(s)
		d.history.recordLeaving(s.ID)
		d.SetState(s.Replica, "draining")
		time.Sleep(duration / time.Duration(len(old)))
	}
}

func (d *deployment) injectVMFault(f fault, v *vm) {
	switch f.kind {
	case vmKill:
		defer v.faults.begin()()
		v.end(syscall.SIGKILL, time.Second)
		time.Sleep(f.duration)
		d.restart(v)
	case vmTerm:
		d.stop(v)
		time.Sleep(f.duration / 4)
		d.restart(v)
	case vmPause:
		end := v.faults.begin()
		v.signal(syscall.SIGSTOP)
		time.Sleep(f.duration)
		d.SuspendOrderChecks(resumeSlack)
		v.signal(syscall.SIGCONT)
		end()
	case vmHup:
		v.signal(syscall.SIGHUP)
	case callersReset:
		defer v.faults.begin()()
		v.front.Reset()
	}
}

// restart starts an entry VM again, unless it is already running.
func (d *deployment) restart(v *vm) {
	if err := v.start(); err != nil {
		d.t.Errorf("seed %d: start of %s: %v", d.plan.seed, v.name(), err)
	}
}

// stop sends an entry VM the signal to stop and checks that it ends within stopGrace and one
// second more.
func (d *deployment) stop(v *vm) {
	if v.running() == nil {
		return
	}
	s := stop{vm: v.index, requestedAt: time.Now()}
	ended := v.end(syscall.SIGTERM, stopGrace+time.Second)
	s.ended = time.Now()
	s.undisturbed = v.faults.free(s.requestedAt, s.ended)
	if !ended && s.undisturbed {
		d.t.Errorf("seed %d: %s still ran %s after it was asked to stop", d.plan.seed, v.name(), stopGrace+time.Second)
	}
	d.history.mu.Lock()
	d.history.stops = append(d.history.stops, s)
	d.history.mu.Unlock()
	// A fault without duration lets the checks tolerate the restart that follows the stop,
	// for settleWindow.
	v.faults.begin()()
}

func (d *deployment) injectStoreFault(f fault) {
	defer d.history.storeFaults.begin()()
	s := d.Store
	switch f.kind {
	case storeDown:
		s.Down.Store(true)
		time.Sleep(f.duration)
		s.Down.Store(false)
	case storeSlow:
		s.Delay.Store(int64(f.duration / 8))
		time.Sleep(f.duration)
		s.Delay.Store(0)
	case storeLosesAnswers:
		s.LoseAppends.Store(true)
		time.Sleep(f.duration)
		s.LoseAppends.Store(false)
	case storeLate:
		s.AppendDelay.Store(int64(f.duration / 2))
		time.Sleep(f.duration)
		s.AppendDelay.Store(0)
	case storeForgets:
		d.ForgetHistory()
	case storeGarbage:
		d.PutGarbage()
	}
}

func (d *deployment) injectLinkFault(f fault, v *vm) {
	defer v.faults.begin()()
	switch f.kind {
	case linkSilent:
		v.store.Cut(true, true)
	case linkOneWay:
		v.store.Cut(f.target%2 == 0, f.target%2 == 1)
	case linkRefuses:
		v.store.Refuse(true)
		v.store.Reset()
	case linkDelays:
		v.store.Delay(f.duration / 10)
	}
	time.Sleep(f.duration)
	v.store.Refuse(false)
	v.store.Delay(0)
	v.store.Cut(false, false)
}

func (d *deployment) injectServerFault(f fault) {
	s := d.targetServer(f.target)
	defer d.history.serverFaults.begin()()
	switch f.kind {
	case serverCrash:
		d.removeServer(s)
		d.Crash(s.Replica)
		time.Sleep(f.duration)
		d.startServer(s.Service)
	case serverLeaves:
		d.removeServer(s)
		d.startServer(s.Service)
		d.history.recordLeaving(s.ID)
		d.SetState(s.Replica, "draining")
	case serverNoAnswer:
		s.WithholdAnswers.Store(true)
		time.Sleep(f.duration)
		s.WithholdAnswers.Store(false)
	case serverFails:
		s.Fail.Store(true)
		time.Sleep(f.duration)
		s.Fail.Store(false)
	case serverSlow:
		s.ExtraDelay.Store(int64(5 * eventInterval))
		time.Sleep(f.duration)
		s.ExtraDelay.Store(0)
	case serverBreaks:
		for range 5 {
			s.BreakAfter.Store(int64(1 + f.target%streamEvents))
			time.Sleep(f.duration / 5)
		}
	case serverCut:
		s.relay.Cut(f.target%3 > 0, f.target%3 < 2)
		time.Sleep(f.duration)
		d.SuspendOrderChecks(resumeSlack)
		s.relay.Cut(false, false)
	case serverReset:
		s.relay.Reset()
	case orderAnswersLost:
		s.LoseOrders.Store(true)
		time.Sleep(f.duration)
		s.LoseOrders.Store(false)
	case ordersLate:
		s.OrderDelay.Store(int64(f.duration))
		time.Sleep(f.duration)
		s.OrderDelay.Store(0)
	}
}
