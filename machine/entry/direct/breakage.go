package direct

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/platform"
)

// breakage is why an attempt brought no usable response, a refusal by the target included.
// The values are logged.
type breakage string

const (
	breakageSilent breakage = "silent"
	// breakageSlow attempts were replaced by a hedge, which began to answer before them.
	breakageSlow       breakage = "slow"
	breakageDeadline   breakage = "deadline"
	breakageCallerGone breakage = "caller_gone"
	breakageEndedEarly breakage = "ended_early"
	breakageConnection breakage = "connection"
	breakageNoStamp    breakage = "no_stamp"
	// breakageOtherAttempt responses name another attempt than the one that was sent.
	breakageOtherAttempt breakage = "other_stamp"
	breakageEncoded      breakage = "encoded"
	breakageTooLarge     breakage = "too_large"
	// breakageBuffersFull responses were given up since the responses of all requests buffered
	// too much together.
	breakageBuffersFull breakage = "buffers_full"
	// breakageSlowCaller responses were given up since the caller did not take them, and there was
	// no room to keep more of them.
	breakageSlowCaller breakage = "slow_caller"
	// breakageHeadTooLarge responses have a head that exceeds a bound.
	breakageHeadTooLarge breakage = "head_too_large"
	// breakageInvalidStatus responses have a status that is neither a final nor an informational one.
	breakageInvalidStatus breakage = "invalid_status"
	// breakageUnmarkedRefusal responses have a status that implies that the request has not
	// run, but lack the target's mark that the attempt has not.
	breakageUnmarkedRefusal breakage = "unstamped_promise"
	// breakageNoStream responses are no stream, although the caller has the beginning of one.
	breakageNoStream breakage = "no_stream"
	// breakageOtherVersion responses go on with a stream by another version of the weights.
	breakageOtherVersion breakage = "other_version"
	// breakageStaleChoice attempts were not sent, since the choice of the target was too old
	// by then.
	breakageStaleChoice breakage = "stale_choice"
	// breakageCrashesTargets attempts were given up, since the request had become known to crash
	// targets.
	breakageCrashesTargets breakage = "crashes_targets"
	// breakageOutdated attempts were given up before they began, since the weights of the target
	// had become too old.
	breakageOutdated breakage = "outdated"
	// breakagePanic attempts panicked.
	breakagePanic breakage = "panic"
	// breakageTargetBusy and breakageMisdirected attempts were refused by the target,
	// which has no room, or is another than expected or holds other weights.
	breakageTargetBusy  breakage = "target_busy"
	breakageMisdirected breakage = "misdirected"
)

// abort resets a connection that failed; the attempt is lost.
func (x *exchange) abort(err error) attempts.Outcome {
	x.conn.reset()
	x.recordBreakage(err)
	return attempts.Lost
}

// recordBreakage records how an attempt broke off. If the entry closed the connection
// itself, the error adds nothing and is left out.
func (x *exchange) recordBreakage(err error) {
	x.breakage = x.classifyBreakage(err)
	switch x.breakage {
	case breakageConnection, breakageEndedEarly, breakageInvalidStatus:
		x.err = err
	}
}

// classifyBreakage returns how an attempt broke off with an error.
func (x *exchange) classifyBreakage(err error) breakage {
	caller := x.call.r.Context().Err()
	switch {
	case caller != nil && !errors.Is(caller, context.DeadlineExceeded):
		return breakageCallerGone
	case !time.Now().Before(x.call.deadline):
		return breakageDeadline
	case errors.Is(err, errHeadTooLarge):
		return breakageHeadTooLarge
	case errors.Is(err, errInvalidStatus):
		return breakageInvalidStatus
	case errors.Is(err, errTooLong):
		return breakageTooLarge
	case errors.Is(err, errBuffersFull):
		return breakageBuffersFull
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return breakageEndedEarly
	default:
		return breakageConnection
	}
}

// refusalBreakage returns why a target did not run an attempt.
func refusalBreakage(reply platform.Reply) breakage {
	if reply.Misdirected {
		return breakageMisdirected
	}
	return breakageTargetBusy
}

// unusableBreakage returns why a response that arrived is not forwarded. A response that is
// too large and also has no stamp counts as one without a stamp.
func unusableBreakage(reply platform.Reply) breakage {
	switch {
	case reply.HasContentEncoding:
		return breakageEncoded
	case !reply.HasStamp:
		return breakageNoStamp
	default:
		return breakageTooLarge
	}
}
