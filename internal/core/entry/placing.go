package entry

import (
	"cmp"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/place"
	"mangostile/internal/core/table"

	"github.com/cespare/xxhash/v2"
)

const (
	// placePeriod is the time between two passes of placement.
	placePeriod = clock.Second
	// rowsPeriod is the least time between two looks through the whole table.
	rowsPeriod = 5 * clock.Second
)

// placing is the state of placement.
type placing struct {
	at clock.Millis
	// rows holds those with a minimum of copies, as of rowsNext and rowsAt.
	rows     []*table.Row
	rowsNext units.Offset
	rowsAt   clock.Millis
	wants    []place.Want
	keepers  []place.Keeper
	kept     []place.Keeper
	// base is the model that keepers serve.
	base units.ModelName
}

// placeCopies tells the owner which copies are to be there before a request asks
// for them.
func (c *Core) placeCopies(out *event.Effects) {
	p := &c.placing
	if c.now-p.at < placePeriod {
		return
	}
	p.at = c.now
	p.wants = p.wants[:0]
	c.wantMinimum()
	c.wantNewVersions()
	c.Owner.SetWants(c.now, p.wants, out)
}

// wantMinimum wants the minimum of copies of each row on the own servers among
// those that keep them.
func (c *Core) wantMinimum() {
	p := &c.placing
	if p.rowsNext != c.Table.Next() && c.now-p.rowsAt >= rowsPeriod {
		p.rowsNext, p.rowsAt = c.Table.Next(), c.now
		p.rows = p.rows[:0]
		for row := range c.Table.All() {
			if row.MinCopies > 0 && row.Enabled {
				p.rows = append(p.rows, row)
			}
		}
		slices.SortFunc(p.rows, func(a, b *table.Row) int {
			return cmp.Or(cmp.Compare(a.Base, b.Base), cmp.Compare(a.Adapter, b.Adapter))
		})
	}
	p.base = ""
	for _, row := range p.rows {
		if row.Base != p.base {
			c.usableKeepers(row.Base)
		}
		for _, v := range row.Versions {
			if v.Weight > 0 {
				c.wantPinned(row, units.AdapterVersion{Adapter: row.Adapter, Version: v.Version})
			}
		}
	}
}

func (c *Core) usableKeepers(base units.ModelName) {
	p := &c.placing
	p.base = base
	p.keepers = p.keepers[:0]
	for _, s := range c.Router.Servers() {
		if s.Spec.Kind == event.KindEngine && s.Spec.Base == base && s.Summary.Usable && !s.Leaving {
			p.keepers = append(p.keepers, place.Keeper{Server: s.ID(), Hash: xxhash.Sum64String(s.Spec.ID)})
		}
	}
}

func (c *Core) wantPinned(row *table.Row, av units.AdapterVersion) {
	p := &c.placing
	p.kept = place.Keepers(p.kept[:0], av, int(row.MinCopies), p.keepers)
	for _, keeper := range p.kept {
		if c.Owner.Owns(keeper.Server) {
			p.wants = append(p.wants, place.Want{Server: keeper.Server, Adapter: av, Pinned: true})
		}
	}
}

// wantNewVersions wants a version that has weight and no copy yet on the own
// servers that have another version of the adapter, so that it is there before
// the other goes.
func (c *Core) wantNewVersions() {
	for _, s := range c.Router.Servers() {
		if s.Spec.Kind != event.KindEngine || !c.Owner.Owns(s.ID()) {
			continue
		}
		for _, av := range s.Summary.Resident {
			row := c.Table.Row(av.Adapter)
			if row == nil || !row.Enabled {
				continue
			}
			for _, v := range row.Versions {
				next := units.AdapterVersion{Adapter: av.Adapter, Version: v.Version}
				if v.Weight > 0 && next != av && c.Router.Copies(next) == 0 {
					c.placing.wants = append(c.placing.wants, place.Want{Server: s.ID(), Adapter: next})
				}
			}
		}
	}
}
