package direct

import (
	"context"
	"net/http"
	"time"
)

const (
	// noticeTime is how long new connections may still come after readiness has
	// failed: two probes, a second apart, and one in doubt.
	noticeTime = 3200 * time.Millisecond
	// quietTime is how long no request may be open before a stopping entry ends.
	quietTime = 400 * time.Millisecond
	// graceMargin is kept free before the platform kills the process.
	graceMargin = 700 * time.Millisecond
)

// drain stops the entry without cutting a request: readiness fails at once, what
// still arrives is served, and each answer closes its connection.
func (e *Entry) drain(server *http.Server) {
	start := time.Now()
	e.stopping.Store(true)
	e.log.WithField("open", e.open.Load()).Info("stopping")
	limit := e.process.ShutdownGrace - graceMargin
	quiet := time.Time{}
	for time.Since(start) < limit {
		time.Sleep(tickInterval / 5)
		if e.open.Load() > 0 {
			quiet = time.Time{}
			continue
		}
		if quiet.IsZero() {
			quiet = time.Now()
		}
		if time.Since(start) > noticeTime && time.Since(quiet) > quietTime {
			break
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(limit-time.Since(start), graceMargin/2))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		e.log.WithError(err).WithField("open", e.open.Load()).Warn("requests cut by the end of the grace period")
		_ = server.Close()
	}
}
