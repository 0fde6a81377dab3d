package direct

import (
	"context"
	"net/http"
	"time"
)

const (
	// noticeTime is how long new connections may still come after readiness has
	// failed: two probes that are a second apart, and their answers.
	noticeTime = 2900 * time.Millisecond
	// graceMargin is kept free before the platform kills the process.
	graceMargin = 600 * time.Millisecond
)

// drain stops the entry without cutting a request: readiness fails at once, what
// still arrives is served, and each answer closes its connection. Idle connections
// are closed once no new ones come, so that the last requests have time to end.
func (e *Entry) drain(server *http.Server) {
	start := time.Now()
	e.stopping.Store(true)
	e.log.WithField("open", e.open.Load()).Info("stopping")
	time.Sleep(noticeTime)
	limit := e.process.ShutdownGrace - graceMargin
	ctx, cancel := context.WithTimeout(context.Background(), max(limit-time.Since(start), graceMargin))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		e.log.WithError(err).WithField("open", e.open.Load()).Warn("requests cut by the end of the grace period")
		_ = server.Close()
	}
}
