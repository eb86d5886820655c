package blame

import "mangostile/internal/base/clock"

// Term is how long a key is quarantined. MaxTerm bounds terms given by others.
const (
	Term    = 15 * clock.Minute
	MaxTerm = clock.Hour
)
