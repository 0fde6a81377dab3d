package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
)

const (
	// reportedObservation is how long an observation is reported, reportedClear how long a
	// part that was cleared: all entries that are linked learn of it meanwhile.
	reportedObservation = 2 * time.Second
	reportedClear       = 10 * time.Second
	// maxRelayAge is the age of an observation beyond which it is not passed on, so that
	// none circulates among entries. rememberedReport is how long it is recognized when it
	// arrives again by another way.
	maxRelayAge      = 6 * time.Second
	rememberedReport = 10 * time.Second
	// maxRecent bounds the observations that are recognized.
	maxRecent = 256
	// maxObservations and maxVerdicts bound what is in one heartbeat, maxReportedParts the
	// parts of an observation.
	maxObservations  = 32
	maxVerdicts      = 32
	maxReportedParts = 4
)

// recentObservation is an observation that this entry made or received lately.
type recentObservation struct {
	Observation
	id         uint64
	recordedAt time.Time
}

// isReported reports whether the observation is passed on to other entries.
func (o recentObservation) isReported(now time.Time) bool {
	return now.Sub(o.recordedAt) <= reportedObservation && now.Sub(o.BrokenAt) <= maxRelayAge
}

// recordRecent records an observation, which is reported to other entries.
func (t *Tracker) recordRecent(now time.Time, id uint64, o Observation) {
	o.Request.Parts = t.leastProven(o.Request.Parts, maxReportedParts)
	if len(t.recent) >= maxRecent {
		t.recent = slices.Delete(t.recent, 0, 1)
	}
	t.recent = append(t.recent, recentObservation{o, id, now})
}

// isRecent reports whether an observation was recorded lately.
func (t *Tracker) isRecent(id uint64) bool {
	return slices.ContainsFunc(t.recent, func(o recentObservation) bool { return o.id == id })
}

// Reports lists the recent observations that this entry made or received, and all verdicts that
// it knows, for the other entries: not every two entries are linked. The newest go first, since
// the others have been reported before.
func (t *Tracker) Reports(now time.Time) ([]contract.PoisonObservation, []contract.PoisonVerdict) {
	t.prune(now)
	t.recent = slices.DeleteFunc(t.recent, func(o recentObservation) bool { return now.Sub(o.recordedAt) > rememberedReport })
	var observations []contract.PoisonObservation
	for _, o := range slices.Backward(t.recent) {
		if len(observations) >= maxObservations || !o.isReported(now) {
			continue
		}
		observations = append(observations, contract.PoisonObservation{
			ID: o.id, Crash: o.Crash, Service: o.Request.Service, Whole: uint64(o.Request.Whole), Prompt: o.Request.Prompt, Parts: numbers(o.Request.Parts),
			SentAgeMS: ageMS(now, o.SentAt), BrokenAgeMS: ageMS(now, o.BrokenAt), Entry: o.Entry,
		})
	}
	return observations, t.verdicts(now)
}

// verdicts lists the blamed groups and the parts that were cleared recently. Each of the two
// kinds may have half of the list, and what the other leaves free.
func (t *Tracker) verdicts(now time.Time) []contract.PoisonVerdict {
	var blamed, cleared []contract.PoisonVerdict
	for _, key := range t.sortedBlames() {
		b := t.blames[key]
		blamed = append(blamed, contract.PoisonVerdict{
			Parts: numbers(b.group), Observation: b.id, AgeMS: ageMS(now, b.at),
			Blamed: true, Probing: b.probing, Probes: b.probes,
		})
	}
	for _, p := range slices.Sorted(maps.Keys(t.clears)) {
		if c := t.clears[p]; now.Sub(c.at) <= reportedClear {
			cleared = append(cleared, contract.PoisonVerdict{Parts: numbers([]Part{p}), Observation: c.id, AgeMS: ageMS(now, c.at)})
		}
	}
	sortNewestFirst(blamed)
	sortNewestFirst(cleared)
	blamed = blamed[:min(len(blamed), max(maxVerdicts/2, maxVerdicts-len(cleared)))]
	return append(blamed, cleared[:min(len(cleared), maxVerdicts-len(blamed))]...)
}

func sortNewestFirst(list []contract.PoisonVerdict) {
	slices.SortStableFunc(list, func(a, b contract.PoisonVerdict) int { return cmp.Compare(a.AgeMS, b.AgeMS) })
}

// ApplyReports applies what another entry, the peer, reports, and returns the number of groups that are
// newly blamed or no longer. The newest statement on a group holds; one that came by several
// ways is as old as the first report tells.
func (t *Tracker) ApplyReports(now time.Time, peer contract.MachineID, observations []contract.PoisonObservation, verdicts []contract.PoisonVerdict) (changed int) {
	t.now = now
	before := t.sortedBlames()
	for _, v := range verdicts {
		t.applyVerdict(now, v)
	}
	for _, o := range observations {
		t.applyReport(now, peer, o)
	}
	if len(observations) > 0 || len(verdicts) > 0 {
		t.evaluate()
	}
	return countDifferences(before, t.sortedBlames())
}

// applyReport applies an observation that a peer made or passes on. One that came by another way
// before changes nothing: the times that arrived first are the most exact.
func (t *Tracker) applyReport(now time.Time, peer contract.MachineID, o contract.PoisonObservation) {
	if t.isRecent(o.ID) {
		return
	}
	received := Observation{
		Entry:   cmp.Or(o.Entry, peer),
		Crash:   o.Crash,
		Request: Request{Service: o.Service, Whole: Part(o.Whole), Prompt: o.Prompt, Parts: parts(o.Parts, maxReportedParts)},
		SentAt:  atAge(now, o.SentAgeMS), BrokenAt: atAge(now, o.BrokenAgeMS),
	}
	t.recordRecent(now, o.ID, received)
	t.apply(now, o.ID, received)
}

func countDifferences(a, b []groupKey) int {
	n := 0
	for _, key := range a {
		if !slices.Contains(b, key) {
			n++
		}
	}
	return n + len(b) - (len(a) - n)
}

func (t *Tracker) applyVerdict(now time.Time, v contract.PoisonVerdict) {
	group, at := parts(v.Parts, maxGroupParts), atAge(now, v.AgeMS)
	if len(group) == 0 {
		return
	}
	if !v.Blamed {
		if v.Observation != t.clears[group[0]].id {
			t.recordClear(group[0], at, v.Observation)
		}
		return
	}
	old := t.blames[keyOf(group)]
	if old != nil && (v.Observation == old.id || !at.After(old.at)) || t.clearedSince(group, at) {
		return
	}
	t.addBlame(&blame{group: group, at: at, probing: v.Probing, probes: min(v.Probes, maxProbeDoublings), id: v.Observation})
}

// clearedSince reports whether a part of the group was proven at a time or later.
func (t *Tracker) clearedSince(group []Part, at time.Time) bool {
	for _, p := range group {
		proven := t.lastProven(p)
		if !proven.Before(at) {
			t.recordClear(p, proven, t.rng.Uint64())
		}
		if !t.clears[p].at.Before(at) {
			return true
		}
	}
	return false
}

func ageMS(now, at time.Time) uint32 { return uint32(max(now.Sub(at), 0).Milliseconds()) }

func atAge(now time.Time, ageMS uint32) time.Time {
	return now.Add(-time.Duration(ageMS) * time.Millisecond)
}

func numbers(list []Part) []uint64 {
	var out []uint64
	for _, p := range list {
		out = append(out, uint64(p))
	}
	return out
}

// parts returns at most n parts of a report.
func parts(list []uint64, n int) []Part {
	var out []Part
	for _, v := range list[:min(len(list), n)] {
		out = append(out, Part(v))
	}
	return out
}
