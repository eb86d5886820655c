package door

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzScanHead checks that the end and the lines of a head are found alike, however it is cut into reads.
func FuzzScanHead(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\nbody\n\n"), uint8(3))
	f.Add([]byte("GET / HTTP/1.1\nHost: h\n\n"), uint8(1))
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;e=x\r\nx\r\n0\r\nt: 1\r\n\r\n"), uint8(7))
	f.Add([]byte(strings.Repeat("a:\r\n", 100)), uint8(2))
	f.Add([]byte("\r\r\n\r\r\n"), uint8(1))
	f.Fuzz(func(t *testing.T, data []byte, size uint8) {
		var whole, cut Conn
		whole.scanHead(data)
		for part := range chunks(data, max(1, int(size))) {
			if !cut.headOver {
				cut.scanHead(part)
			}
		}
		must.Eq(t, whole.headOver, cut.headOver)
		must.Eq(t, whole.lines, cut.lines)
		must.LessEq(t, bytes.Count(data, []byte("\n")), whole.lines)
		if end := bytes.Index(data, []byte("\r\n\r\n")); end >= 0 {
			must.True(t, whole.headOver)
			must.LessEq(t, bytes.Count(data[:end+4], []byte("\n")), whole.lines)
		}
	})
}

// chunks yields data in parts of n bytes.
func chunks(data []byte, n int) func(func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(data) > 0 {
			part := data[:min(n, len(data))]
			if !yield(part) {
				return
			}
			data = data[len(part):]
		}
	}
}
