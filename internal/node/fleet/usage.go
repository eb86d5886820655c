package fleet

import (
	"context"
	"time"

	"mangostile/internal/base/clock"
)

// usagePeriod is the time between two usage reports; farUsagePeriod that to
// placers of other regions.
const (
	usagePeriod    = 100 * time.Millisecond
	farUsagePeriod = time.Second
	// idleUsagePeriod is the time between two reports without content, which only tell
	// that the entry VM listens.
	idleUsagePeriod = 500 * clock.Millis(1)
	// kickSpacing is the least time between two reports of which one was asked for.
	kickSpacing = 10 * time.Millisecond
)

// reportUsage tells placers what the entry VM uses.
func (n *Node) reportUsage(ctx context.Context) error {
	ticker := time.NewTicker(usagePeriod)
	defer ticker.Stop()
	var farAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-n.kick:
			sleep(ctx, kickSpacing)
		}
		far := time.Since(farAt) >= farUsagePeriod
		if far {
			farAt = time.Now()
		}
		for shard, p := range n.placers {
			n.mu.Lock()
			wanted := n.core.Wanted(shard)
			n.mu.Unlock()
			if far || wanted || shard == string(n.settings.Region) {
				n.reportTo(p)
			}
		}
	}
}

func (n *Node) reportTo(p *placing) {
	holder, address := p.holder()
	if holder == "" {
		return
	}
	n.mu.Lock()
	now := n.clock.Now()
	usage := n.core.Usage(now, p.shard, n.settings.PeerAddress)
	n.mu.Unlock()
	if !usage.Telling() && !p.told && holder == p.toldTo && now < p.toldAt+idleUsagePeriod {
		return
	}
	p.told, p.toldAt, p.toldTo = usage.Telling(), now, holder
	if holder == n.settings.ID {
		p.inputs.Push(usedInput{from: holder, usage: usage})
		return
	}
	n.links.Send(holder, address, usage)
}

// wanted asks for a report at once.
func (n *Node) wanted() {
	select {
	case n.kick <- struct{}{}:
	default:
	}
}
