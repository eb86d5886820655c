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
	// placementPeriod is the interval between placement passes.
	placementPeriod = clock.Second
	// rowScanPeriod is the minimum interval between scans of the whole table.
	rowScanPeriod = 5 * clock.Second
)

// placement is the state of the placement passes.
type placement struct {
	lastPassAt clock.Millis
	// pinnedRows holds the enabled rows with a minimum number of copies. They were read
	// at rowsAt, when the table's next offset was rowsNext.
	pinnedRows []*table.Row
	rowsNext   units.Offset
	rowsAt     clock.Millis
	desired    []place.DesiredCopy
	// candidates holds the usable engines of candidatesBase. selected is reused for each
	// call of place.SelectServers.
	candidates []place.Candidate
	selected   []place.Candidate
	// candidatesBase is the base model that candidates serve.
	candidatesBase units.ModelName
}

// placeCopies gives the owner the desired copies, so that adapters are loaded before a
// request needs them.
func (c *Core) placeCopies(out *event.Effects) {
	p := &c.placement
	if c.now-p.lastPassAt < placementPeriod {
		return
	}
	p.lastPassAt = c.now
	p.desired = p.desired[:0]
	c.addMinimumCopies()
	c.addNewVersions()
	c.Owner.SetDesiredCopies(c.now, p.desired, out)
}

// addMinimumCopies adds the minimum number of copies of each row, except those on servers
// that other entry VMs own.
func (c *Core) addMinimumCopies() {
	p := &c.placement
	if p.rowsNext != c.Table.Next() && c.now-p.rowsAt >= rowScanPeriod {
		p.rowsNext, p.rowsAt = c.Table.Next(), c.now
		p.pinnedRows = p.pinnedRows[:0]
		for row := range c.Table.All() {
			if row.MinCopies > 0 && row.Enabled {
				p.pinnedRows = append(p.pinnedRows, row)
			}
		}
		slices.SortFunc(p.pinnedRows, func(a, b *table.Row) int {
			return cmp.Or(cmp.Compare(a.Base, b.Base), cmp.Compare(a.Adapter, b.Adapter))
		})
	}
	p.candidatesBase = ""
	for _, row := range p.pinnedRows {
		if row.Base != p.candidatesBase {
			c.collectCandidates(row.Base)
		}
		for _, v := range row.Versions {
			if v.Weight > 0 {
				c.addPinnedCopies(row, units.AdapterVersion{Adapter: row.Adapter, Version: v.Version})
			}
		}
	}
}

func (c *Core) collectCandidates(base units.ModelName) {
	p := &c.placement
	p.candidatesBase = base
	p.candidates = p.candidates[:0]
	for _, s := range c.Router.Servers() {
		if s.Spec.Kind == event.KindEngine && s.Spec.Base == base && s.Summary.Usable && !s.Leaving {
			p.candidates = append(p.candidates, place.Candidate{Server: s.ID(), Hash: xxhash.Sum64String(s.Spec.ID)})
		}
	}
}

func (c *Core) addPinnedCopies(row *table.Row, av units.AdapterVersion) {
	p := &c.placement
	p.selected = place.SelectServers(p.selected[:0], av, int(row.MinCopies), p.candidates)
	for _, keeper := range p.selected {
		if c.Owner.Owns(keeper.Server) {
			p.desired = append(p.desired, place.DesiredCopy{Server: keeper.Server, Adapter: av, Pinned: true})
		}
	}
}

// addNewVersions adds copies of versions that have weight but no copy yet, on owned
// servers that hold another version of the adapter, so that the new version is loaded
// before the old one is removed.
func (c *Core) addNewVersions() {
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
					c.placement.desired = append(c.placement.desired, place.DesiredCopy{Server: s.ID(), Adapter: next})
				}
			}
		}
	}
}
