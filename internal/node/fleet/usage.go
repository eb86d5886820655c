package fleet

import (
	"context"
	"math"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/peer"
)

// Timing of usage reports.
const (
	// usagePeriod is the time between two usage reports to the placer of this entry
	// VM's region, remoteUsagePeriod that to placers of other regions unless there are
	// new load requests for their shards.
	usagePeriod       = 100 * time.Millisecond
	remoteUsagePeriod = time.Second
	// idleUsagePeriod is the time between two reports without content, which only
	// renew the subscription to placement updates.
	idleUsagePeriod = 500 * clock.Millis(1)
	// requestedReportDelay is the delay of a report that was requested ahead of its
	// period. It spaces such reports out.
	requestedReportDelay = 10 * time.Millisecond
)

// reportUsage sends usage reports to the placers.
func (n *Node) reportUsage(ctx context.Context) error {
	ticker := time.NewTicker(usagePeriod)
	defer ticker.Stop()
	var remoteAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-n.reportNow:
			sleep(ctx, requestedReportDelay)
		}
		n.logPaces()
		remote := time.Since(remoteAt) >= remoteUsagePeriod
		if remote {
			remoteAt = time.Now()
		}
		for shard, p := range n.placers {
			var newLoadRequests bool
			n.withCore(func(core *choose.Core) { newLoadRequests = core.HasNewLoadRequests(shard) })
			if remote || newLoadRequests || shard == string(n.settings.Region) {
				n.reportTo(p)
			}
		}
	}
}

// logPaces logs the changes of paces that this entry VM found itself.
func (n *Node) logPaces() {
	var news []choose.PaceNews
	n.withCore(func(core *choose.Core) { news = core.TakePaceNews() })
	for _, v := range news {
		n.log.Info("server_pace", "server", v.Server, "pace", math.Round(v.Step.Speed()*100)/100, "window", v.Window)
	}
}

// reportTo sends a usage report to the leaseholder of p's shard. A report without content
// is sent only after one with content, to a new leaseholder, or after idleUsagePeriod.
func (n *Node) reportTo(p *placerWorker) {
	holder, address := p.holder()
	if holder == "" {
		return
	}
	now := n.clock.Now()
	var usage *peer.UsageReport
	n.withCore(func(core *choose.Core) { usage = core.UsageReport(now, p.shard, n.settings.PeerAddress) })
	usage.Capacity = float64(n.settings.Capacity)
	if !usage.HasContent() && !p.reportedContent && holder == p.reportedTo && now < p.reportedAt+idleUsagePeriod {
		return
	}
	p.reportedContent, p.reportedAt, p.reportedTo = usage.HasContent(), now, holder
	if holder == n.settings.ID {
		// Each placer's own entry VM knows the limits.
		n.withCore(func(core *choose.Core) { usage.Backoffs = append(usage.Backoffs, core.HeldBack(now, p.shard)...) })
		p.inputs.Push(usageInput{from: holder, usage: usage})
		return
	}
	n.links.Send(holder, address, usage)
}

// requestReport requests a usage report ahead of its period. It does not block.
func (n *Node) requestReport() {
	select {
	case n.reportNow <- struct{}{}:
	default:
	}
}
