package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/follow/spread"
	"mimosastand.example/mimosastand/settings/record"
	"mimosastand.example/mimosastand/settings/tree"
)

// Follower runs the machine against the log and the peers. It is safe for
// concurrent use.
type Follower struct {
	opts   Options
	timing spread.Timing
	view   atomic.Pointer[tree.View]
	ready  atomic.Bool

	// heard is the highest offset that peers told since the last tick, spoken
	// whether one told any; news wakes Run for a higher one.
	heard  atomic.Uint64
	spoken atomic.Bool
	news   chan struct{}

	mu      sync.Mutex
	machine *spread.Machine
	ctx     context.Context
	changed chan struct{}
	wg      sync.WaitGroup
}

// New returns a follower that knows nothing yet; Run starts it.
func New(opts Options) *Follower {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Logger == nil {
		opts.Logger = &log.Logger{Handler: discard.New()}
	}
	opts.Scope = opts.Scope.SubScope("settings")
	seed := opts.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	f := &Follower{opts: opts, timing: opts.Timing.WithDefaults(), changed: make(chan struct{}), news: make(chan struct{}, 1)}
	f.machine = spread.New(opts.Timing, rand.New(rand.NewPCG(seed, seed)), time.Now())
	f.view.Store(f.machine.State().View())
	return f
}

// Current returns the newest view. It is never nil.
func (f *Follower) Current() settings.View {
	return f.view.Load()
}

// Tree returns the newest view with its tree, for the administration API.
func (f *Follower) Tree() *tree.View {
	return f.view.Load()
}

// Ready reports whether the process may serve by its settings.
func (f *Follower) Ready() bool {
	return f.ready.Load()
}

// Offset returns the highest offset applied, for heartbeats and requests.
func (f *Follower) Offset() contract.Offset {
	return f.view.Load().Offset()
}

// Changed returns a channel that is closed at the next change of Current or
// Ready. Take the channel first, then read.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Observe notes the offset that a peer told on a heartbeat or a request. It never
// waits for the machine, which may be busy with a checkpoint.
func (f *Follower) Observe(peer contract.Offset) {
	f.spoken.Store(true)
	for known := f.heard.Load(); uint64(peer) > known; known = f.heard.Load() {
		if f.heard.CompareAndSwap(known, uint64(peer)) {
			f.wake(peer)
			return
		}
	}
}

// wake lets Run look at once at an offset that this process has not applied.
func (f *Follower) wake(peer contract.Offset) {
	if peer <= f.Offset() {
		return
	}
	select {
	case f.news <- struct{}{}:
	default:
	}
}

// listen hands the machine what peers told since the last time, and forgets it:
// an offset that the log then refutes must not come back.
func (f *Follower) listen() {
	if f.spoken.Swap(false) {
		f.handle(spread.PeerOffset{Offset: contract.Offset(f.heard.Swap(0))})
		return
	}
	f.handle(spread.Tick{})
}

// Serve answers a peer's pull.
func (f *Follower) Serve(pull contract.SettingsPull) contract.SettingsRecords {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.Serve(pull)
}

// History returns the records after an offset that are in memory, oldest first.
func (f *Follower) History(after contract.Offset) []spread.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.Recent(after)
}

// Log returns the platform's log, for reading records older than History.
func (f *Follower) Log() durable.Log {
	return f.opts.Log
}

// Run follows the log and the peers until ctx ends, and returns ctx's error.
func (f *Follower) Run(ctx context.Context) error {
	f.mu.Lock()
	f.ctx = ctx
	f.mu.Unlock()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	f.handle(f.duty())
	for ticks := 1; ; {
		select {
		case <-ticker.C:
			ticks++
		case <-f.news:
		case <-ctx.Done():
			f.stop()
			return ctx.Err()
		}
		if ticks%ticksPerDuty == 0 {
			f.handle(f.duty())
		}
		f.listen()
	}
}

func (f *Follower) stop() {
	f.mu.Lock()
	f.ctx = nil
	f.mu.Unlock()
	f.wg.Wait()
}

// duty works out from the host list how closely to follow the log.
func (f *Follower) duty() spread.Tailing {
	if f.opts.Hosts == nil {
		return spread.Tailing{On: true}
	}
	return Duty(f.opts.Hosts(), f.opts.Machine, f.opts.Zone, f.timing.TailersPerZone)
}

// handle steps the machine and runs the spread.Effects. Before Run and after its end
// events are dropped.
func (f *Follower) handle(ev spread.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx == nil {
		return
	}
	for _, e := range f.machine.Step(time.Now(), ev) {
		f.run(e)
	}
}

// run is called with mu held.
func (f *Follower) run(e spread.Effect) {
	switch e := e.(type) {
	case spread.ReadLog:
		f.spawn(func(ctx context.Context) spread.Event { return f.read(ctx, e) })
	case spread.ProbeLog:
		f.spawn(func(ctx context.Context) spread.Event { return f.probe(ctx, e) })
	case spread.PullPeer:
		f.spawn(func(ctx context.Context) spread.Event { return f.pull(ctx, e) })
	case spread.AppendCheckpoint:
		f.spawn(func(ctx context.Context) spread.Event { return f.append(ctx, e) })
	case spread.Publish:
		f.view.Store(f.machine.State().View())
		f.opts.Scope.Gauge("offset").Update(float64(f.machine.State().Offset()))
		f.broadcast()
	case spread.Readiness:
		f.ready.Store(e.Ready)
		f.opts.Logger.Infof("ready is %t at offset %d: %s", e.Ready, f.machine.State().Offset(), e.Why)
		f.broadcast()
	case spread.Decided:
		f.noteDecision(e)
	case spread.Ignored:
		metrics.CountIgnored(f.opts.Scope, e.Reason)
		f.opts.Logger.Warnf("ignored: %s", e.What)
	}
}

func (f *Follower) broadcast() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) noteDecision(e spread.Decided) {
	outcome := e.Decision.Outcome.String()
	f.count("decisions", outcome)
	f.opts.Logger.Debugf("record %d: %s", e.Decision.Offset, outcome)
}

func (f *Follower) count(name, result string) {
	f.opts.Scope.Tagged(map[string]string{"result": result}).Counter(name).Inc(1)
}

// spawn runs I/O and hands its event to the machine. It is called with mu held.
func (f *Follower) spawn(work func(context.Context) spread.Event) {
	ctx := f.ctx
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		ev := work(ctx)
		f.handle(ev)
	}()
}

func (f *Follower) read(ctx context.Context, e spread.ReadLog) spread.Event {
	batch, err := f.opts.Log.Read(ctx, record.Stream, e.After, e.Wait)
	if err != nil {
		trimmed := errors.Is(err, durable.ErrTrimmed)
		f.count("log_reads", readResult(trimmed))
		return spread.LogFailed{Trimmed: trimmed}
	}
	f.count("log_reads", "ok")
	return spread.LogRead{After: e.After, Batch: batch}
}

func (f *Follower) probe(ctx context.Context, e spread.ProbeLog) spread.Event {
	batch, err := f.opts.Log.Read(ctx, record.Stream, e.After, 0)
	if err != nil {
		f.count("log_probes", "failed")
		return spread.ProbeFailed{}
	}
	f.count("log_probes", "ok")
	return spread.ExtraRead{Batch: batch, Probe: true}
}

func readResult(trimmed bool) string {
	if trimmed {
		return "trimmed"
	}
	return "failed"
}

const pullTimeout = 2 * time.Second

func (f *Follower) pull(ctx context.Context, e spread.PullPeer) spread.Event {
	if f.opts.Pull == nil {
		return spread.PullFailed{}
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	records, err := f.opts.Pull(ctx, e.After)
	if err != nil {
		f.count("pulls", "failed")
		return spread.PullFailed{}
	}
	f.count("pulls", "ok")
	return spread.PeerAnswer{Records: records}
}

func (f *Follower) append(ctx context.Context, e spread.AppendCheckpoint) spread.Event {
	_, err := f.opts.Log.Append(ctx, record.Stream, e.Data)
	result := "ok"
	if err != nil {
		result = "failed"
	}
	f.count("checkpoints", result)
	return spread.Appended{}
}
