package once

import (
	"strconv"
	"strings"

	"mangostile/internal/base/clock"

	"github.com/google/uuid"
)

// KeyWindow is how long, in ms, after the time in its key a request is accepted and its
// outcome is stored.
const KeyWindow = clock.Hour

// MaxKeyAhead is how far, in ms, the time in a key may be ahead of the log service's
// clock.
const MaxKeyAhead = clock.Minute

// MinRetention is the minimum time, in ms, for which the log service must retain records.
const MinRetention = 2 * clock.Hour

// keyDigits is the number of digits of the time in a key that is not a UUID.
const keyDigits = 13

// KeyTime returns the wall clock time in an idempotency key: that of a UUIDv7, or of a
// key that begins with 13 digits of milliseconds since the Unix epoch and a hyphen. It
// reports false for any other key.
func KeyTime(key string) (clock.Millis, bool) {
	if id, err := uuid.Parse(key); err == nil {
		seconds, nanos := id.Time().UnixTime()
		return clock.Millis(seconds*1000 + nanos/1e6), id.Version() == 7
	}
	digits, _, found := strings.Cut(key, "-")
	if !found || len(digits) != keyDigits {
		return 0, false
	}
	millis, err := strconv.ParseInt(digits, 10, 64)
	return clock.Millis(millis), err == nil && millis > 0
}

// scopeSeparator joins the parts of a scoped key.
const scopeSeparator = "\x00"

// Scope returns the scoped key, which differs for equal keys of different callers or
// services.
func Scope(caller, service, key string) string {
	return caller + scopeSeparator + service + scopeSeparator + key
}

// scopedTime returns KeyTime of the idempotency key in a scoped key.
func scopedTime(scoped string) (clock.Millis, bool) {
	return KeyTime(scoped[strings.LastIndex(scoped, scopeSeparator)+1:])
}
