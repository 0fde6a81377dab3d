package direct

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/placement"
	"mimosastand.example/mimosastand/zone/roster"
)

// noneRoom is when a target may be there again where none is: one that starts
// with nothing has its weights in about this time.
const noneRoom = 2 * time.Second

// chance is a random number in [0, 1).
func (w *world) chance() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64()
}

// pick chooses a target.
func (w *world) pick(service contract.ServiceName, want placement.Requirements, limit time.Duration) (placement.Choice, placement.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if want.Pinned == 0 {
		want.MinVersion = w.minVersion(service)
	}
	return w.pool(service).Pick(time.Now(), want, limit)
}

// comeBack is when a caller that could not be served should come back, spread so
// that callers refused together do not return together.
func (w *world) comeBack(service contract.ServiceName, want placement.Requirements, limit time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	room, ok := w.pool(service).PredictWait(now, want, limit)
	if !ok {
		room = noneRoom
	}
	c := w.comeback(service)
	c.RecordRefused(now)
	return c.RetryAfter(now, room, w.rng.Float64())
}

// survey tells why a request finds no target.
func (w *world) survey(service contract.ServiceName, want placement.Requirements, limit time.Duration) placement.Survey {
	w.mu.Lock()
	defer w.mu.Unlock()
	if want.Pinned == 0 {
		want.MinVersion = w.minVersion(service)
	}
	return w.pool(service).Survey(time.Now(), want, limit)
}

// expected is the version of weights that an attempt insists on; 0 for any. A target
// refuses an attempt that expects another version than it holds.
func (w *world) expected(service contract.ServiceName, pinned, held int64) int64 {
	if pinned != 0 {
		return pinned
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	oldest := w.minVersion(service)
	if oldest == 0 {
		return 0
	}
	return max(oldest, held)
}

// first records a request to a service.
func (w *world) first(service contract.ServiceName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.budget(service).RecordRequest(time.Now())
}

// mayRetry draws on the service's retry budget.
func (w *world) mayRetry(service contract.ServiceName) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.budget(service).TryAcquire(time.Now())
}

// with calls f with the service's pool.
func (w *world) with(service contract.ServiceName, f func(now time.Time, p *placement.Pool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(time.Now(), w.pool(service))
}

func (w *world) sent(service contract.ServiceName, id roster.TargetID) {
	w.with(service, func(now time.Time, p *placement.Pool) { p.Sent(now, id) })
}

func (w *world) ended(service contract.ServiceName, id roster.TargetID) {
	w.with(service, func(_ time.Time, p *placement.Pool) { p.Ended(id) })
}

// ran is for how long the process has run.
func (w *world) ran() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.awake.Advance(time.Now())
}

// heard records that a target sent something. It returns for how long the process has run.
func (w *world) heard(service contract.ServiceName, id roster.TargetID) (ran time.Duration) {
	w.with(service, func(now time.Time, p *placement.Pool) {
		ran = w.awake.Advance(now)
		p.Received(ran, id)
	})
	return ran
}

// lastHeard is for how long the process had run when a target last sent anything.
func (w *world) lastHeard(service contract.ServiceName, id roster.TargetID) (ran time.Duration) {
	w.with(service, func(_ time.Time, p *placement.Pool) { ran = p.LastReceived(id) })
	return ran
}

func (w *world) reported(service contract.ServiceName, id roster.TargetID, requests int) {
	w.with(service, func(now time.Time, p *placement.Pool) { p.LoadReported(now, id, requests) })
}

func (w *world) answered(service contract.ServiceName, id roster.TargetID, delay time.Duration) {
	w.with(service, func(now time.Time, p *placement.Pool) {
		p.Answered(now, id, delay)
		w.comeback(service).RecordServed(now)
	})
}

func (w *world) refused(service contract.ServiceName, id roster.TargetID, misdirected bool) {
	w.with(service, func(now time.Time, p *placement.Pool) {
		if misdirected {
			p.Inconclusive(id)
			return
		}
		p.Refused(now, id)
	})
}

func (w *world) failed(service contract.ServiceName, id roster.TargetID, silent bool) {
	w.with(service, func(now time.Time, p *placement.Pool) {
		if p.Failed(now, id, silent) {
			w.log.WithField("target", string(id)).WithField("silent", silent).Warn("target taken out")
		}
	})
}
