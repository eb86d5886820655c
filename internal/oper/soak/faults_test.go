package soak

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// play carries the plan's faults out, each in its own time, and returns when all
// have ended.
func (d *deployment) play(ctx context.Context) {
	var group errgroup.Group
	for _, f := range d.plan.faults {
		group.Go(func() error {
			time.Sleep(time.Until(d.began.Add(f.at)))
			if ctx.Err() == nil {
				d.strike(f)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		d.t.Error(err)
	}
}

// strike carries one fault out and undoes it.
func (d *deployment) strike(f fault) {
	v := d.vms[f.target%len(d.vms)]
	switch f.kind {
	case vmKill, vmTerm, vmPause, vmHup, callersReset:
		d.strikeVM(f, v)
	case killAll:
		for _, v := range d.vms {
			// The harm lasts until all have been started again.
			defer v.harm.begin()()
			v.end(syscall.SIGKILL, time.Second)
		}
		time.Sleep(f.lasts)
		for _, v := range d.vms {
			d.restart(v)
		}
	case storeDown, storeSlow, storeLoses, storeLate, storeForgets, storeGarbage:
		d.strikeStore(f)
	case linkSilent, linkOneWay, linkRefuses, linkDelays:
		d.strikeLink(f, v)
	case newConfig:
		d.configure()
	default:
		d.strikeServer(f)
	}
}

func (d *deployment) strikeVM(f fault, v *vm) {
	switch f.kind {
	case vmKill:
		defer v.harm.begin()()
		v.end(syscall.SIGKILL, time.Second)
		time.Sleep(f.lasts)
		d.restart(v)
	case vmTerm:
		d.stop(v)
		time.Sleep(f.lasts / 4)
		d.restart(v)
	case vmPause:
		end := v.harm.begin()
		v.signal(syscall.SIGSTOP)
		time.Sleep(f.lasts)
		d.Excuse(thawSlack)
		v.signal(syscall.SIGCONT)
		end()
	case vmHup:
		v.signal(syscall.SIGHUP)
	case callersReset:
		defer v.harm.begin()()
		v.front.Reset()
	}
}

// restart starts an entry VM again, unless another fault has done so.
func (d *deployment) restart(v *vm) {
	if err := v.start(); err != nil {
		d.t.Errorf("seed %d: start of %s: %v", d.plan.seed, v.name(), err)
	}
}

// stop asks an entry VM to stop and checks that it ends in its time.
func (d *deployment) stop(v *vm) {
	if v.running() == nil {
		return
	}
	s := stop{vm: v.index, asked: time.Now()}
	ended := v.end(syscall.SIGTERM, grace+time.Second)
	s.ended = time.Now()
	s.planned = v.harm.free(s.asked, s.ended)
	if !ended && s.planned {
		d.t.Errorf("seed %d: %s still ran %s after it was asked to stop", d.plan.seed, v.name(), grace+time.Second)
	}
	d.history.mu.Lock()
	d.history.stops = append(d.history.stops, s)
	d.history.mu.Unlock()
	// What follows the stop counts as a start.
	v.harm.begin()()
}

func (d *deployment) strikeStore(f fault) {
	defer d.history.store.begin()()
	s := d.Store
	switch f.kind {
	case storeDown:
		s.Down.Store(true)
		time.Sleep(f.lasts)
		s.Down.Store(false)
	case storeSlow:
		s.Slow.Store(int64(f.lasts / 8))
		time.Sleep(f.lasts)
		s.Slow.Store(0)
	case storeLoses:
		s.LoseAppends.Store(true)
		time.Sleep(f.lasts)
		s.LoseAppends.Store(false)
	case storeLate:
		s.LateAppends.Store(int64(f.lasts / 2))
		time.Sleep(f.lasts)
		s.LateAppends.Store(0)
	case storeForgets:
		d.ForgetHistory()
	case storeGarbage:
		d.PutGarbage()
	}
}

func (d *deployment) strikeLink(f fault, v *vm) {
	defer v.harm.begin()()
	switch f.kind {
	case linkSilent:
		v.store.Cut(true, true)
	case linkOneWay:
		v.store.Cut(f.target%2 == 0, f.target%2 == 1)
	case linkRefuses:
		v.store.Refuse(true)
		v.store.Reset()
	case linkDelays:
		v.store.Delay(f.lasts / 10)
	}
	time.Sleep(f.lasts)
	v.store.Refuse(false)
	v.store.Delay(0)
	v.store.Cut(false, false)
}

func (d *deployment) strikeServer(f fault) {
	s := d.pick(f.target)
	defer d.history.servers.begin()()
	switch f.kind {
	case serverCrash:
		d.drop(s)
		d.Crash(s.Replica)
		time.Sleep(f.lasts)
		d.startServer(s.Service)
	case serverLeaves:
		d.drop(s)
		d.startServer(s.Service)
		d.history.leaves(s.ID)
		d.SetState(s.Replica, "draining")
	case serverMute:
		s.Mute.Store(true)
		time.Sleep(f.lasts)
		s.Mute.Store(false)
	case serverFails:
		s.Fail.Store(true)
		time.Sleep(f.lasts)
		s.Fail.Store(false)
	case serverCrawls:
		s.Crawl.Store(int64(5 * streamPace))
		time.Sleep(f.lasts)
		s.Crawl.Store(0)
	case serverBreaks:
		for range 5 {
			s.BreakAfter.Store(int64(1 + f.target%streamEvents))
			time.Sleep(f.lasts / 5)
		}
	case serverCut:
		s.relay.Cut(f.target%3 > 0, f.target%3 < 2)
		time.Sleep(f.lasts)
		d.Excuse(thawSlack)
		s.relay.Cut(false, false)
	case serverReset:
		s.relay.Reset()
	case ordersLost:
		s.LoseOrders.Store(true)
		time.Sleep(f.lasts)
		s.LoseOrders.Store(false)
	case ordersLate:
		s.LateOrders.Store(int64(f.lasts))
		time.Sleep(f.lasts)
		s.LateOrders.Store(0)
	}
}
