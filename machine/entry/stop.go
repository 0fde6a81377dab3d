package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"mimosastand.example/mimosastand/machine/entry/dispatch"
)

// readiness answers the readiness checks of the platform's balancer.
type readiness struct {
	loop     *eventLoop
	stopping atomic.Bool
}

func (s *readiness) serveHTTP(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() || !s.loop.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// waitClaimsSettled waits until the outcomes of keyed requests are recorded in the log, or
// until ctx ends.
func (e *Entry) waitClaimsSettled(ctx context.Context) {
	const interval = 20 * time.Millisecond
	for e.claims != nil && (e.keys.heldKeys() > 0 || !e.claims.IsIdle()) && ctx.Err() == nil {
		sleep(ctx, interval)
	}
}

// drain stops the entry gracefully. It first reports to the balancer that the entry is
// not ready, then refuses new requests and waits for those in flight.
func (e *Entry) drain(server *http.Server) {
	grace := e.process.ShutdownGrace
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	e.log.Info("Stopping.")
	e.readiness.stopping.Store(true)
	sleep(ctx, min(maxUnreadyDelay, grace/10))
	e.loop.step(dispatch.StopRequested{})
	e.waitIdle(ctx)
	e.waitClaimsSettled(ctx)
	if err := server.Shutdown(ctx); err != nil {
		e.log.WithError(err).Warn("requests were still open at the end of the shutdown grace period")
		_ = server.Close()
	}
}

// sleep waits for the duration d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// waitIdle waits until no request is open, or until ctx ends.
func (e *Entry) waitIdle(ctx context.Context) {
	for e.loop.openRequests() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-e.loop.idle:
		}
	}
}
