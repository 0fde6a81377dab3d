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

// Stream carries messages both ways. Send may be called concurrently; Recv may
// not.
type Stream struct {
	qs       *quic.Stream
	patient  *patientReader
	reader   *bufio.Reader
	maxBytes int
	sendMu   sync.Mutex
}

func newStream(qs *quic.Stream, maxBytes int) *Stream {
	patient := &patientReader{source: qs}
	return &Stream{qs: qs, patient: patient, reader: bufio.NewReaderSize(patient, readBufferBytes), maxBytes: maxBytes}
}

// source is what a patientReader reads.
type source interface {
	io.Reader
	SetReadDeadline(time.Time) error
}

// patientReader waits for each part of what it reads for as long as its patience; 0
// leaves the source's deadline as it is.
type patientReader struct {
	source   source
	patience time.Duration
}

// Read implements io.Reader.
func (r *patientReader) Read(b []byte) (int, error) {
	if r.patience > 0 {
		if err := r.source.SetReadDeadline(time.Now().Add(r.patience)); err != nil {
			return 0, err
		}
	}
	return r.source.Read(b)
}

// SetReadPatience bounds how long the next Recv calls wait for the next bytes of a
// message, however many there are. It replaces SetReadDeadline.
func (s *Stream) SetReadIdleTimeout(d time.Duration) { s.patient.patience = d }

// Send writes m. It fails with ErrFrame if m is too large, else with ErrClosed
// or ErrSilent.
func (s *Stream) Send(m contract.Message) error {
	frame, err := Encode(m, s.maxBytes)
	if err != nil {
		return err
	}
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	_, err = s.qs.Write(frame)
	return translate(err)
}

// Recv reads the next message. It fails with io.EOF after the peer closed its
// side between two frames, with ErrFrame on bytes that are no frame, else with
// ErrClosed or ErrSilent.
func (s *Stream) Recv() (contract.Message, error) {
	m, err := Decode(s.reader, s.maxBytes)
	return m, translate(err)
}

// SetReadDeadline bounds the next Recv calls.
func (s *Stream) SetReadDeadline(t time.Time) error {
	return translate(s.qs.SetReadDeadline(t))
}

// SetWriteDeadline bounds the next Send calls.
func (s *Stream) SetWriteDeadline(t time.Time) error {
	return translate(s.qs.SetWriteDeadline(t))
}

// CloseSend tells the peer that no more messages follow.
func (s *Stream) CloseSend() error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	return translate(s.qs.Close())
}

// Close ends both directions. Messages already sent still arrive.
func (s *Stream) Close() {
	_ = s.CloseSend()
	s.qs.CancelRead(codeReset)
}

// Reset ends both directions at once; messages under way may be lost.
func (s *Stream) Reset() {
	s.qs.CancelWrite(codeReset)
	s.qs.CancelRead(codeReset)
}
