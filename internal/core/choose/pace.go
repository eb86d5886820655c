package choose

// prefillRate returns the number of prompt tokens that an engine reads per ms.
func (c *Core) prefillRate(*view) float64 { return c.cfg.Policy.PrefillPerMS }

// plainTime returns the time in ms of a request at an idle backend server of a plain service.
func (c *Core) plainTime(*view) float64 { return plainRequestCost }

// paceAdmits reports whether a backend server that has just started, or that has recovered, can take
// r now.
func (c *Core) paceAdmits(*Request, *view) bool { return true }
