package homes

// State sums up a Placer for logs.
type State struct {
	Servers, Synced int
	// Copies counts adapters by state; Idle those that are ready and unused.
	Ready, Idle, Loading, Retired, Unloading int
	// Wants counts adapters that requests wait for, Waiting the requests.
	Wants, Waiting int
	InFlight       int
	// Slowness is by how much loads are taken to last longer than the settings say.
	Slowness float64
}

// State returns the present state.
func (p *Placer) State() State {
	st := State{Servers: len(p.servers), Wants: len(p.wants), InFlight: p.loadsInFlight(), Slowness: p.slowness}
	for _, s := range p.servers {
		if s.synced {
			st.Synced++
		}
		for _, c := range s.copies {
			switch c.state {
			case copyLoading:
				st.Loading++
			case copyReady:
				st.Ready++
				if c.active == 0 {
					st.Idle++
				}
			case copyRetired:
				st.Retired++
			case copyUnloading:
				st.Unloading++
			}
		}
	}
	for _, w := range p.wants {
		for _, n := range w.from {
			st.Waiting += int(n)
		}
	}
	return st
}
