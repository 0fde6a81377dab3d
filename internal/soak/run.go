package soak

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/internal/harness"
)

const (
	// recoveryTimeout bounds the time after the last fault until the whole fleet must serve
	// again.
	recoveryTimeout = 30 * time.Second
	// planFile is the name of the plan's file, in the directory of the logs.
	planFile = "plan.json"
)

// Options describes a run.
type Options struct {
	Seed   uint64
	Length time.Duration
	// Plan, if not nil, is played instead of the plan of the seed.
	Plan []Event
	// Dir is where the files and logs of the processes are written; BinDir holds the
	// program.
	Dir, BinDir string
	Spec        harness.FleetSpec
	// CheckBounds enables the checks of the promises that have a time bound. They need a
	// machine that is not overloaded.
	CheckBounds bool
	// If Drills is set, the plan of the seed has returns of the store from older copies
	// only. If HideEra is set, the store does not report its era.
	Drills, HideEra bool
	// Log receives one line per fault; nil disables it.
	Log io.Writer
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Events     int
	Counts     [kindCount]Count
	Violations []Violation
}

// DefaultSpec returns a fleet of three zones that fits on a small machine.
func DefaultSpec() harness.FleetSpec {
	return harness.FleetSpec{
		Zones: []harness.Zone{
			{Name: "khomas-a", Region: "khomas"}, {Name: "erongo-a", Region: "erongo"}, {Name: "oshana-a", Region: "oshana"},
		},
		Entries: 1, Engines: 2, Services: 1, StreamEvents: 12, EventInterval: 20 * time.Millisecond, Pieces: 8,
	}
}

func shapeOf(f *harness.Fleet) Shape {
	return Shape{Entries: len(f.Entries), Targets: len(f.Targets), Services: len(f.Services), Zones: len(f.Spec.Zones)}
}

// Run plays one plan. It returns an error if the fleet could not be started, the plan could
// not be saved or ctx ended; broken promises are listed in the report.
func Run(ctx context.Context, opts Options) (Report, error) {
	spec := opts.Spec
	spec.UseRelays = true
	fleet, err := harness.NewFleet(opts.Dir, opts.BinDir, spec)
	if err != nil {
		return Report{}, err
	}
	defer fleet.Close()
	fleet.Store.SetEraHidden(opts.HideEra)
	if err := fleet.Start(ctx); err != nil {
		return Report{}, err
	}
	checker := NewChecker(opts.Spec.StreamEvents, fleet.RunCount)
	traffic := NewTraffic(fleet, checker)
	traffic.checkCuts = true
	s := &session{opts: opts, fleet: fleet, checker: checker, traffic: traffic,
		bounds: &bounds{}, start: time.Now()}
	plan := opts.Plan
	if plan == nil && opts.Drills {
		plan = GenerateDrills(opts.Seed, opts.Length, shapeOf(fleet))
	}
	if plan == nil {
		plan = GeneratePlan(opts.Seed, opts.Length, shapeOf(fleet))
	}
	saved := SavedPlan{Seed: opts.Seed, Length: opts.Length, Events: plan}
	if err := saved.Write(filepath.Join(opts.Dir, planFile)); err != nil {
		return Report{}, err
	}
	s.play(ctx, plan)
	return Report{Seed: opts.Seed, Events: len(plan), Counts: checker.Counts(), Violations: checker.Violations()}, ctx.Err()
}

// session is the state of one run.
type session struct {
	opts    Options
	fleet   *harness.Fleet
	checker *Checker
	traffic *Traffic
	bounds  *bounds
	start   time.Time
}

func (s *session) play(ctx context.Context, plan []Event) {
	trafficCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { s.traffic.Run(trafficCtx) })
	for _, e := range s.fleet.Entries {
		wg.Go(func() { watchManifests(trafficCtx, s.traffic, e) })
	}
	s.injectFaults(ctx, plan)
	s.awaitRecovery(ctx, recoveryTimeout)
	stop()
	wg.Wait()
	s.finish()
}

// injectFaults injects each fault at its time and waits until all are over.
func (s *session) injectFaults(ctx context.Context, plan []Event) {
	i := &injector{ctx: ctx, fleet: s.fleet, checker: s.checker, bounds: s.bounds, traffic: s.traffic}
	var wg sync.WaitGroup
	var locks objectLocks
	for _, e := range plan {
		s.sleepUntil(ctx, e.At)
		if ctx.Err() != nil {
			break
		}
		s.log("%v for %v on %d", e.Fault, e.Duration.Round(time.Millisecond), e.Index)
		wg.Go(func() {
			defer locks.lock(e)()
			if e.Fault.canCutRequests() {
				defer s.traffic.unplannedFaults.Begin()()
			}
			if end := i.inject(e); end != nil {
				s.sleepUntil(ctx, e.endTime())
				end()
			}
		})
	}
	wg.Wait()
	s.sleepUntil(ctx, s.opts.Length)
}

// object identifies the object that an event affects.
type object struct {
	class class
	index int
}

// objectLocks makes an event wait until the previous event on the same object is over. A
// planned stop may take longer than its event lasts, so events that do not overlap in the
// plan can overlap when played.
type objectLocks struct {
	mu       sync.Mutex
	byObject map[object]*sync.Mutex
}

// lock waits for the object of an event, locks it and returns a function that unlocks it.
func (l *objectLocks) lock(e Event) (unlock func()) {
	key := object{e.Fault.class(), e.Index}
	l.mu.Lock()
	if l.byObject == nil {
		l.byObject = map[object]*sync.Mutex{}
	}
	if l.byObject[key] == nil {
		l.byObject[key] = &sync.Mutex{}
	}
	mutex := l.byObject[key]
	l.mu.Unlock()
	mutex.Lock()
	return mutex.Unlock
}

func (s *session) sleepUntil(ctx context.Context, at time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(at - time.Since(s.start)):
	}
}

func (s *session) log(format string, args ...any) {
	if s.opts.Log != nil {
		_, _ = fmt.Fprintf(s.opts.Log, "%7.2fs  "+format+"\n", append([]any{time.Since(s.start).Seconds()}, args...)...)
	}
}

// awaitRecovery waits until every entry serves and every engine holds the newest version.
func (s *session) awaitRecovery(ctx context.Context, timeout time.Duration) {
	err := harness.WaitFor(ctx, timeout, s.traffic.CheckAllServe)
	if err == nil {
		err = s.fleet.AwaitVersion(ctx, s.fleet.AnnouncedVersion(), timeout)
	}
	if err != nil && ctx.Err() == nil {
		s.checker.AddViolation(Recovers, "%v", err)
	}
	if err := harness.WaitFor(ctx, timeout, s.checkRegistered); err != nil && ctx.Err() == nil {
		s.checker.AddViolation(Registered, "%v", err)
	}
}

// checkRegistered returns an error for the first running process whose member record in the
// store was not written since the process started.
func (s *session) checkRegistered() error {
	for _, m := range s.fleet.Machines() {
		if at := s.fleet.Store.MemberWrittenAt(m.Name); m.Running() && at.Before(m.StartedAt()) {
			return errors.Newf("soak: the member record of %s was written at %v, before it started", m.Name, at.Format(time.TimeOnly))
		}
	}
	return nil
}

// finish runs the checks that need the complete run, and stops the fleet.
func (s *session) finish() {
	for _, m := range s.fleet.Machines() {
		if m.ExitedUnexpectedly() {
			s.checker.AddViolation(StaysUp, "%s exited although nothing stopped it", m.Name)
		}
	}
	for _, e := range s.fleet.BackEnds() {
		if corrupt := e.LoadedCorruptPieces(); len(corrupt) > 0 {
			s.checker.AddViolation(VerifiedWeights, "%s loaded %v", e.ID, corrupt)
		}
	}
	if s.opts.CheckBounds {
		s.bounds.check(s.checker, s.listRuns())
		s.bounds.checkLimits(s.checker, s.traffic.Sender)
		s.checkParts()
		s.bounds.checkRequests(s.checker, s.fleet.BackEnds(), s.traffic.Sender)
		s.bounds.checkRefusals(s.checker, s.traffic.Sender)
	}
	for _, name := range s.fleet.StopAll() {
		s.checker.AddViolation(PlannedStop, "%s did not stop cleanly at the end of the run", name)
	}
	s.checker.CheckRuns()
}

// listRuns lists the runs at all back ends, each with the entry that sent it.
func (s *session) listRuns() []run {
	var list []run
	for _, e := range s.fleet.BackEnds() {
		for _, r := range e.RunLog() {
			list = append(list, run{Run: r, engine: e, sender: s.traffic.Sender(r.AttemptID)})
		}
	}
	return list
}
