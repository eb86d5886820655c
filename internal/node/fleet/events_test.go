package fleet

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestIsEvent guards against parts of another answer that pass for an event, and against streams
// that end because of an event without data, such as one that keeps the connection alive.
func TestIsEvent(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		want       bool
	}{
		{"data and id", "id: 1\ndata: x\n\n", true},
		{"data without a blank", "data:x\n\n", true},
		{"two lines of data", "data: x\ndata: y\n\n", true},
		{"carriage returns", "id: 1\r\ndata: x\r\n\n", true},
		{"a comment", ": ping\n\n", true},
		{"only its kind", "event: ping\n\n", true},
		{"only a delay", "retry: 3000\n\n", true},
		{"a field of the backend server's own", "weight-versions: 3\nid: 5\ndata: x\n\n", true},
		{"nothing but such a field", "content-type: text/plain\n\n", false},
		{"text", "Service Unavailable\n\n", false},
		{"JSON", "{\"error\": \"x\"}\n\n", false},
		{"the head of an answer", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n\n\n", false},
		{"a head's field behind data", "data: x\nContent-Length: 0\n\n", false},
	} {
		t.Run(tc.name, func(t *testing.T) { must.Eq(t, tc.want, isEvent([]byte(tc.text))) })
	}
}
