package fleet

import (
	"net/http"

	"mangostile/internal/core/topo"
)

// unknownKeyReason is the reason of refusing a request without a valid key.
const unknownKeyReason = "the request has no key that the configuration knows"

// identifyCustomer looks up whose request it is by its key, unless it needs none. If the key is not
// valid, identifyCustomer has answered the caller and reports false.
func (c *exchange) identifyCustomer(cfg *topo.Config) bool {
	if cfg.Customers == nil || c.route.Open {
		return true
	}
	if key := c.node.system.ReadKey(c.r.Header); key != "" {
		c.customer = cfg.Customers.ByKey(topo.HashKey(key))
	}
	if c.customer == nil {
		c.node.meter.UnknownKey()
		c.fail(http.StatusUnauthorized, unknownKeyReason)
		return false
	}
	return true
}
