package links

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"sync"

	"mangostile/internal/base/frame"
	"mangostile/internal/base/quota"
	"mangostile/internal/core/peer"

	"github.com/pkg/errors"
)

const (
	// packedTag is set in the tag of a frame whose payload is compressed.
	packedTag byte = 0x80
	// minPackedBytes is the size of a payload from which on it is compressed.
	minPackedBytes = 512
	// headerBytes is the length of a frame's header, which ends with the tag.
	headerBytes = 5
)

var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		// BestSpeed is a valid level.
		panic(err)
	}
	return w
}}

// encode returns the frame of a message, with a compressed payload if packed is true and it is
// worth it.
func encode(m peer.Message, packed bool) ([]byte, error) {
	out, err := frame.Append(nil, tagOf(m), m)
	if err != nil || !packed || len(out) < headerBytes+minPackedBytes {
		return out, err
	}
	var short bytes.Buffer
	short.Grow(len(out) / 2)
	short.Write(out[:headerBytes])
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&short)
	if _, err := w.Write(out[headerBytes:]); err != nil {
		return nil, errors.Wrap(err, "compress a frame")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress a frame")
	}
	if short.Len() >= len(out) {
		return out, nil
	}
	out = short.Bytes()
	binary.BigEndian.PutUint32(out, uint32(len(out)-headerBytes))
	out[headerBytes-1] |= packedTag
	return out, nil
}

// unpack returns the tag and the payload of a frame as they were before encode compressed them, in
// memory that held holds.
func unpack(tag byte, payload []byte, held *quota.Hold) (byte, []byte, error) {
	if tag&packedTag == 0 {
		return tag, payload, nil
	}
	r := flate.NewReader(bytes.NewReader(payload))
	long, err := held.ReadAll(r, -1, frame.MaxBytes)
	switch {
	case errors.Is(err, quota.ErrTooLong):
		return 0, nil, &frame.TooLongError{Bytes: len(long)}
	case err != nil:
		return 0, nil, errors.Wrap(err, "decompress a frame")
	default:
		return tag &^ packedTag, long, nil
	}
}
