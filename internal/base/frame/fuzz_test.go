package frame

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzRead checks that any input is either read or rejected, and that the tag and payload
// returned are those of the input.
func FuzzRead(f *testing.F) {
	whole, err := Append(nil, 2, map[string]int{"a": 1})
	must.NoError(f, err)
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		tag, payload, err := Read(bufio.NewReader(bytes.NewReader(data)), nil)
		if err != nil {
			return
		}
		must.EqOp(t, data[4], tag)
		must.Eq(t, data[headerBytes:headerBytes+len(payload)], payload)
		var value any
		_ = Decode(payload, &value)
	})
}
