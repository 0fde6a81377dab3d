package direct

import (
	"context"
	"net/http"
	"time"
)

const (
	// readinessNotice is how long new connections may still arrive after readiness has
	// failed: two probes that are 1 s apart, and their responses.
	readinessNotice = 2900 * time.Millisecond
	// killMargin is left unused at the end of the grace period, when the platform kills
	// the process.
	killMargin = 600 * time.Millisecond
)

// drain stops the entry without aborting requests: readiness fails at once, requests that
// still arrive are served, and each response closes its connection. Idle connections are
// closed once no new ones arrive, so that the last requests have the rest of the grace
// period, up to killMargin, to complete.
func (e *Entry) drain(server *http.Server) {
	start := time.Now()
	e.stopping.Store(true)
	e.log.WithField("open", e.openRequests.Load()).Info("stopping")
	time.Sleep(readinessNotice)
	limit := e.process.ShutdownGrace - killMargin
	ctx, cancel := context.WithTimeout(context.Background(), max(limit-time.Since(start), killMargin))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		e.log.WithError(err).WithField("open", e.openRequests.Load()).Warn("open requests aborted at end of grace period")
		_ = server.Close()
	}
}
