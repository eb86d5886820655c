package fleet

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/quota"

	"github.com/pkg/errors"
)

// callersAccount is the account of the bodies of callers' requests.
const callersAccount quota.Owner = "callers"

// holdAnswer returns a holder of memory for the answer of the backend server.
func (a *attempt) holdAnswer() *quota.Hold {
	return a.node.memory.Hold(quota.Owner(a.to.Address))
}

// noMemoryReason is the reason of refusing a request whose body can't be held.
const noMemoryReason = "no memory is left for the body of the request"

// noMemoryRetryAfter is the retry delay given to callers whose requests' bodies can't be held. Bodies are
// given back as requests end.
const noMemoryRetryAfter = 500 * clock.Millis(1)

// isFull reports whether an error is that no memory was left.
func isFull(err error) bool {
	var full *quota.FullError
	return errors.As(err, &full)
}
