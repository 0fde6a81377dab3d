package soak

import (
	"fmt"
	"sync"
	"time"

	"mimosastand.example/mimosastand/internal/harness"
	"mimosastand.example/mimosastand/internal/relay"
	standin "mimosastand.example/mimosastand/standin/fleet"
)

const (
	// versionBound is how long after a version was named requests may begin on an
	// older one, the default of the settings; drainBound how long after an engine
	// said that it leaves.
	versionBound = 8 * time.Second
	drainBound   = 3 * time.Second
	// evacuationBound is how long after a zone was evacuated requests may begin there,
	// the platform's evac_ms.
	evacuationBound = 5 * time.Second
	// stableWindow is how long the store and the sender must have been calm for a
	// bound to bind, the platform's stable_window_ms.
	stableWindow = 3 * time.Second
)

// run is one run at a back end and the entry that sent it.
type run struct {
	standin.Run
	engine *standin.Engine
	sender *harness.Machine
}

// naming is the acknowledgement of a version by the store.
type naming struct {
	version int64
	at      time.Time
}

// leaving is a span in which an engine said that it leaves.
type leaving struct {
	engine   *standin.Engine
	from, to time.Time
}

// evacuation is a span in which a zone was evacuated.
type evacuation struct {
	zone     string
	from, to time.Time
}

// bounds holds what the promises that name a time refer to.
type bounds struct {
	// store is when the store was impaired.
	store harness.Impairments

	mu sync.Mutex
	// paths are when paths were harmed.
	paths    map[*relay.TCP]*harness.Impairments
	namings  []naming
	leavings []leaving
	// evacuations are those that were taken back.
	evacuations []evacuation
}

func (b *bounds) named(version int64, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.namings = append(b.namings, naming{version, at})
}

func (b *bounds) evacuated(zone string, from, to time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evacuations = append(b.evacuations, evacuation{zone, from, to})
}

func (b *bounds) left(engine *standin.Engine, from, to time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leavings = append(b.leavings, leaving{engine, from, to})
}

// path holds when a path was harmed.
func (b *bounds) path(p *relay.TCP) *harness.Impairments {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pathSpells(p)
}

// pathSpells is path; mu must be held.
func (b *bounds) pathSpells(p *relay.TCP) *harness.Impairments {
	if b.paths == nil {
		b.paths = map[*relay.TCP]*harness.Impairments{}
	}
	if b.paths[p] == nil {
		b.paths[p] = &harness.Impairments{}
	}
	return b.paths[p]
}

// inTouch reports whether the sender of a run, the path to its engine and the store were
// calm for long enough before it began.
func (b *bounds) inTouch(r run) bool {
	return r.sender != nil && r.sender.Impairments.NoneWithin(r.StartedAt, stableWindow) &&
		b.pathSpells(r.engine.Relay).NoneWithin(r.StartedAt, stableWindow) && b.store.NoneWithin(r.StartedAt, stableWindow)
}

// age is how much of the time from at to the begin of a run counts: the stretch since
// the store has been stable, and the sender's path to it and that to the engine whole.
func (b *bounds) age(r run, at time.Time) time.Duration {
	if calm := b.store.LastEnd(r.StartedAt); !calm.IsZero() {
		at = latest(at, calm.Add(stableWindow))
	}
	at = latest(at, b.pathSpells(r.sender.StorePath).LastEnd(r.StartedAt))
	at = latest(at, b.pathSpells(r.engine.Relay).LastEnd(r.StartedAt))
	return r.StartedAt.Sub(at)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// late is what one entry did past one bound: how often, and the first of it.
type late struct {
	count int
	first string
}

// check looks for runs that began past a bound and enters those of one entry past one
// bound together.
func (b *bounds) check(l *Checker, runs []run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.namings {
		b.report(l, VersionBound, runs, func(r run) bool {
			return r.engine.Model != "" && r.Version < n.version && b.age(r, n.at) > versionBound
		}, n.at)
	}
	for _, out := range b.leavings {
		b.report(l, DrainBound, runs, func(r run) bool {
			return r.engine == out.engine && r.StartedAt.Before(out.to) && b.age(r, out.from) > drainBound
		}, out.from)
	}
	for _, out := range b.evacuations {
		b.report(l, EvacuationBound, runs, func(r run) bool {
			return r.engine.Zone == out.zone && r.StartedAt.Before(out.to) && b.age(r, out.from) > evacuationBound
		}, out.from)
	}
}

func (b *bounds) report(l *Checker, p Promise, runs []run, isLate func(run) bool, since time.Time) {
	found := map[*harness.Machine]*late{}
	for _, r := range runs {
		if !b.inTouch(r) || !isLate(r) {
			continue
		}
		if found[r.sender] == nil {
			found[r.sender] = &late{first: fmt.Sprintf("%s at %s on version %d, %v after it was told",
				r.AttemptID, r.engine.ID, r.Version, r.StartedAt.Sub(since).Round(time.Millisecond))}
		}
		found[r.sender].count++
	}
	for sender, it := range found {
		l.AddViolation(p, "%s sent %d, first %s", sender.Name, it.count, it.first)
	}
}
