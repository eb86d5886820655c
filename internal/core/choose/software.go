package choose

// noSoftwareReason is the reason of refusing to go on with a stream that no backend server can go
// on with.
const noSoftwareReason = "no backend server of the software version that began the stream: send the request without the last event's id"

// canGoOn reports whether the service has a backend server, also one that asks for a back-off, at
// which the stream of r can go on.
func (c *Core) canGoOn(r *Request) bool {
	for _, v := range c.byService[r.Service] {
		if !v.isLeaving() && !r.startedElsewhere(v) {
			return true
		}
	}
	return false
}

// startedElsewhere reports whether r has begun at another version than that of v.
func (r *Request) startedElsewhere(v *view) bool { return r.Started && v.Software != r.Software }
