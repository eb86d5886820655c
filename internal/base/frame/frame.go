// Package frame encodes msgpack values as length-prefixed frames and reads them from a
// byte stream.
package frame

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"mangostile/internal/base/quota"
	"mangostile/internal/base/units"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxBytes is the maximum length of a frame's payload, in bytes.
const MaxBytes = 4 << 20

// headerBytes is the length of a frame's header: four bytes of payload length, big-endian,
// and one byte of type tag.
const headerBytes = 5

// TooLongError reports a frame whose payload is longer than MaxBytes.
type TooLongError struct {
	Bytes int
}

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("frame of %d bytes is longer than %d: check that the peer address is an entry VM's peer address", e.Bytes, MaxBytes)
}

// Append appends a frame with the type tag and the encoded value to buf. It returns a
// TooLongError if the payload exceeds MaxBytes.
func Append(buf []byte, tag byte, value any) ([]byte, error) {
	payload, err := encode(value)
	if err != nil {
		return buf, errors.Wrap(err, "encode frame")
	}
	if len(payload) > MaxBytes {
		return buf, &TooLongError{Bytes: len(payload)}
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(payload)))
	buf = append(buf, tag)
	return append(buf, payload...), nil
}

// encode encodes value with the shortest encoding of each integer.
func encode(value any) ([]byte, error) {
	var payload bytes.Buffer
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&payload)
	encoder.UseCompactInts(true)
	err := encoder.Encode(value)
	return payload.Bytes(), err
}

// Read reads one frame into memory that h holds, and returns its type tag and payload. It returns a TooLongError if
// the header gives more than MaxBytes, and io.EOF if the stream ends between two frames.
// Compare that with ==: a stream that ends right after a header gives a wrapped io.EOF.
func Read(r *bufio.Reader, h *quota.Hold) (tag byte, payload []byte, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(header[:4])
	if length > MaxBytes {
		return 0, nil, &TooLongError{Bytes: int(length)}
	}
	payload, err = h.ReadAll(io.LimitReader(r, int64(length)), units.Bytes(length), MaxBytes)
	if err == nil && len(payload) < int(length) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return 0, nil, errors.Wrap(err, "read frame payload")
	}
	return header[4], payload, nil
}

// Decode decodes a payload into value.
func Decode(payload []byte, value any) error {
	return errors.Wrap(msgpack.Unmarshal(payload, value), "decode frame")
}
