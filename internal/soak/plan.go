package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a kind of failure, or an action of the operators.
type Fault uint8

// The kinds of faults.
const (
	KillEntry Fault = iota
	PauseEntry
	StopEntry
	ReloadEntry
	RejectEntry
	LoseTarget
	KillTarget
	PauseTarget
	RejectTarget
	HangEngine
	CutStream
	CorruptStaged
	SilenceEngine
	DrainEngine
	DelayStorePath
	ResetStorePath
	CutToStore
	CutFromStore
	SilenceStorePath
	DelayBackEndPath
	ResetBackEndPath
	CutToBackEnd
	CutFromBackEnd
	SilenceBackEndPath
	DelayLinks
	CutToLinks
	CutFromLinks
	SilenceLinks
	HangService
	LoseAnswers
	LimitRate
	UnframedAnswers
	EndlessAnswers
	TurnAway
	SayLeaving
	StoreDown
	LateWrites
	DropHistory
	RestoreStore
	CorruptOrigin
	OriginUnavailable
	AnnounceVersion
	PublishManifest
	EvacuateZone
	CrashPart
	CrashRequest
	faultCount
)

var faultNames = [faultCount]string{
	"kill entry", "pause entry", "stop entry", "reload entry", "store turns entry away",
	"lose target machine", "kill target", "pause target", "store turns target away",
	"engine hangs", "engine cuts a stream", "staged pieces rot", "engine silent", "drain engine",
	"delay to and from store", "connections to store reset", "cut towards store", "cut from store", "connections to store silent",
	"delay to and from back end", "connections to back end reset", "cut towards back end", "cut from back end",
	"connections to back end silent",
	"delay of links", "cut towards links", "cut from links", "links silent",
	"service hangs", "service loses answers", "back end limits its rate", "back end sends answers without framing", "back end sends answers without end",
	"back end wants no requests", "back end says that it leaves",
	"store down", "store applies writes late", "store drops history", "store back from an older copy",
	"origin corrupts pieces", "origin away", "name a version", "next manifest", "evacuate zone", "part of a prompt crashes engines",
	"request crashes back ends",
}

// String returns the name of the fault, as plan files have it.
func (f Fault) String() string { return faultNames[f] }

// class is the kind of object that a fault affects.
type class uint8

const (
	entries class = iota
	targets
	storePaths
	backEndPaths
	linkPaths
	services
	backEnds
	zones
	store
	origin
	operators
	prompts
	classCount
)

func (f Fault) class() class {
	switch {
	case f <= RejectEntry:
		return entries
	case f <= DrainEngine:
		return targets
	case f <= SilenceStorePath:
		return storePaths
	case f <= SilenceBackEndPath:
		return backEndPaths
	case f <= SilenceLinks:
		return linkPaths
	case f <= LoseAnswers:
		return services
	case f <= SayLeaving:
		return backEnds
	case f <= RestoreStore:
		return store
	case f <= OriginUnavailable:
		return origin
	case f == EvacuateZone:
		return zones
	case f == CrashPart, f == CrashRequest:
		return prompts
	default:
		return operators
	}
}

// canCutRequests reports whether the fault is unplanned and can cut requests off.
func (f Fault) canCutRequests() bool {
	switch f.class() {
	case entries:
		return f != StopEntry && f != ReloadEntry
	case targets:
		return f != DrainEngine && f != SilenceEngine
	case backEnds:
		return f != LimitRate && f != TurnAway
	case storePaths, backEndPaths, linkPaths, services, prompts:
		return true
	default:
		return false
	}
}

// Shape is the number of objects of each class.
type Shape struct {
	Entries, Targets, Services, Zones int
}

func (s Shape) count(c class) int {
	switch c {
	case entries:
		return s.Entries
	case targets:
		return s.Targets
	case storePaths, linkPaths:
		return s.Entries + s.Targets
	case backEndPaths, backEnds:
		return s.Targets + s.Services
	case services:
		return s.Services
	case zones:
		return s.Zones
	default:
		return 1
	}
}

// maxAffected returns how many objects of a class may be affected at the same time. Of each
// class that serves requests, at least one object stays unaffected.
func (s Shape) maxAffected(c class) int {
	switch c {
	case store, origin, operators, prompts:
		return 1
	case zones:
		return min(s.Zones-1, 1)
	case storePaths, linkPaths:
		return min(s.Entries, s.Targets) - 1
	case backEndPaths, backEnds:
		return min(s.Targets, s.Services) - 1
	default:
		return s.count(c) - 1
	}
}

// Event is one fault of a plan. At is relative to the start of the run.
type Event struct {
	At       time.Duration `json:"at_ns"`
	Duration time.Duration `json:"for_ns"`
	Fault    Fault         `json:"fault"`
	// Index is the index of the affected object within its class.
	Index int `json:"on"`
	// Variant selects among the variants of the fault, if it has any.
	Variant int `json:"variant,omitempty"`
}

func (e Event) endTime() time.Duration { return e.At + e.Duration }

const (
	// faultFreeStart at the start and recoveryTime at the end of a plan have no faults, so
	// that the last faults are over when the plan ends.
	faultFreeStart = 2 * time.Second
	recoveryTime   = 3 * time.Second
	// minGap and maxGap bound the time between the starts of two drawn events.
	minGap = 200 * time.Millisecond
	maxGap = 1500 * time.Millisecond
	// drawsPerSeries is how many draws there are, on average, to one that draws a series.
	drawsPerSeries = 3
	// minDuration and maxDuration bound the duration of a fault.
	minDuration = 500 * time.Millisecond
	maxDuration = 5 * time.Second
)

// GeneratePlan draws the events of a run and returns them in order of their start.
func GeneratePlan(seed uint64, length time.Duration, shape Shape) []Event {
	rnd := rand.New(rand.NewPCG(seed, uint64(faultCount)))
	var plan []Event
	for at := faultFreeStart; at < length-recoveryTime; at += randomDuration(rnd, minGap, maxGap) {
		drawn := drawEvents(rnd, at, length-recoveryTime, shape)
		if allFit(plan, drawn, length-recoveryTime, shape) {
			plan = append(plan, drawn...)
		}
	}
	slices.SortStableFunc(plan, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// drawEvents draws one event, or one series of events, that begins at at. A single event
// ends by end; a series may end later, and allFit then rejects it.
func drawEvents(rnd *rand.Rand, at, end time.Duration, shape Shape) []Event {
	if rnd.IntN(drawsPerSeries) == 0 {
		return series[rnd.IntN(len(series))](rnd, at, shape)
	}
	e := Event{At: at, Duration: min(randomDuration(rnd, minDuration, maxDuration), end-at), Fault: Fault(rnd.IntN(int(faultCount)))}
	return []Event{drawObject(rnd, e, shape)}
}

// drawObject draws the object that the event affects and the variant of its fault.
func drawObject(rnd *rand.Rand, e Event, shape Shape) Event {
	if n := shape.count(e.Fault.class()); n > 0 {
		e.Index = rnd.IntN(n)
	}
	if n := e.Fault.variantCount(); n > 0 {
		e.Variant = rnd.IntN(n)
	}
	return e
}

func randomDuration(rnd *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rnd.Int64N(int64(high-low)))
}

// allFit reports whether each drawn event ends by end and fits into the plan together
// with the other drawn events.
func allFit(plan, drawn []Event, end time.Duration, shape Shape) bool {
	all := slices.Clone(plan)
	for _, e := range drawn {
		if shape.count(e.Fault.class()) == 0 || e.endTime() > end || !fits(all, e, shape) {
			return false
		}
		all = append(all, e)
	}
	return true
}

// fits reports whether the event keeps the number of affected objects of its class within
// the limit and affects none that another event affects at the same time.
func fits(plan []Event, e Event, shape Shape) bool {
	c := e.Fault.class()
	affected := 0
	for _, other := range plan {
		if other.Fault.class() != c || other.endTime() <= e.At || e.endTime() <= other.At {
			continue
		}
		if other.Index == e.Index {
			return false
		}
		affected++
	}
	return affected < shape.maxAffected(c)
}
