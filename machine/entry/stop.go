package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"mimosastand.example/mimosastand/machine/entry/dispatch"
)

// readiness answers the platform's balancer.
type readiness struct {
	loop     *loop
	stopping atomic.Bool
}

func (s *readiness) serve(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() || !s.loop.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// settleClaims waits until the outcomes of keyed requests are in the log.
func (e *Entry) settleClaims(ctx context.Context) {
	const interval = 20 * time.Millisecond
	for e.claims != nil && (e.keys.held() > 0 || !e.claims.IsIdle()) && ctx.Err() == nil {
		pause(ctx, interval)
	}
}

// drain is the planned stop: it first tells the balancer, then refuses new
// requests, and waits for those in flight.
func (e *Entry) drain(server *http.Server) {
	grace := e.process.ShutdownGrace
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	e.log.Info("Stopping.")
	e.state.stopping.Store(true)
	pause(ctx, min(maxNotice, grace/10))
	e.loop.step(dispatch.StopRequested{})
	e.waitIdle(ctx)
	e.settleClaims(ctx)
	if err := server.Shutdown(ctx); err != nil {
		e.log.WithError(err).Warn("Requests were still open at the end of the grace.")
		_ = server.Close()
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (e *Entry) waitIdle(ctx context.Context) {
	for e.loop.open() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-e.loop.idle:
		}
	}
}
