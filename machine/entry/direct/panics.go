package direct

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/attempts"
)

// maxStackBytes bounds the stack in the log line of a panic.
const maxStackBytes = 4 << 10

// answerPanic ends a request whose handling panics, and is deferred. It logs and counts the
// panic and answers the caller, or breaks the answer off if w has begun one.
// http.ErrAbortHandler, which closes the connection on purpose, goes on to the server.
func (c *call) answerPanic(w *beginWriter) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	c.entry.recordPanic(c, cause)
	if w.begun {
		c.recordEnd(0, contract.ReasonTruncatedAnswer, 0)
		c.breakOff()
		return
	}
	header := w.Header()
	clear(header)
	header.Set("Connection", "close")
	if c.mayHaveRun = c.mayHaveRun || c.lastAttemptMayHaveRun(); c.mayHaveRun {
		c.writeProblem(http.StatusBadGateway, contract.ReasonTruncatedAnswer, 0)
		return
	}
	c.writeUnavailable(contract.ReasonInternalError, notReadyRetryAfter)
}

// recoverPanic ends an attempt that panics in its own goroutine, and is deferred: the request
// goes on as after a lost attempt.
func (x *exchange) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	x.call.entry.recordPanic(x.call, cause)
	x.breakage = breakagePanic
	if x.conn != nil {
		x.conn.reset()
	}
}

// recordPanic logs and counts a panic in the handling of a request.
func (e *Entry) recordPanic(c *call, cause any) {
	e.meters.countPanic()
	stack := debug.Stack()
	e.log.WithField("request", c.info.AttemptID).WithField("cause", fmt.Sprint(cause)).
		WithField("stack", string(stack[:min(len(stack), maxStackBytes)])).Error("request handling panicked")
}

// lastAttemptMayHaveRun reports whether the last attempt is under way or ended in a way that
// does not rule out that it has run.
func (c *call) lastAttemptMayHaveRun() bool {
	rec := &c.record
	switch {
	case rec.startedAt.IsZero():
		return false
	case rec.endedAt.IsZero():
		return true
	default:
		return rec.outcome != attempts.NotSent && rec.outcome != attempts.NotRun
	}
}

// beginWriter is a response writer that knows whether a response has begun.
type beginWriter struct {
	http.ResponseWriter
	begun bool
}

// Unwrap is used by http.ResponseController.
func (w *beginWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter. If it panics, nothing was sent.
func (w *beginWriter) WriteHeader(status int) {
	w.ResponseWriter.WriteHeader(status)
	w.begun = true
}

// Write implements http.ResponseWriter.
func (w *beginWriter) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}
