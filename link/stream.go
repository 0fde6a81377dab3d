package link

import (
	"bufio"
	"io"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"mimosastand.example/mimosastand/contract"
)

const readBufferBytes = 4 << 10

// Stream carries messages in both directions. Send may be called concurrently, Recv may
// not.
type Stream struct {
	qs         *quic.Stream
	idleReader *idleTimeoutReader
	reader     *bufio.Reader
	maxBytes   int
	sendMu     sync.Mutex
}

func newStream(qs *quic.Stream, maxBytes int) *Stream {
	idleReader := &idleTimeoutReader{source: qs}
	return &Stream{qs: qs, idleReader: idleReader, reader: bufio.NewReaderSize(idleReader, readBufferBytes), maxBytes: maxBytes}
}

// deadlineReader is a reader whose reads can be bounded in time.
type deadlineReader interface {
	io.Reader
	SetReadDeadline(time.Time) error
}

// idleTimeoutReader bounds each read from source by timeout. A timeout of 0 leaves the
// deadline of source unchanged.
type idleTimeoutReader struct {
	source  deadlineReader
	timeout time.Duration
}

// Read implements io.Reader.
func (r *idleTimeoutReader) Read(b []byte) (int, error) {
	if r.timeout > 0 {
		if err := r.source.SetReadDeadline(time.Now().Add(r.timeout)); err != nil {
			return 0, err
		}
	}
	return r.source.Read(b)
}

// SetReadIdleTimeout bounds how long the next Recv calls wait for further bytes of a
// message. It does not bound the time for the complete message, which may be large. It
// overrides SetReadDeadline.
func (s *Stream) SetReadIdleTimeout(d time.Duration) { s.idleReader.timeout = d }

// Send writes m. It fails with ErrFrame if m cannot be encoded or is too large, otherwise
// with ErrClosed or ErrSilent.
func (s *Stream) Send(m contract.Message) error {
	frame, err := Encode(m, s.maxBytes)
	if err != nil {
		return err
	}
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	_, err = s.qs.Write(frame)
	return translateError(err)
}

// Recv reads the next message. It fails with io.EOF if the peer has closed its side
// between two frames (or between a frame's length and its body), with ErrFrame if the
// frame is invalid, otherwise with ErrClosed or ErrSilent.
func (s *Stream) Recv() (contract.Message, error) {
	m, err := Decode(s.reader, s.maxBytes)
	return m, translateError(err)
}

// SetReadDeadline sets the time at which Recv calls fail.
func (s *Stream) SetReadDeadline(t time.Time) error {
	return translateError(s.qs.SetReadDeadline(t))
}

// SetWriteDeadline sets the time at which Send calls fail.
func (s *Stream) SetWriteDeadline(t time.Time) error {
	return translateError(s.qs.SetWriteDeadline(t))
}

// CloseSend closes the sending direction: the peer's Recv fails with io.EOF after the
// messages already sent.
func (s *Stream) CloseSend() error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	return translateError(s.qs.Close())
}

// Close closes both directions. Messages already sent are still delivered.
func (s *Stream) Close() {
	_ = s.CloseSend()
	s.qs.CancelRead(codeReset)
}

// Reset aborts both directions at once. Messages in flight may be lost.
func (s *Stream) Reset() {
	s.qs.CancelWrite(codeReset)
	s.qs.CancelRead(codeReset)
}
