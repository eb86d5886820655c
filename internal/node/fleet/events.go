package fleet

import (
	"bytes"
	"strconv"

	"mangostile/internal/base/quota"
	"mangostile/internal/base/units"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event of a stream. A backend server in trouble may send bytes
// without end that are no event.
const maxEventBytes = 1 << 20

// errLongEvent ends an attempt whose stream has an event of more than maxEventBytes.
var errLongEvent = errors.New("an event of the stream does not end")

// eventBuffer splits a stream of bytes into complete events.
type eventBuffer struct {
	data  []byte
	count int
	// held is the memory of data.
	held *quota.Hold
}

// add appends what was read of the stream. The error is errLongEvent or a quota.FullError.
func (b *eventBuffer) add(data []byte) error {
	size := len(b.data) + len(data)
	if size > maxEventBytes {
		return errLongEvent
	}
	if size > cap(b.data) {
		if err := b.held.Resize(units.Bytes(2 * size)); err != nil {
			return err
		}
		b.data = append(make([]byte, 0, 2*size), b.data...)
	}
	b.data = append(b.data, data...)
	return nil
}

// partial reports whether an incomplete event is buffered.
func (b *eventBuffer) partial() bool { return len(bytes.TrimSpace(b.data)) > 0 }

// eventEnd ends an event.
var eventEnd = []byte("\n\n")

// errForeignEvent ends an attempt whose stream holds something else, such as another answer.
var errForeignEvent = errors.New("the stream holds bytes that are no event of it")

// take removes the complete events from the buffer and returns those that were not yet
// forwarded to the caller, up to one that does not belong to the stream. It sets c.lastEvent to the
// id of the last one that has an id.
func (b *eventBuffer) take(c *exchange) ([]byte, error) {
	var out []byte
	for {
		end := bytes.Index(b.data, eventEnd)
		if end < 0 {
			return out, nil
		}
		event := b.data[:end+len(eventEnd)]
		b.data = b.data[end+len(eventEnd):]
		id := eventID(event)
		if !isEvent(event) || id == "" && c.lastEvent != "" && hasData(event) {
			return out, errForeignEvent
		}
		b.count++
		if id != "" && c.lastEvent != "" && !later(id, c.lastEvent) {
			continue
		}
		if id != "" {
			c.lastEvent = id
		}
		out = append(out, event...)
	}
}

// isEvent reports whether event is one: it consists of fields and comments. Fields that only the
// backend server knows make an event together with data or an id.
func isEvent(event []byte) bool {
	known, hasContent := true, false
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found || bytes.ContainsFunc(name, func(r rune) bool { return r != '-' && (r < 'a' || r > 'z') }) {
			return false
		}
		switch string(name) {
		case "id", "data":
			hasContent = true
		case "event", "retry":
		default:
			known = false
		}
	}
	return known || hasContent
}

// dataField begins the lines of an event that hold its data.
var dataField = []byte("data:")

// hasData reports whether events hold data, unlike comments that keep a connection alive.
func hasData(events []byte) bool {
	return bytes.HasPrefix(events, dataField) || bytes.Contains(events, append([]byte("\n"), dataField...))
}

// eventID returns the id of an event, empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}

// later reports whether the event id comes after other. If one of them is not a number,
// any id other than other counts as later.
func later(id, other string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(other, 10, 64)
	if errA != nil || errB != nil {
		return id != other
	}
	return a > b
}
