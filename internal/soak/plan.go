package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a kind of trouble, or something that operators do.
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
	StoreDown
	LateWrites
	DropHistory
	CorruptOrigin
	OriginUnavailable
	AnnounceVersion
	PublishManifest
	EvacuateZone
	faults
)

var faultNames = [faults]string{
	"kill entry", "pause entry", "stop entry", "reload entry", "store turns entry away",
	"lose target machine", "kill target", "pause target", "store turns target away",
	"engine hangs", "engine cuts a stream", "staged pieces rot", "drain engine",
	"delay to and from store", "connections to store reset", "cut towards store", "cut from store", "connections to store silent",
	"delay to and from back end", "connections to back end reset", "cut towards back end", "cut from back end",
	"connections to back end silent",
	"delay of links", "cut towards links", "cut from links", "links silent",
	"service hangs", "service loses answers", "store down", "store applies writes late", "store drops history",
	"origin corrupts pieces", "origin away", "name a version", "next manifest", "evacuate zone",
}

// String returns what happens.
func (f Fault) String() string { return faultNames[f] }

// class is what a fault falls on.
type class uint8

const (
	entries class = iota
	targets
	storePaths
	backEndPaths
	linkPaths
	services
	zones
	store
	origin
	operators
	classes
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
	case f <= DropHistory:
		return store
	case f <= OriginUnavailable:
		return origin
	case f == EvacuateZone:
		return zones
	default:
		return operators
	}
}

// harms reports whether a fault is unplanned and can cut requests.
func (f Fault) harms() bool {
	switch f.class() {
	case entries:
		return f != StopEntry && f != ReloadEntry
	case targets:
		return f != DrainEngine
	case storePaths, backEndPaths, linkPaths, services:
		return true
	default:
		return false
	}
}

// Shape is the number of objects of each class.
type Shape struct {
	Entries, Targets, Services, Zones int
}

func (s Shape) size(c class) int {
	switch c {
	case entries:
		return s.Entries
	case targets:
		return s.Targets
	case storePaths, linkPaths:
		return s.Entries + s.Targets
	case backEndPaths:
		return s.Targets + s.Services
	case services:
		return s.Services
	case zones:
		return s.Zones
	default:
		return 1
	}
}

// mostAtOnce is how many objects of a class may be in trouble at the same time: one
// of those that serve is left alone.
func (s Shape) mostAtOnce(c class) int {
	switch c {
	case store, origin, operators:
		return 1
	case zones:
		return min(s.Zones-1, 1)
	case storePaths, linkPaths:
		return min(s.Entries, s.Targets) - 1
	case backEndPaths:
		return min(s.Targets, s.Services) - 1
	default:
		return s.size(c) - 1
	}
}

// Event is one fault of a plan. At counts from the start.
type Event struct {
	At       time.Duration `json:"at_ns"`
	Duration time.Duration `json:"for_ns"`
	Fault    Fault         `json:"fault"`
	// On is the index of the object within its class.
	Index int `json:"on"`
}

func (e Event) end() time.Duration { return e.At + e.Duration }

const (
	// calmStart is left free of faults, and healTime at the end, so that the last
	// faults are over when the plan is.
	calmStart = 2 * time.Second
	healTime  = 3 * time.Second
	// minGap and maxGap space the events.
	minGap = 200 * time.Millisecond
	maxGap = 1500 * time.Millisecond
	// seriesEvery is how many draws there are to one that draws a series.
	seriesEvery = 6
	// minFor and maxFor bound how long a fault lasts.
	minFor = 500 * time.Millisecond
	maxFor = 5 * time.Second
)

// Plan draws the events of a run, in their order.
func GeneratePlan(seed uint64, length time.Duration, shape Shape) []Event {
	rnd := rand.New(rand.NewPCG(seed, uint64(faults)))
	var plan []Event
	for at := calmStart; at < length-healTime; at += between(rnd, minGap, maxGap) {
		drawn := draw(rnd, at, length-healTime, shape)
		if allFit(plan, drawn, length-healTime, shape) {
			plan = append(plan, drawn...)
		}
	}
	slices.SortStableFunc(plan, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// draw draws one event or one series of them that begins at at and ends by end.
func draw(rnd *rand.Rand, at, end time.Duration, shape Shape) []Event {
	if rnd.IntN(seriesEvery) == 0 {
		return series[rnd.IntN(len(series))](rnd, at, shape)
	}
	e := Event{At: at, Duration: min(between(rnd, minFor, maxFor), end-at), Fault: Fault(rnd.IntN(int(faults)))}
	return []Event{place(rnd, e, shape)}
}

// place draws the object on which an event falls.
func place(rnd *rand.Rand, e Event, shape Shape) Event {
	if n := shape.size(e.Fault.class()); n > 0 {
		e.Index = rnd.IntN(n)
	}
	return e
}

func between(rnd *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rnd.Int64N(int64(high-low)))
}

// allFit reports whether each of the drawn events ends in time and fits with the plan
// and the others.
func allFit(plan, drawn []Event, end time.Duration, shape Shape) bool {
	all := slices.Clone(plan)
	for _, e := range drawn {
		if shape.size(e.Fault.class()) == 0 || e.end() > end || !fits(all, e, shape) {
			return false
		}
		all = append(all, e)
	}
	return true
}

// fits reports whether an event leaves one object of its class alone and falls on
// none that is in trouble.
func fits(plan []Event, e Event, shape Shape) bool {
	c := e.Fault.class()
	troubled := 0
	for _, other := range plan {
		if other.Fault.class() != c || other.end() <= e.At || e.end() <= other.At {
			continue
		}
		if other.Index == e.Index {
			return false
		}
		troubled++
	}
	return troubled < shape.mostAtOnce(c)
}
