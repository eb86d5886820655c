package choose

import "mangostile/internal/base/clock"

// awaitRoom decides whether r, for which v is the best backend server, gives way to more urgent
// requests: it then waits or is refused. It returns nil if r is to be sent now.
func (c *Core) awaitRoom(*Request, *view, clock.Millis) Choice { return nil }
