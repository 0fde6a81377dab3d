package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// series are generators of groups of events that follow one another closely and that
// single draws would almost never combine.
var series = []func(rnd *rand.Rand, at time.Duration, shape Shape) []Event{delayedAnnouncement, longEvacuation, longLimit, longCrashingPart, longCrashingRequest, silenceDuringStop}

const (
	// minOriginOutage and maxOriginOutage bound how long the origin of weights is
	// unavailable around an announcement.
	minOriginOutage = 11 * time.Second
	maxOriginOutage = 14 * time.Second
	// maxAnnouncementJitter bounds the random part of the time until a version is announced.
	maxAnnouncementJitter = time.Second
	// minEntryFaultOffset and maxEntryFaultOffset bound the time from the announcement to
	// the fault of the entry. The lower bound is negative because an entry that is paused
	// before the announcement receives it late.
	minEntryFaultOffset = -500 * time.Millisecond
	maxEntryFaultOffset = 1500 * time.Millisecond
	// minEntryFaultDuration and maxEntryFaultDuration bound how long the entry does not run.
	minEntryFaultDuration = 2 * time.Second
	maxEntryFaultDuration = 5 * time.Second
	// minLongEvacuation and maxLongEvacuation bound an evacuation that lasts longer than
	// evacuationBound.
	minLongEvacuation = 7 * time.Second
	maxLongEvacuation = 12 * time.Second
	// minLongLimit and maxLongLimit bound how long a back end limits its rate, longer than
	// the entries may take to follow and the span in which its requests are counted.
	minLongLimit = 8 * time.Second
	maxLongLimit = 14 * time.Second
)

// delayedAnnouncement announces a version while the origin is unavailable, so that the
// engines stay on the older version, and stops, kills or pauses an entry so that it receives
// the announcement late (docs/incidents/inc1-version-short.md).
func delayedAnnouncement(rnd *rand.Rand, at time.Duration, shape Shape) []Event {
	outage := Event{At: at, Duration: randomDuration(rnd, minOriginOutage, maxOriginOutage), Fault: OriginUnavailable}
	announcement := Event{At: at - minEntryFaultOffset + randomDuration(rnd, 0, maxAnnouncementJitter), Fault: AnnounceVersion}
	entryFault := Event{
		At:       announcement.At + randomDuration(rnd, minEntryFaultOffset, maxEntryFaultOffset),
		Duration: randomDuration(rnd, minEntryFaultDuration, maxEntryFaultDuration),
		Fault:    []Fault{KillEntry, PauseEntry, StopEntry}[rnd.IntN(3)],
	}
	return []Event{outage, announcement, drawObject(rnd, entryFault, shape)}
}

// longEvacuation evacuates a zone for longer than evacuationBound. Single events last at
// most maxDuration, which ends them before the bound.
func longEvacuation(rnd *rand.Rand, at time.Duration, shape Shape) []Event {
	return []Event{drawObject(rnd, Event{At: at, Duration: randomDuration(rnd, minLongEvacuation, maxLongEvacuation), Fault: EvacuateZone}, shape)}
}

// longLimit has a back end limit its rate for long enough that its requests can be counted,
// and stops, kills or pauses an entry meanwhile (docs/incidents/inc1-limit.md).
func longLimit(rnd *rand.Rand, at time.Duration, shape Shape) []Event {
	limit := Event{At: at, Duration: randomDuration(rnd, minLongLimit, maxLongLimit), Fault: LimitRate}
	entryFault := Event{
		At:       at + randomDuration(rnd, 0, minLongLimit),
		Duration: randomDuration(rnd, minDuration, minEntryFaultDuration),
		Fault:    []Fault{KillEntry, PauseEntry, StopEntry}[rnd.IntN(3)],
	}
	return []Event{drawObject(rnd, limit, shape), drawObject(rnd, entryFault, shape)}
}

const (
	// partLead is the time of sound traffic before a part crashes engines, with which that
	// beside it is compared.
	partLead = 5 * time.Second
	// minPartDuration and maxPartDuration bound how long a part crashes engines: long enough
	// for five crashes, twice stableWindow and enough requests after it.
	minPartDuration = 22 * time.Second
	maxPartDuration = 26 * time.Second
	// maxSilenceOffset bounds the time from the silence of an engine to the operators'
	// actions beside it.
	maxSilenceOffset = 900 * time.Millisecond
)

// longCrashingPart has a part of a prompt crash engines for long enough that what follows can
// be counted, and stops, kills or pauses an entry meanwhile (docs/incidents/second1-budget.md).
func longCrashingPart(rnd *rand.Rand, at time.Duration, shape Shape) []Event {
	crashing := Event{At: at + partLead, Duration: randomDuration(rnd, minPartDuration, maxPartDuration), Fault: CrashPart}
	entryFault := Event{
		At:       crashing.At + randomDuration(rnd, 0, minPartDuration/2),
		Duration: randomDuration(rnd, minEntryFaultDuration, maxEntryFaultDuration),
		Fault:    []Fault{KillEntry, PauseEntry, StopEntry}[rnd.IntN(3)],
	}
	return []Event{drawObject(rnd, crashing, shape), drawObject(rnd, entryFault, shape)}
}

const (
	// minRequestDuration and maxRequestDuration bound how long a request crashes back ends: long
	// enough for three crashes, stableWindow and more sendings than are allowed after it.
	minRequestDuration = 12 * time.Second
	maxRequestDuration = 16 * time.Second
)

// longCrashingRequest has a request crash back ends for long enough that what follows can be
// counted, and stops, kills or pauses an entry meanwhile (docs/incidents/inc1-budget-request.md).
func longCrashingRequest(rnd *rand.Rand, at time.Duration, shape Shape) []Event {
	crashing := Event{At: at, Duration: randomDuration(rnd, minRequestDuration, maxRequestDuration), Fault: CrashRequest}
	entryFault := Event{
		At:       crashing.At + randomDuration(rnd, 0, minRequestDuration/2),
		Duration: randomDuration(rnd, minEntryFaultDuration, maxEntryFaultDuration),
		Fault:    []Fault{KillEntry, PauseEntry, StopEntry}[rnd.IntN(3)],
	}
	return []Event{drawObject(rnd, crashing, shape), drawObject(rnd, entryFault, shape)}
}

// silenceDuringStop publishes a manifest and stops an entry while an engine is silent, so that
// streams are held by all three.
func silenceDuringStop(rnd *rand.Rand, at time.Duration, shape Shape) []Event {
	silence := Event{At: at, Duration: silenceDuration, Fault: SilenceEngine}
	manifest := Event{At: at + randomDuration(rnd, 0, maxSilenceOffset), Fault: PublishManifest}
	stop := Event{
		At:       at + randomDuration(rnd, 0, maxSilenceOffset),
		Duration: randomDuration(rnd, minEntryFaultDuration, maxEntryFaultDuration), Fault: StopEntry,
	}
	return []Event{drawObject(rnd, silence, shape), manifest, drawObject(rnd, stop, shape)}
}

const (
	// minDrillGap and maxDrillGap bound the time between two returns of the store in a plan
	// of drills. maxDrillOutage bounds how long the store is away.
	minDrillGap    = 3 * time.Second
	maxDrillGap    = 6 * time.Second
	maxDrillOutage = 1500 * time.Millisecond
	// writesPerDrill is how many writes of operators, or restarts of processes that publish
	// themselves, come before each return, so that something is lost.
	writesPerDrill = 3
)

// GenerateDrills draws a plan in which the store comes back from older copies, again and
// again, and nothing else fails: operators write, and processes are stopped and started.
func GenerateDrills(seed uint64, length time.Duration, shape Shape) []Event {
	rnd := rand.New(rand.NewPCG(seed, uint64(faultCount)))
	writers := []Fault{AnnounceVersion, PublishManifest, EvacuateZone, StopEntry}
	var plan []Event
	for at := faultFreeStart; at < length-recoveryTime; at += randomDuration(rnd, minDrillGap, maxDrillGap) {
		drawn := []Event{{At: at, Duration: randomDuration(rnd, minDuration, maxDrillOutage), Fault: RestoreStore}}
		for range writesPerDrill {
			before := randomDuration(rnd, 0, faultFreeStart)
			write := Event{At: at - before, Duration: randomDuration(rnd, minDuration, maxDuration), Fault: writers[rnd.IntN(len(writers))]}
			drawn = append(drawn, drawObject(rnd, write, shape))
		}
		for _, e := range drawn {
			if allFit(plan, []Event{e}, length-recoveryTime, shape) {
				plan = append(plan, e)
			}
		}
	}
	slices.SortStableFunc(plan, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return plan
}
