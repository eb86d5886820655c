package quota

import (
	"io"

	"mangostile/internal/base/units"

	"github.com/pkg/errors"
)

// Sizes of the buffer of ReadAll.
const (
	// firstBuffer is its first size if the length is not known.
	firstBuffer units.Bytes = 4 << 10
	// wholeBuffer is the length up to which a buffer of it is allocated at once. Who states a
	// longer one has to send it first.
	wholeBuffer units.Bytes = 64 << 10
)

// ErrTooLong is returned for more bytes than the limit of ReadAll.
var ErrTooLong = errors.New("longer than the limit")

// ReadAll reads r to its end into memory that h holds. stated is the length that is expected, below 0 if
// it is not known; it saves memory and need not be true. The error is ErrTooLong if r has more than limit
// bytes, a FullError, or that of r; the bytes read so far are returned with it. Bytes of a nil Hold are
// not counted.
func (h *Hold) ReadAll(r io.Reader, stated, limit units.Bytes) ([]byte, error) {
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			var err error
			if buf, err = h.grow(buf, stated, limit); err != nil {
				return buf, err
			}
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case units.Bytes(len(buf)) > limit:
			return buf, ErrTooLong
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return buf, err
		}
	}
}

// grow returns buf with a larger capacity. One byte more than the stated length and the limit shows
// the end, or that it goes on.
func (h *Hold) grow(buf []byte, stated, limit units.Bytes) ([]byte, error) {
	size := units.Bytes(cap(buf))
	next := max(firstBuffer, 2*size)
	if stated >= size {
		next = min(max(next, wholeBuffer), stated+1)
	}
	next = min(next, limit+1)
	held := units.Bytes(0)
	if h != nil {
		held = h.size - size
	}
	// Both buffers are held while one is copied to the other.
	if err := h.Resize(held + size + next); err != nil {
		return buf, err
	}
	grown := make([]byte, len(buf), next)
	copy(grown, buf)
	return grown, h.Resize(held + next)
}
