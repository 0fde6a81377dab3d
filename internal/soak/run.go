package soak

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"time"

	"mimosastand.example/mimosastand/internal/harness"
)

const (
	// recoverWait is how long after the last fault all must serve again.
	recoverWait = 30 * time.Second
	// planFile is the name of the file of the plan among the logs.
	planFile = "plan.json"
)

// Options tells what to play.
type Options struct {
	Seed   uint64
	Length time.Duration
	// Plan, if not nil, is played instead of the seed's.
	Plan []Event
	// Dir takes the files and logs of the processes, BinDir holds the program.
	Dir, BinDir string
	Spec        harness.FleetSpec
	// Bounds has the promises checked that name a time: they need a machine that is
	// not overloaded.
	CheckBounds bool
	// Log takes a line for each fault; nil for none.
	Log io.Writer
}

// Report is what a run gave.
type Report struct {
	Seed       uint64
	Events     int
	Counts     [Kinds]Count
	Violations []Violation
}

// DefaultSpec is a fleet of three zones that a small machine can run.
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

// Run plays one seed. It fails if the fleet could not be started; broken promises
// are in the report.
func Run(ctx context.Context, opts Options) (Report, error) {
	spec := opts.Spec
	spec.Relayed = true
	fleet, err := harness.NewFleet(opts.Dir, opts.BinDir, spec)
	if err != nil {
		return Report{}, err
	}
	defer fleet.Close()
	if err := fleet.Start(ctx); err != nil {
		return Report{}, err
	}
	ledger := NewChecker(opts.Spec.StreamEvents, fleet.RunCount)
	s := &session{opts: opts, fleet: fleet, ledger: ledger, traffic: NewTraffic(fleet, ledger),
		bounds: &bounds{}, start: time.Now()}
	plan := opts.Plan
	if plan == nil {
		plan = GeneratePlan(opts.Seed, opts.Length, shapeOf(fleet))
	}
	kept := SavedPlan{Seed: opts.Seed, Length: opts.Length, Events: plan}
	if err := kept.Write(filepath.Join(opts.Dir, planFile)); err != nil {
		return Report{}, err
	}
	s.play(ctx, plan)
	return Report{Seed: opts.Seed, Events: len(plan), Counts: ledger.Counts(), Violations: ledger.Violations()}, ctx.Err()
}

// session is one run.
type session struct {
	opts    Options
	fleet   *harness.Fleet
	ledger  *Checker
	traffic *Traffic
	bounds  *bounds
	start   time.Time
}

func (s *session) play(ctx context.Context, plan []Event) {
	loaded, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { s.traffic.Run(loaded) })
	for _, e := range s.fleet.Entries {
		wg.Go(func() { watchManifests(loaded, s.traffic, e) })
	}
	s.inflict(ctx, plan)
	s.recover(ctx, recoverWait)
	stop()
	wg.Wait()
	s.finish()
}

// inflict brings the faults about at their times and waits until all are over.
func (s *session) inflict(ctx context.Context, plan []Event) {
	i := &inflictor{ctx: ctx, fleet: s.fleet, ledger: s.ledger, bounds: s.bounds}
	var wg sync.WaitGroup
	var objects holds
	for _, e := range plan {
		s.sleepUntil(ctx, e.At)
		if ctx.Err() != nil {
			break
		}
		s.log("%v for %v on %d", e.Fault, e.Duration.Round(time.Millisecond), e.Index)
		wg.Go(func() {
			defer objects.take(e)()
			if e.Fault.harms() {
				defer s.traffic.unplanned.Begin()()
			}
			if end := i.begin(e); end != nil {
				s.sleepUntil(ctx, e.end())
				end()
			}
		})
	}
	wg.Wait()
	s.sleepUntil(ctx, s.opts.Length)
}

// object is what an event falls on.
type object struct {
	class class
	on    int
}

// holds keeps an event waiting until the one before it on its object is over: a planned
// stop may take longer than the event lasts.
type holds struct {
	mu   sync.Mutex
	held map[object]*sync.Mutex
}

// take waits for the object of an event and returns how to give it back.
func (h *holds) take(e Event) (give func()) {
	on := object{e.Fault.class(), e.Index}
	h.mu.Lock()
	if h.held == nil {
		h.held = map[object]*sync.Mutex{}
	}
	if h.held[on] == nil {
		h.held[on] = &sync.Mutex{}
	}
	one := h.held[on]
	h.mu.Unlock()
	one.Lock()
	return one.Unlock
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

// recover waits until all serve again.
func (s *session) recover(ctx context.Context, wait time.Duration) {
	err := harness.WaitFor(ctx, wait, s.traffic.CheckAllServe)
	if err == nil {
		err = s.fleet.AwaitVersion(ctx, s.fleet.AnnouncedVersion(), wait)
	}
	if err != nil && ctx.Err() == nil {
		s.ledger.AddViolation(Recovers, "%v", err)
	}
}

// finish checks what is known only at the end, and stops the fleet.
func (s *session) finish() {
	for _, m := range s.fleet.Machines() {
		if m.ExitedUnexpectedly() {
			s.ledger.AddViolation(StaysUp, "%s ended", m.Name)
		}
	}
	for _, e := range s.fleet.BackEnds() {
		if bad := e.CorruptLoadedPieces(); len(bad) > 0 {
			s.ledger.AddViolation(VerifiedWeights, "%s loaded %v", e.ID, bad)
		}
	}
	if s.opts.CheckBounds {
		s.bounds.check(s.ledger, s.runs())
	}
	for _, name := range s.fleet.StopAll() {
		s.ledger.AddViolation(PlannedStop, "%s at the end", name)
	}
	s.ledger.CheckRuns()
}

// runs lists the runs at all back ends with the entries that sent them.
func (s *session) runs() []run {
	var list []run
	for _, e := range s.fleet.BackEnds() {
		for _, begin := range e.RunLog() {
			list = append(list, run{Run: begin, engine: e, sender: s.traffic.Sender(begin.AttemptID)})
		}
	}
	return list
}
