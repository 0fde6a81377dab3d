package cli

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/machine/entry/admin/wire"
)

// Exit codes of the operators' commands.
const (
	// ExitOK means done.
	ExitOK = 0
	// ExitFailure means any failure that has no code of its own.
	ExitFailure = 1
	// ExitUsage means wrong arguments or an unreadable file; nothing was sent.
	ExitUsage = 2
	// ExitConflict means that another change came first; nothing changed.
	ExitConflict = 3
	// ExitRefused means a refused value, token or name; nothing changed.
	ExitRefused = 4
	// ExitUnavailable means that no server answered, that the log takes no
	// changes, or that the result is not known; the text tells which.
	ExitUnavailable = 5
)

var (
	// ErrUsage marks wrong arguments.
	ErrUsage = errors.New("usage")
	// ErrUnavailable means that no server answered.
	ErrUnavailable = errors.New("no server answered")
	// ErrUnknown means that a change was sent and that its result is not known.
	ErrResultUnknown = errors.New("result not known; run the command again with the same --id")
	// ErrFailed means that a long operation did not end well.
	ErrFailed = errors.New("failed")
)

// ProblemError is a refusal by the server.
type ProblemError struct {
	Problem wire.Problem
}

// Error returns the problem in one line per fault.
func (e *ProblemError) Error() string {
	text := e.Problem.Reason + ": " + e.Problem.Detail
	for _, f := range e.Problem.Faults {
		text += "\n  [" + f.Scope + "] " + string(f.Key) + " = \"" + f.Value + "\": " + f.Allowed
	}
	return text
}

// exitCode turns an error into an exit code.
func exitCode(err error) int {
	var problem *ProblemError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrUsage):
		return ExitUsage
	case errors.Is(err, ErrUnavailable), errors.Is(err, ErrResultUnknown):
		return ExitUnavailable
	case errors.As(err, &problem):
		return problemCode(problem.Problem)
	default:
		return ExitFailure
	}
}

func problemCode(p wire.Problem) int {
	switch {
	case p.Status == http.StatusServiceUnavailable:
		return ExitUnavailable
	case p.Reason == wire.ReasonConflict || p.Reason == wire.ReasonBaseTooOld || p.Reason == wire.ReasonReusedID:
		return ExitConflict
	case p.Status >= http.StatusInternalServerError:
		return ExitFailure
	default:
		return ExitRefused
	}
}
