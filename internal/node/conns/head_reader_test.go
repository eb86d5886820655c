package conns

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"mangostile/internal/base/quota"
	"mangostile/internal/base/units"

	"github.com/shoenig/test/must"
)

// TestOnlyLongHeadsHoldMemory guards against answers of sound servers that are refused for lack of memory
// since their short heads come in several parts.
func TestOnlyLongHeadsHoldMemory(t *testing.T) {
	for _, tc := range []struct {
		name   string
		length int
		held   units.Bytes
	}{
		{"short, byte by byte", readBuffer - 1, 0},
		{"longer than the read buffer", readBuffer + 1, longHeadMemory},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := &quota.Pool{Limit: 8 * longHeadMemory}
			h := &headReader{Reader: iotest.OneByteReader(bytes.NewReader(make([]byte, tc.length))), left: maxHeadBytes, hold: p.Hold("s")}
			n, err := io.Copy(io.Discard, h)
			must.NoError(t, err)
			must.Eq(t, tc.length, int(n))
			must.Eq(t, tc.held, p.Used())
		})
	}
	p := &quota.Pool{Limit: longHeadMemory}
	h := &headReader{Reader: bytes.NewReader(make([]byte, maxHeadBytes)), left: maxHeadBytes, hold: p.Hold("s")}
	_, err := io.ReadAll(h)
	must.Error(t, err)
}
