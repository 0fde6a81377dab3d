package cli

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/machine/entry/admin/wire"
)

// Exit codes of the operators' commands.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailure means any failure without a code of its own.
	ExitFailure = 1
	// ExitUsage means invalid arguments or an unreadable file; nothing was sent.
	ExitUsage = 2
	// ExitConflict means a conflict with another change, a base that is too old, or an
	// identifier that another change has used; nothing changed.
	ExitConflict = 3
	// ExitRefused means that the server refused a value, token or name; nothing changed.
	ExitRefused = 4
	// ExitUnavailable means that no server answered, that the log accepts no changes, or
	// that the result is unknown; the error message says which.
	ExitUnavailable = 5
	// ExitWouldRefuse means that a request would be refused now; the report says why.
	ExitWouldRefuse = 6
)

var (
	// ErrUsage marks invalid arguments.
	ErrUsage = errors.New("usage")
	// ErrUnavailable means that no server answered.
	ErrUnavailable = errors.New("no server answered")
	// ErrResultUnknown means that a change was sent and that its result is unknown.
	ErrResultUnknown = errors.New("result unknown; run the command again with the same --id")
	// ErrFailed marks a long operation that failed or timed out.
	ErrFailed = errors.New("failed")
)

// ProblemError is an error reply of the server.
type ProblemError struct {
	Problem wire.Problem
}

// Error returns one line for the problem and one for each fault.
func (e *ProblemError) Error() string {
	text := e.Problem.Reason + ": " + e.Problem.Detail
	for _, f := range e.Problem.Faults {
		text += "\n  [" + f.Scope + "] " + string(f.Key) + " = \"" + f.Value + "\": " + f.Allowed
	}
	return text
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var problem *ProblemError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrUsage):
		return ExitUsage
	case errors.Is(err, ErrWouldRefuse):
		return ExitWouldRefuse
	case errors.Is(err, ErrUnavailable), errors.Is(err, ErrResultUnknown):
		return ExitUnavailable
	case errors.As(err, &problem):
		return problemCode(problem.Problem)
	default:
		return ExitFailure
	}
}

// problemCode returns the exit code for a problem that the server reported.
func problemCode(p wire.Problem) int {
	switch {
	case p.Status == http.StatusServiceUnavailable:
		return ExitUnavailable
	case p.Reason == wire.ReasonConflict || p.Reason == wire.ReasonBaseTooOld || p.Reason == wire.ReasonIdentifierReused:
		return ExitConflict
	case p.Status >= http.StatusInternalServerError:
		return ExitFailure
	default:
		return ExitRefused
	}
}
