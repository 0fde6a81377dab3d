package claims

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/machine/entry/claims/batcher"
	"mimosastand.example/mimosastand/machine/entry/claims/ledger"
)

// Run reads the stream, appends to it and runs the timers until ctx ends. It must be
// called once.
func (s *Service) Run(ctx context.Context) {
	defer close(s.runEnded)
	s.mu.Lock()
	s.ctx = ctx
	s.startTask(s.tailStream)
	s.mu.Unlock()
	s.runTimers(ctx)
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.tasks.Wait()
}

// startTask runs a task under the context of Run. It drops the task before Run starts and
// after Run has ended; an append or probe that is dropped gets no result.
func (s *Service) startTask(task func(context.Context)) {
	ctx := s.ctx
	if ctx == nil || s.stopped {
		return
	}
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		task(ctx)
	}()
}

// runTimers calls Tick whenever the machine has a timer due, and updates the metrics.
func (s *Service) runTimers(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	ticker := time.NewTicker(metricsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.updateMetrics()
		case <-s.timerChanged:
		case <-timer.C:
			_ = s.applyInput(func(now time.Time) error {
				s.machine.Tick(now)
				return nil
			})
		}
		s.resetTimer(timer)
	}
}

func (s *Service) resetTimer(timer *time.Timer) {
	s.mu.Lock()
	at, ok := s.machine.NextWake()
	s.mu.Unlock()
	if ok {
		timer.Reset(time.Until(at))
	}
}

// tailStream reads the stream until ctx ends.
func (s *Service) tailStream(ctx context.Context) {
	var limiter readLimiter
	for ctx.Err() == nil {
		sleepContext(ctx, limiter.reserveDelay(time.Now()))
		after, wait := s.readPosition()
		batch, err := s.log.Read(ctx, s.opts.Stream, after, wait)
		switch {
		case errors.Is(err, durable.ErrTrimmed):
			err = s.restartFromOldest(ctx)
		case err == nil:
			err = s.applyBatch(batch)
		}
		if err != nil && ctx.Err() == nil {
			s.opts.Logger.WithError(err).Warn("cannot read the claims stream, retrying")
			sleepContext(ctx, readRetryDelay)
		}
		s.awaitNextRead(ctx)
	}
}

// awaitNextRead lets records accumulate while no call waits for them.
func (s *Service) awaitNextRead(ctx context.Context) {
	s.mu.Lock()
	waiting := s.machine.IsWaiting() || !s.machine.IsReady()
	s.mu.Unlock()
	if waiting {
		return
	}
	timer := time.NewTimer(idleReadInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.callWaiting:
	case <-ctx.Done():
	}
}

// readPosition returns the offset after which to read, and how long the read may wait for
// further records. A read does not wait until the end of the stream has been reached
// once.
func (s *Service) readPosition() (contract.Offset, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.machine.IsReady() {
		return s.machine.Applied(), 0
	}
	return s.machine.Applied(), longPollTimeout
}

func (s *Service) applyBatch(batch durable.Batch) error {
	records := make([]LogRecord, len(batch.Records))
	for i, r := range batch.Records {
		records[i] = LogRecord{Offset: r.Offset, Time: r.Time, Data: r.Data}
	}
	return s.applyInput(func(now time.Time) error { return s.machine.ApplyRecords(now, records, batch.Newest) })
}

// restartFromOldest restarts the machine at the oldest record that the log retains.
func (s *Service) restartFromOldest(ctx context.Context) error {
	batch, err := s.log.Read(ctx, s.opts.Stream, beyondNewest, 0)
	if err != nil {
		return err
	}
	s.opts.Logger.WithField("oldest", uint64(batch.Oldest)).Warn("claims records are past the log's retention, reading from the oldest record")
	return s.applyInput(func(time.Time) error {
		s.machine.Restart(max(batch.Oldest, 1) - 1)
		return nil
	})
}

// appendBatch appends one batch and reports the result to the machine.
func (s *Service) appendBatch(ctx context.Context, batch *ledger.Batch) {
	data, err := batch.Encode()
	if err == nil {
		_, err = s.log.Append(ctx, s.opts.Stream, data)
	}
	if err != nil {
		s.opts.Logger.WithError(err).Warn("cannot append claims to the log")
	}
	_ = s.applyInput(func(now time.Time) error {
		s.machine.OnAppendResult(now, batch.Seq, statusOf(err))
		return nil
	})
}

func statusOf(err error) batcher.Status {
	switch {
	case err == nil:
		return batcher.Appended
	case errors.Is(err, durable.ErrThrottled):
		return batcher.Throttled
	case errors.Is(err, durable.ErrUnavailable):
		return batcher.Unavailable
	default:
		return batcher.Uncertain
	}
}

// runProbe probes the targets and reports the result to the machine. An error counts as
// ProbeUnknown.
func (s *Service) runProbe(ctx context.Context, probe Probe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := s.prober.Probe(ctx, probe.Service, probe.Holder, probe.Age)
	if err != nil {
		s.opts.Logger.WithError(err).WithField("request", string(probe.Holder)).Warn("cannot probe the targets of a request")
		answer = ProbeResult{}
	}
	_ = s.applyInput(func(now time.Time) error {
		s.machine.OnProbeResult(now, probe.Key, probe.Holder, answer)
		return nil
	})
}

// updateMetrics sets the gauges.
func (s *Service) updateMetrics() {
	s.mu.Lock()
	m, l, b := s.machine.Stats()
	keys := s.machine.ledger.Len()
	incomplete := 0.0
	if s.machine.ledger.IsHistoryIncomplete() {
		incomplete = 1
	}
	interval := s.machine.batcher.Interval(time.Now())
	s.mu.Unlock()
	gauges := map[string]float64{
		"keys": float64(keys), "history_short": incomplete, "short_refusals": float64(m.IncompleteHistory),
		"append_interval_seconds": interval.Seconds(),
		"probes":                  float64(m.Probes), "takeovers": float64(m.Takeovers),
		"released": float64(m.Released), "too_late": float64(m.TooLate),
		"superseded": float64(m.Superseded), "contradictions": float64(l.Contradictions),
		"malformed": float64(l.Malformed), "repeated": float64(l.Repeated),
		"expired": float64(l.Expired), "bodies_dropped": float64(l.BodiesDropped),
		"appends": float64(b.Appended), "items": float64(b.Items),
		"resent": float64(b.Resent), "throttled": float64(b.Throttled),
		"append_unavailable": float64(b.Unavailable), "append_uncertain": float64(b.Uncertain),
	}
	for name, value := range gauges {
		s.opts.Scope.Gauge(name).Update(value)
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
