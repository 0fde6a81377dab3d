package backend

import (
	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
)

var (
	// ErrNotSent means that no connection was made, so that nothing was written.
	ErrNotSent = errors.New("backend: not sent")
	// ErrRefused marks a call that the engine refused before it started the work.
	ErrRefused = errors.New("backend: refused")
	// ErrOverloaded is the refusal of an engine that has no room or no weights.
	ErrOverloaded = errors.New("backend: overloaded")
	// ErrDigest is the refusal of an engine whose active version is another one.
	ErrDigestMismatch = errors.New("backend: other weights are active")
	// ErrBadCall is the refusal of a call that the engine does not understand.
	ErrBadCall = errors.New("backend: bad call")
	// ErrNotWhole is the refusal of a chunk or version that fails verification.
	ErrNotVerified = errors.New("backend: version or chunk is not whole")
	// ErrNoReport is the answer of a service that reports no load.
	ErrNoReport = errors.New("backend: no report")
	// ErrLost means that the call may have reached the back end and that no
	// usable reply came back.
	ErrReplyLost = errors.New("backend: reply lost")
	// ErrCut means that an answer broke off or had a gap.
	ErrTruncated = errors.New("backend: answer cut")
	// ErrTooLarge means that an answer or a line of it is over its limit.
	ErrTooLarge = errors.New("backend: answer too large")
)

// FencedError is returned for an order whose fencing number is out of date.
type FencedError struct {
	// Highest is the highest fencing number that the engine has seen.
	Highest contract.Fence
}

// Error implements error.
func (e *FencedError) Error() string {
	return "backend: order has an old fencing number"
}
