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

func TestGeneratePlanIsDeterministicPerSeed(t *testing.T) {
	first, again := GeneratePlan(7, time.Minute, shape), GeneratePlan(7, time.Minute, shape)
	if !slices.Equal(first, again) {
		t.Error("GeneratePlan(7) returned two different plans, want equal plans")
	}
	if slices.Equal(first, GeneratePlan(8, time.Minute, shape)) {
		t.Error("GeneratePlan(8) returned the plan of seed 7, want a different plan")
	}
}

// Every kind of fault is drawn, none lasts into the recovery time, and of each class that
// serves requests one object always stays unaffected.
func TestGeneratePlanLeavesOneObjectUnaffected(t *testing.T) {
	const length = 2 * time.Minute
	var seen [faultCount]bool
	for seed := range uint64(20) {
		plan := GeneratePlan(seed, length, shape)
		for i, e := range plan {
			seen[e.Fault] = true
			if e.endTime() > length-recoveryTime {
				t.Fatalf("seed %d: %v ends at %v, want it to end before the recovery time", seed, e.Fault, e.endTime())
			}
			affected := map[int]bool{e.Index: true}
			for _, other := range plan[:i] {
				if other.Fault.class() == e.Fault.class() && other.endTime() > e.At {
					affected[other.Index] = true
				}
			}
			if c := e.Fault.class(); c <= services && len(affected) >= shape.count(c) {
				t.Fatalf("seed %d at %v: all objects of a class are affected, want one unaffected", seed, e.At)
			}
		}
	}
	for f, ok := range seen {
		if !ok {
			t.Errorf("fault %q was never drawn", Fault(f))
		}
	}
}

// Plans of drills have several returns of the store, and writes that these make it lose.
func TestDrillsLoseWrites(t *testing.T) {
	const length = 24 * time.Second
	for seed := range uint64(20) {
		returns, writes := 0, 0
		for _, e := range GenerateDrills(seed, length, shape) {
			if e.Fault == RestoreStore {
				returns++
			} else {
				writes++
			}
		}
		if returns < 2 || writes < returns {
			t.Errorf("seed %d: %d returns of the store and %d writes, want at least 2 returns and as many writes", seed, returns, writes)
		}
	}
}

func TestGeneratePlanSparesTheOnlyObjectOfAClass(t *testing.T) {
	for _, e := range GeneratePlan(1, time.Minute, Shape{Entries: 1, Targets: 1, Services: 1, Zones: 1}) {
		if c := e.Fault.class(); c <= zones {
			t.Errorf("%v affects the only object of its class, want no such fault", e.Fault)
		}
	}
}

func TestSavedPlanRoundTrip(t *testing.T) {
	saved := SavedPlan{Seed: 7, Cause: "unknown", Length: time.Minute, Events: GeneratePlan(7, time.Minute, shape)}
	file := filepath.Join(t.TempDir(), planFile)
	if err := saved.Write(file); err != nil {
		t.Fatal(err)
	}
	got, err := ReadSavedPlan(file)
	if err != nil || !reflect.DeepEqual(got, saved) {
		t.Errorf("ReadSavedPlan() = %+v, %v, want the written plan", got, err)
	}
}

// Every plan in testdata states its cause and can be played: its faults and objects exist.
func TestSavedPlansInTestdataCanBePlayed(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		saved, err := ReadSavedPlan(file)
		if err != nil || saved.Cause == "" {
			t.Errorf("ReadSavedPlan(%s): cause %q, error %v, want a cause", file, saved.Cause, err)
		}
		for _, e := range saved.Events {
			if e.Index >= shape.count(e.Fault.class()) || e.endTime() > saved.Length {
				t.Errorf("%s: event %+v has no object in the fleet or ends after the plan", file, e)
			}
		}
	}
}

// An event waits for the previous event on the same object, and for no other event.
func TestEventsOnOneObjectRunInSequence(t *testing.T) {
	var locks objectLocks
	unlock := locks.lock(Event{Fault: StopEntry, Index: 1})
	locks.lock(Event{Fault: KillTarget, Index: 1})()
	locks.lock(Event{Fault: KillEntry, Index: 0})()
	var unlocked atomic.Bool
	waited := make(chan bool)
	go func() {
		defer locks.lock(Event{Fault: KillEntry, Index: 1})()
		waited <- unlocked.Load()
	}()
	unlocked.Store(true)
	unlock()
	if !<-waited {
		t.Error("second event on the object began before the first had ended")
	}
}
