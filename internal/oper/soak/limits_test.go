package soak

import (
	"fmt"
	"slices"
	"time"
)

// namedLimit is a limit that a server named for a time.
type namedLimit struct {
	server    string
	perMinute int64
	from, to  time.Time
}

const (
	// limitWindow is the time in which the requests to a server with a limit are counted, from
	// limitWindow after it named the limit on.
	limitWindow = 4 * time.Second
	// limitNotice is the time after which an entry VM that got an answer with a limit counts.
	limitNotice = 500 * time.Millisecond
	// limitSlack is the number of requests allowed beyond one and a half times the limit.
	limitSlack = 5
)

// nameLimit lets a server name a limit of half a request to three and a half requests a second.
func (d *deployment) nameLimit(f fault) {
	s := d.targetServer(f.target)
	limit := namedLimit{server: s.ID, perMinute: int64(30 + f.target%180), from: time.Now()}
	s.LimitPerMinute.Store(limit.perMinute)
	time.Sleep(f.duration)
	s.LimitPerMinute.Store(0)
	limit.to = time.Now()
	d.history.mu.Lock()
	defer d.history.mu.Unlock()
	d.history.limits = append(d.history.limits, limit)
}

// requestsBeyondLimits finds servers that got more requests than their limits from entry VMs that had
// an answer with the limit, without a fault since.
func (d *deployment) requestsBeyondLimits(byID map[string]*request) (list []string) {
	for _, limit := range d.history.limits {
		toldAt := map[int]time.Time{}
		var runs []*execution
		for _, each := range d.history.runs {
			for _, run := range each {
				if run.Replica == limit.server && run.At.After(limit.from) && run.At.Before(limit.to) && byID[run.ID] != nil {
					runs = append(runs, run)
				}
			}
		}
		slices.SortFunc(runs, func(a, b *execution) int { return a.At.Compare(b.At) })
		var times []time.Time
		for _, run := range runs {
			q := byID[run.ID]
			vm := q.vm
			told, ok := toldAt[vm]
			if ok && run.At.After(told.Add(limitNotice)) && run.At.After(limit.from.Add(limitWindow)) && d.vms[vm].faults.free(limit.from, run.At) {
				times = append(times, run.At)
			}
			if !ok && q.stamp == "stamp-"+limit.server {
				toldAt[vm] = q.ended
			}
		}
		d.coverage.limited += len(times)
		allowed := int(1.5*limitWindow.Minutes()*float64(limit.perMinute)) + limitSlack
		for i, at := range times {
			last, _ := slices.BinarySearchFunc(times, at.Add(limitWindow), time.Time.Compare)
			if last-i > allowed {
				list = append(list, fmt.Sprintf("%s with a limit of %d requests a minute got %d in %s, %d are allowed", limit.server, limit.perMinute, last-i, limitWindow, allowed))
				break
			}
		}
	}
	return list
}
