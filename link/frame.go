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
	// maxArrayElements, maxMapPairs and maxNesting limit what Decode accepts from a peer.
	maxArrayElements = 1 << 16
	maxMapPairs      = 256
	maxNesting       = 8
)

var (
	encMode = cborlimit.NewEncMode()
	decMode = cborlimit.NewDecMode(cborlimit.Limits{MaxElements: maxArrayElements, MaxPairs: maxMapPairs, MaxDepth: maxNesting})
)

// Encode returns m as one frame: the length of the body as 4 big-endian bytes, then the
// body in CBOR. It fails with ErrFrame if m cannot be encoded or the body is larger than
// maxBytes. It does not check that the field that m.Kind identifies is set; Decode does.
func Encode(m contract.Message, maxBytes int) ([]byte, error) {
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "encode message"), ErrFrame)
	}
	if len(body) > maxBytes {
		return nil, errors.Wrapf(ErrFrame, "body of %d bytes exceeds limit of %d bytes", len(body), maxBytes)
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	return append(frame, body...), nil
}

// Decode reads one frame from r. It fails with ErrFrame if the body is larger than
// maxBytes or malformed CBOR, or if the field that the message's kind identifies is not
// set. It fails with io.EOF if r ends before the first byte of the frame, or between the
// length and the body, and with io.ErrUnexpectedEOF if r ends within either. Other errors of
// r are returned as they are or wrapped.
func Decode(r io.Reader, maxBytes int) (contract.Message, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return contract.Message{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if int64(size) > int64(maxBytes) {
		return contract.Message{}, errors.Wrapf(ErrFrame, "body of %d bytes exceeds limit of %d bytes", size, maxBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return contract.Message{}, errors.Wrap(err, "read frame body")
	}
	var m contract.Message
	if err := decMode.Unmarshal(body, &m); err != nil {
		return contract.Message{}, errors.Mark(errors.Wrap(err, "decode message"), ErrFrame)
	}
	if !m.Consistent() {
		return contract.Message{}, errors.Wrapf(ErrFrame, "message of kind %d without the field of that kind", m.Kind)
	}
	return m, nil
}
