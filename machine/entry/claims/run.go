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

// Run reads the stream, appends to it and keeps the timers until ctx ends. It
// must be called once.
func (s *Service) Run(ctx context.Context) {
	defer close(s.ended)
	s.mu.Lock()
	s.ctx = ctx
	s.start(s.tail)
	s.mu.Unlock()
	s.keepTime(ctx)
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.tasks.Wait()
}

// start runs a task under Run's context. Before Run and after its end the task
// is not run; a batch that is then in flight is as good as lost.
func (s *Service) start(task func(context.Context)) {
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

// keepTime calls Tick when the machine wants it.
func (s *Service) keepTime(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-report.C:
			s.report()
		case <-s.poke:
		case <-timer.C:
			_ = s.step(func(now time.Time) error {
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

// tail reads the stream.
func (s *Service) tail(ctx context.Context) {
	var rate readRate
	for ctx.Err() == nil {
		sleep(ctx, rate.delay(time.Now()))
		after, wait := s.position()
		batch, err := s.log.Read(ctx, s.opts.Stream, after, wait)
		switch {
		case errors.Is(err, durable.ErrTrimmed):
			err = s.restart(ctx)
		case err == nil:
			err = s.take(batch)
		}
		if err != nil && ctx.Err() == nil {
			s.opts.Logger.WithError(err).Warn("cannot read the stream")
			sleep(ctx, readRetry)
		}
		s.pace(ctx)
	}
}

// pace lets records gather while no call waits for them.
func (s *Service) pace(ctx context.Context) {
	s.mu.Lock()
	waiting := s.machine.IsWaiting() || !s.machine.IsReady()
	s.mu.Unlock()
	if waiting {
		return
	}
	timer := time.NewTimer(idleRead)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.hurry:
	case <-ctx.Done():
	}
}

// position returns where to read on. Until the end of the stream was seen once,
// a read does not wait for further records.
func (s *Service) position() (contract.Offset, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.machine.IsReady() {
		return s.machine.Applied(), 0
	}
	return s.machine.Applied(), pollWait
}

func (s *Service) take(batch durable.Batch) error {
	records := make([]LogRecord, len(batch.Records))
	for i, r := range batch.Records {
		records[i] = LogRecord{Offset: r.Offset, Time: r.Time, Data: r.Data}
	}
	return s.step(func(now time.Time) error { return s.machine.ApplyRecords(now, records, batch.Newest) })
}

// restart begins at the oldest record that is kept.
func (s *Service) restart(ctx context.Context) error {
	batch, err := s.log.Read(ctx, s.opts.Stream, beyond, 0)
	if err != nil {
		return err
	}
	s.opts.Logger.WithField("oldest", uint64(batch.Oldest)).Warn("records are past retention, reading from the oldest")
	return s.step(func(time.Time) error {
		s.machine.Restart(max(batch.Oldest, 1) - 1)
		return nil
	})
}

// append sends one batch and tells the machine how that ended.
func (s *Service) append(ctx context.Context, batch *ledger.Batch) {
	data, err := batch.Encode()
	if err == nil {
		_, err = s.log.Append(ctx, s.opts.Stream, data)
	}
	if err != nil {
		s.opts.Logger.WithError(err).Warn("append failed")
	}
	_ = s.step(func(now time.Time) error {
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

// probe asks the targets and tells the machine their answer. An error counts
// as an answer that cannot vouch.
func (s *Service) probe(ctx context.Context, ask Probe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := s.prober.Probe(ctx, ask.Service, ask.Holder, ask.Age)
	if err != nil {
		s.opts.Logger.WithError(err).WithField("request", string(ask.Holder)).Warn("probe failed")
		answer = ProbeResult{}
	}
	_ = s.step(func(now time.Time) error {
		s.machine.OnProbeResult(now, ask.Key, ask.Holder, answer)
		return nil
	})
}

// report sets the gauges of the metrics page.
func (s *Service) report() {
	s.mu.Lock()
	m, l, b := s.machine.Stats()
	keys := s.machine.ledger.Len()
	short := 0.0
	if s.machine.ledger.IsHistoryIncomplete() {
		short = 1
	}
	interval := s.machine.batcher.Interval(time.Now())
	s.mu.Unlock()
	gauges := map[string]float64{
		"keys": float64(keys), "history_short": short, "short_refusals": float64(m.IncompleteHistory),
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

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
