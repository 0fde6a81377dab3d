package soak

import (
	"path/filepath"
	"reflect"
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

var shape = Shape{Entries: 3, Targets: 6, Services: 3, Zones: 3}

func TestOneSeedGivesOnePlan(t *testing.T) {
	first, again := GeneratePlan(7, time.Minute, shape), GeneratePlan(7, time.Minute, shape)
	if !slices.Equal(first, again) {
		t.Error("two plans of one seed differ")
	}
	if slices.Equal(first, GeneratePlan(8, time.Minute, shape)) {
		t.Error("two seeds give one plan")
	}
}

// Every kind comes up, none lasts to the end, and one object of each class that
// serves is always left alone.
func TestPlansLeaveOneAlone(t *testing.T) {
	const length = 2 * time.Minute
	var seen [faults]bool
	for seed := range uint64(20) {
		plan := GeneratePlan(seed, length, shape)
		for i, e := range plan {
			seen[e.Fault] = true
			if e.end() > length-healTime {
				t.Fatalf("seed %d: %v lasts until %v", seed, e.Fault, e.end())
			}
			troubled := map[int]bool{e.Index: true}
			for _, other := range plan[:i] {
				if other.Fault.class() == e.Fault.class() && other.end() > e.At {
					troubled[other.Index] = true
				}
			}
			if c := e.Fault.class(); c <= services && len(troubled) >= shape.size(c) {
				t.Fatalf("seed %d at %v: all of a class are in trouble", seed, e.At)
			}
		}
	}
	for f, ok := range seen {
		if !ok {
			t.Errorf("never drawn: %v", Fault(f))
		}
	}
}

func TestPlansOfSmallFleets(t *testing.T) {
	for _, e := range GeneratePlan(1, time.Minute, Shape{Entries: 1, Targets: 1, Services: 1, Zones: 1}) {
		if c := e.Fault.class(); c <= zones {
			t.Errorf("%v falls on the only one", e.Fault)
		}
	}
}

// A plan that was written to a file is read back as it was.
func TestKeptPlans(t *testing.T) {
	kept := SavedPlan{Seed: 7, Cause: "unknown", Length: time.Minute, Events: GeneratePlan(7, time.Minute, shape)}
	file := filepath.Join(t.TempDir(), planFile)
	if err := kept.Write(file); err != nil {
		t.Fatal(err)
	}
	got, err := ReadSavedPlan(file)
	if err != nil || !reflect.DeepEqual(got, kept) {
		t.Errorf("got %+v, %v", got, err)
	}
}

// Every plan that is kept can be played: its faults and objects exist.
func TestKeptPlansFitTheFleet(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		kept, err := ReadSavedPlan(file)
		if err != nil || kept.Cause == "" {
			t.Errorf("%s: cause %q, %v", file, kept.Cause, err)
		}
		for _, e := range kept.Events {
			if e.Index >= shape.size(e.Fault.class()) || e.end() > kept.Length {
				t.Errorf("%s: %+v", file, e)
			}
		}
	}
}

// An event waits for the one before it on the same object, and for no other.
func TestEventsOnOneObjectFollowOneAnother(t *testing.T) {
	var h holds
	give := h.take(Event{Fault: StopEntry, Index: 1})
	h.take(Event{Fault: KillTarget, Index: 1})()
	h.take(Event{Fault: KillEntry, Index: 0})()
	var over atomic.Bool
	waited := make(chan bool)
	go func() {
		defer h.take(Event{Fault: KillEntry, Index: 1})()
		waited <- over.Load()
	}()
	over.Store(true)
	give()
	if !<-waited {
		t.Error("the second began before the first was over")
	}
}
