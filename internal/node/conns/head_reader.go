package conns

import (
	"io"

	"mangostile/internal/base/quota"
	"mangostile/internal/base/units"

	"github.com/pkg/errors"
)

// maxHeadBytes bounds the head of an answer, with interim answers before it. Without a bound a
// server in trouble could fill the memory with a line or headers that never end.
const maxHeadBytes = 64 << 10

// longHeadMemory is the memory held for a head that is longer than a read buffer: for what was read,
// and for the parts of it that grow meanwhile.
const longHeadMemory units.Bytes = 2 * maxHeadBytes

// noLimit is the value of headReader.left while a body is read.
const noLimit = -1

// errLongHead ends the reading of a head that is longer than maxHeadBytes.
var errLongHead = errors.New("the head is longer than 64 KiB")

// headReader limits the bytes that are read from a connection while a head is awaited.
type headReader struct {
	io.Reader
	// left is the number of bytes that may still be read, or noLimit.
	left int
	// hold holds the memory of a long head until the end of the exchange.
	hold *quota.Hold
}

// Read implements io.Reader.
func (h *headReader) Read(buf []byte) (int, error) {
	if h.left == noLimit {
		return h.Reader.Read(buf)
	}
	if h.left == 0 {
		return 0, errLongHead
	}
	if h.left <= maxHeadBytes-readBuffer {
		if err := h.hold.Resize(longHeadMemory); err != nil {
			return 0, err
		}
	}
	n, err := h.Reader.Read(buf[:min(len(buf), h.left)])
	h.left -= n
	return n, err
}
