package link

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/cborlimit"
)

const (
	frameHeaderBytes = 4
	maxArrayElements = 1 << 16
	maxMapPairs      = 256
	maxNesting       = 8
)

var (
	encMode = cborlimit.NewEncMode()
	decMode = cborlimit.NewDecMode(cborlimit.Limits{MaxElements: maxArrayElements, MaxPairs: maxMapPairs, MaxDepth: maxNesting})
)

// Encode returns m as one frame: a big-endian length of 4 bytes, then CBOR. It
// fails with ErrFrame if the encoding is larger than maxBytes.
func Encode(m contract.Message, maxBytes int) ([]byte, error) {
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "encode"), ErrFrame)
	}
	if len(body) > maxBytes {
		return nil, errors.Wrapf(ErrFrame, "%d bytes, at most %d", len(body), maxBytes)
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	return append(frame, body...), nil
}

// Decode reads one frame from r. It fails with ErrFrame on a frame larger than
// maxBytes, on malformed CBOR and on a message whose kind and field disagree,
// and with io.EOF if r ends before the first byte.
func Decode(r io.Reader, maxBytes int) (contract.Message, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return contract.Message{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if int64(size) > int64(maxBytes) {
		return contract.Message{}, errors.Wrapf(ErrFrame, "%d bytes, at most %d", size, maxBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return contract.Message{}, errors.Wrap(err, "read frame")
	}
	var m contract.Message
	if err := decMode.Unmarshal(body, &m); err != nil {
		return contract.Message{}, errors.Mark(errors.Wrap(err, "decode"), ErrFrame)
	}
	if !m.Consistent() {
		return contract.Message{}, errors.Wrapf(ErrFrame, "kind %d without its field", m.Kind)
	}
	return m, nil
}
