package link

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

var (
	// ErrSilent marks a connection closed because no heartbeat arrived in time.
	ErrSilent = errors.New("link: no heartbeat from peer in time")
	// ErrClosed marks an operation on a connection or stream that has ended.
	ErrClosed = errors.New("link: connection or stream closed")
	// ErrFrame marks a frame that is malformed or exceeds the size limit.
	ErrFrame = errors.New("link: invalid frame")
	// ErrPeerIdentity marks a peer whose certificate is not trusted, or does not have a
	// host name and a known role.
	ErrPeerIdentity = errors.New("link: peer has no valid identity")
	// ErrDial marks a failed attempt to make a connection.
	ErrDial = errors.New("link: dial failed")
)

// Application error codes on QUIC connections and streams.
const (
	codeClosed quic.ApplicationErrorCode = 0
	codeSilent quic.ApplicationErrorCode = 1
	codePeer   quic.ApplicationErrorCode = 2

	codeReset quic.StreamErrorCode = 1
)

// translateError maps an error of the transport to one of this package; io.EOF stays.
// An unknown error, such as that of an exceeded deadline, is marked with ErrClosed.
func translateError(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	if errors.Is(err, ErrFrame) {
		return err
	}
	var app *quic.ApplicationError
	if errors.As(err, &app) && app.ErrorCode == codeSilent {
		return errors.Mark(errors.WithMessage(err, "link"), ErrSilent)
	}
	var idle *quic.IdleTimeoutError
	if errors.As(err, &idle) {
		return errors.Mark(errors.WithMessage(err, "link"), ErrSilent)
	}
	return errors.Mark(errors.WithMessage(err, "link"), ErrClosed)
}
