package soak

import (
	"fmt"
	"sync"
	"time"

	"mimosastand.example/mimosastand/internal/harness"
	"mimosastand.example/mimosastand/internal/relay"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

const (
	// versionBound is how long after the announcement of a version runs may still begin on
	// an older one; it equals the default of the settings. drainBound is how long runs may
	// still begin at an engine after it was listed as draining.
	versionBound = 8 * time.Second
	drainBound   = 3 * time.Second
	// evacuationBound is how long runs may still begin in a zone after it was evacuated. It
	// equals the platform's evac_ms.
	evacuationBound = 5 * time.Second
	// stableWindow is how long the store, the sending entry and its path to the engine must
	// have been unimpaired for a bound to apply. It equals the platform's
	// stable_window_ms.
	stableWindow = 3 * time.Second
)

// run is one run of a request at a back end, with the entry that sent it.
type run struct {
	standins.Run
	engine *standins.Engine
	sender *harness.Machine
}

// announcement is a version and when the store acknowledged its announcement.
type announcement struct {
	version int64
	at      time.Time
}

// drainSpan is a span in which an engine was listed as draining.
type drainSpan struct {
	engine   *standins.Engine
	from, to time.Time
}

// evacuationSpan is a span in which a zone was evacuated.
type evacuationSpan struct {
	zone     string
	from, to time.Time
}

// bounds records the events to which the promises with a time bound refer, and checks these
// promises.
type bounds struct {
	// storeImpairments is when the store was impaired.
	storeImpairments harness.Impairments

	mu sync.Mutex
	// pathImpairments is when each path was impaired.
	pathImpairments map[*relay.TCP]*harness.Impairments
	announcements   []announcement
	drains          []drainSpan
	// evacuations are the evacuations that have ended.
	evacuations []evacuationSpan
	// limits are the spans in which back ends limited their rate.
	limits []limitSpan
	// parts are the spans in which a part of a prompt crashed engines.
	parts []partSpan
	// requests are those that crashed back ends.
	requests []crashingRequest
	// refusals are the back ends that turned requests away for a time, or said that they leave.
	refusals []*standins.Engine
}

func (b *bounds) addAnnouncement(version int64, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.announcements = append(b.announcements, announcement{version, at})
}

func (b *bounds) addEvacuation(zone string, from, to time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evacuations = append(b.evacuations, evacuationSpan{zone, from, to})
}

func (b *bounds) addDrain(engine *standins.Engine, from, to time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drains = append(b.drains, drainSpan{engine, from, to})
}

// impairmentsOf returns the impairments of a path.
func (b *bounds) impairmentsOf(p *relay.TCP) *harness.Impairments {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.impairmentsOfLocked(p)
}

// impairmentsOfLocked is impairmentsOf for callers that hold mu.
func (b *bounds) impairmentsOfLocked(p *relay.TCP) *harness.Impairments {
	if b.pathImpairments == nil {
		b.pathImpairments = map[*relay.TCP]*harness.Impairments{}
	}
	if b.pathImpairments[p] == nil {
		b.pathImpairments[p] = &harness.Impairments{}
	}
	return b.pathImpairments[p]
}

// isStable reports whether the sender of a run, the path to the engine and the store were
// unimpaired for stableWindow before the run began.
func (b *bounds) isStable(r run) bool {
	return r.sender != nil && r.sender.Impairments.NoneWithin(r.StartedAt, stableWindow) &&
		b.impairmentsOfLocked(r.engine.Relay).NoneWithin(r.StartedAt, stableWindow) && b.storeImpairments.NoneWithin(r.StartedAt, stableWindow)
}

// effectiveAge returns how much of the time from since to the start of a run counts towards
// a bound. It counts neither the time until the store had been unimpaired for stableWindow
// nor the time until the last impairments of the sender's path to the store and of the path
// to the engine ended.
func (b *bounds) effectiveAge(r run, since time.Time) time.Duration {
	if lastEnd := b.storeImpairments.LastEnd(r.StartedAt); !lastEnd.IsZero() {
		since = latest(since, lastEnd.Add(stableWindow))
	}
	since = latest(since, b.impairmentsOfLocked(r.sender.StorePath).LastEnd(r.StartedAt))
	since = latest(since, b.impairmentsOfLocked(r.engine.Relay).LastEnd(r.StartedAt))
	return r.StartedAt.Sub(since)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lateRuns counts the runs that one entry sent past one bound, and describes the first.
type lateRuns struct {
	count int
	first string
}

// check records the runs that began past a bound, as one violation for each entry and
// bound.
func (b *bounds) check(checker *Checker, runs []run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, announced := range b.announcements {
		b.reportLate(checker, VersionBound, runs, func(r run) bool {
			return r.engine.Model != "" && r.Version < announced.version && b.effectiveAge(r, announced.at) > versionBound
		}, announced.at)
	}
	for _, drain := range b.drains {
		b.reportLate(checker, DrainBound, runs, func(r run) bool {
			return r.engine == drain.engine && r.StartedAt.Before(drain.to) && b.effectiveAge(r, drain.from) > drainBound
		}, drain.from)
	}
	for _, evacuation := range b.evacuations {
		b.reportLate(checker, EvacuationBound, runs, func(r run) bool {
			return r.engine.Zone == evacuation.zone && r.StartedAt.Before(evacuation.to) && b.effectiveAge(r, evacuation.from) > evacuationBound
		}, evacuation.from)
	}
}

func (b *bounds) reportLate(checker *Checker, p Promise, runs []run, isLate func(run) bool, since time.Time) {
	byEntry := map[*harness.Machine]*lateRuns{}
	for _, r := range runs {
		if !b.isStable(r) || !isLate(r) {
			continue
		}
		if byEntry[r.sender] == nil {
			byEntry[r.sender] = &lateRuns{first: fmt.Sprintf("%s at %s on version %d, %v after the change",
				r.AttemptID, r.engine.ID, r.Version, r.StartedAt.Sub(since).Round(time.Millisecond))}
		}
		byEntry[r.sender].count++
	}
	for sender, late := range byEntry {
		checker.AddViolation(p, "%s sent %d late requests, first %s", sender.Name, late.count, late.first)
	}
}
