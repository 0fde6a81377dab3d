package direct

import (
	"net/http"
	"time"
)

const (
	// readinessNotice is how long new connections may still arrive after readiness has
	// failed: two probes that are 1 s apart, and their responses.
	readinessNotice = 2900 * time.Millisecond
	// lastAnswersTimeout is how long callers whose requests are ended have to take their answers.
	lastAnswersTimeout = 200 * time.Millisecond
	// killMargin is left at the end of the grace period, when the platform kills the process. It
	// includes lastAnswersTimeout.
	killMargin = 600 * time.Millisecond
	// newConnGrace is how long a new connection may wait for its first request.
	newConnGrace = time.Second
	// drainInterval is the time between two looks at the open connections.
	drainInterval = 10 * time.Millisecond
)

// stopPlan holds the times of a planned stop. Until noticeEnd new connections may arrive; at end
// what is still under way is ended.
type stopPlan struct{ noticeEnd, end time.Time }

// isTooLate reports whether a request that has been read at a time may still be under way when a
// planned stop ends. One that is read before callers can know of the stop is always served.
func (e *Entry) isTooLate(readAt, deadline time.Time) bool {
	plan := e.stopPlan.Load()
	return plan != nil && readAt.After(plan.noticeEnd) && deadline.After(plan.end)
}

// drain stops the entry without aborting requests: readiness fails at once, requests that
// still arrive are served, and each response closes its connection. Once no new connections
// arrive, those that wait for a request are ended, again and again until none is left. The
// last requests have the rest of the grace period, up to killMargin, to complete. Then those under
// way are ended, and their answers have lastAnswersTimeout to reach the callers.
//
// It does not call http.Server.Shutdown, which drops requests that have been read: it
// closes connections whose next request the server has read in part, and a server that
// shuts down does not answer a request whose head it has just read.
func (e *Entry) drain(server *http.Server, callers *callerListener) {
	now := time.Now()
	end := now.Add(max(e.process.ShutdownGrace-killMargin, readinessNotice+killMargin))
	e.stopPlan.Store(&stopPlan{noticeEnd: now.Add(readinessNotice), end: end})
	e.stopping.Store(true)
	e.log.WithField("open", e.openRequests.Load()).Info("stopping")
	time.Sleep(readinessNotice)
	if err := callers.stopAccepting(); err != nil {
		e.log.WithError(err).Warn("listener for callers cannot be closed in order")
		_ = callers.Close()
	}
	e.awaitCallers(end)
	if open := e.openRequests.Load(); open > 0 {
		e.log.WithField("open", open).Warn("open requests ended at end of grace period")
		e.openCalls.endAll()
		e.awaitCallers(time.Now().Add(lastAnswersTimeout))
	}
	if open := e.openRequests.Load(); open > 0 {
		e.log.WithField("open", open).Warn("open requests aborted without an answer")
	}
	_ = server.Close()
}

// awaitCallers ends connections that wait for a request until none is open, or until a time.
func (e *Entry) awaitCallers(until time.Time) {
	for !e.callerConns.isEmpty() && time.Now().Before(until) {
		e.callerConns.endWaiting(newConnGrace)
		time.Sleep(drainInterval)
	}
}
