package link

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

var (
	// ErrSilent marks a connection closed because no heartbeat arrived in time.
	ErrSilent = errors.New("link: peer is silent")
	// ErrClosed marks an operation on a connection or stream that has ended.
	ErrClosed = errors.New("link: closed")
	// ErrFrame marks bytes that are not a valid frame, or a frame over the size limit.
	ErrFrame = errors.New("link: bad frame")
	// ErrPeer marks a peer whose certificate does not name a machine and a role.
	ErrPeerIdentity = errors.New("link: peer has no valid identity")
	// ErrDial marks a connection that could not be made.
	ErrDial = errors.New("link: cannot connect")
)

// Application error codes on QUIC connections and streams.
const (
	codeClosed quic.ApplicationErrorCode = 0
	codeSilent quic.ApplicationErrorCode = 1
	codePeer   quic.ApplicationErrorCode = 2

	codeReset quic.StreamErrorCode = 1
)

// translate turns an error of the transport into one of this package.
func translate(err error) error {
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
