package backend

import (
	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
)

var (
	// ErrNotSent means that no connection was made, so that nothing was sent.
	ErrNotSent = errors.New("backend: call not sent")
	// ErrRefused marks a call that the engine refused before it started the work.
	ErrRefused = errors.New("backend: call refused")
	// ErrOverloaded is the refusal of an engine that has no free capacity or no weights.
	ErrOverloaded = errors.New("backend: engine is overloaded or has no weights")
	// ErrDigestMismatch is the refusal of an engine whose active version is a different
	// one.
	ErrDigestMismatch = errors.New("backend: digest does not match the active version")
	// ErrBadCall is the refusal of a call that is malformed or that the engine does not
	// understand.
	ErrBadCall = errors.New("backend: invalid call")
	// ErrNotVerified is the refusal of a chunk or version that fails verification.
	ErrNotVerified = errors.New("backend: version or chunk failed verification")
	// ErrNoReport means that a service does not report its load.
	ErrNoReport = errors.New("backend: service does not report its load")
	// ErrReplyLost means that the call may have reached the back end, but no usable reply
	// was received.
	ErrReplyLost = errors.New("backend: no usable reply received")
	// ErrTruncated means that an answer broke off or had a gap.
	ErrTruncated = errors.New("backend: answer is truncated or has a gap")
	// ErrTooLarge means that a line or an event of an answer exceeds its limit.
	ErrTooLarge = errors.New("backend: answer exceeds the size limit")
)

// FencedError is returned for an order whose fencing number is out of date.
type FencedError struct {
	// Highest is the highest fencing number that the engine has seen.
	Highest contract.Fence
}

// Error implements error.
func (e *FencedError) Error() string {
	return "backend: fencing number of the order is out of date"
}
