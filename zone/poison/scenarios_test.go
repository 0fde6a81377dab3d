package poison_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

var fleetSizes = []int{3, 9, 40}

const (
	simulationTime = 20 * time.Second
	badStart       = 3 * time.Second
	// maxLate is how many bad requests may be sent later than lateAfter after the fifth
	// crash. From recoveredAfter after it on, the sound requests must begin at least
	// minBegun as often as before.
	maxLate        = 3
	lateAfter      = 3 * time.Second
	recoveredAfter = 6 * time.Second
	minBegun       = 0.5
	// seeds is how many seeds are played of a fleet, largeFleetSeeds of one of largeFleet
	// entries, whose simulation is slow under the race detector.
	seeds           = 5
	largeFleet      = 40
	largeFleetSeeds = 1
)

func seedsOf(entries int) uint64 {
	if entries >= largeFleet {
		return largeFleetSeeds
	}
	return seeds
}

func sortAttempts(list []*attempt) {
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(a.sentAt.Compare(b.sentAt), cmp.Compare(a.parts.Whole, b.parts.Whole))
	})
}

// fifthCrash returns when the fifth crash happened.
func (r *results) fifthCrash() (at time.Time, ok bool) {
	if len(r.crashes) < 5 {
		return time.Time{}, false
	}
	return r.crashes[4], true
}

// forEachFleet runs a test for some sizes of the fleet and seeds.
func forEachFleet(t *testing.T, sizes []int, play func(t *testing.T, f *fleet)) {
	for _, n := range sizes {
		for seed := range seedsOf(n) {
			t.Run(fmt.Sprintf("entries=%d/seed=%d", n, seed), func(t *testing.T) {
				t.Parallel()
				play(t, newFleet(seed, n))
			})
		}
	}
}

// checkContained fails the test if the bad requests were not refused in time, or sound ones
// were.
func checkContained(t *testing.T, name string, f *fleet, from time.Time) {
	t.Helper()
	r := &f.results
	fifth, ok := r.fifthCrash()
	if !ok {
		fifth = f.now.Add(-lateAfter)
	}
	if from.After(fifth) {
		fifth = from
	}
	late := since(r.badSent, fifth.Add(lateAfter))
	share := r.begunShare(fifth.Add(recoveredAfter), f.now.Add(-time.Second))
	logRow(t, name, len(f.entries), r, late, share)
	if late > maxLate {
		t.Errorf("%d bad requests sent later than %v after the fifth crash, want at most %d", late, lateAfter, maxLate)
	}
	if share < minBegun {
		t.Errorf("%.2f of the sound requests begin after %v, want %v", share, recoveredAfter, minBegun)
	}
	if r.soundRefuse > 0 {
		t.Errorf("%d sound requests refused, want 0", r.soundRefuse)
	}
}

// Guards against requests with one bad part that crash one engine after the other.
func TestBadPartIsRefused(t *testing.T) {
	bad := func(f *fleet) ([]string, []string) {
		return []string{f.firstPart(), f.class(), "bad"}, []string{"bad"}
	}
	cases := map[string]func(f *fleet) ([]string, []string){
		"one part": bad,
		"one part, always of one class": func(f *fleet) ([]string, []string) {
			return []string{f.firstPart(), "class-0", "bad"}, []string{"bad"}
		},
		"two parts": func(f *fleet) ([]string, []string) {
			p := fmt.Sprintf("bad-%d", f.rng.IntN(2))
			return []string{f.firstPart(), f.class(), p}, []string{p}
		},
		"two parts in one request": func(f *fleet) ([]string, []string) {
			return []string{f.firstPart(), "bad-0", f.class(), "bad-1"}, []string{"bad-0", "bad-1"}
		},
		"two parts, at times in one request": func(f *fleet) ([]string, []string) {
			p := []string{"bad-0", "bad-1"}[:1+f.rng.IntN(2)]
			return append([]string{f.firstPart(), f.class()}, p...), p
		},
		"bad part with a sound companion": func(f *fleet) ([]string, []string) {
			return []string{f.firstPart(), "companion", "bad"}, []string{"bad"}
		},
		"first part": func(f *fleet) ([]string, []string) {
			return []string{"first-0-bad", f.class()}, []string{"first-0-bad"}
		},
	}
	for name, newBad := range cases {
		t.Run(name, func(t *testing.T) {
			forEachFleet(t, fleetSizes, func(t *testing.T, f *fleet) {
				f.newBad, f.badFrom = newBad, badStart
				f.run(simulationTime)
				checkContained(t, name, f, startTime)
			})
		})
	}
}

// Guards against a bad part that is trusted because it was served before.
func TestPartTurnsBad(t *testing.T) {
	forEachFleet(t, fleetSizes, func(t *testing.T, f *fleet) {
		f.isBad = func(_ string, at time.Duration) bool { return at > 5*time.Second }
		f.run(simulationTime)
		checkContained(t, "part turns bad", f, startTime)
	})
}

// Guards against a fleet that never learns because it got bad requests only at first. Without
// sound ones, a bad part looks like a service whose engines crash whatever they get.
func TestOnlyBadRequestsAtFirst(t *testing.T) {
	forEachFleet(t, fleetSizes, func(t *testing.T, f *fleet) {
		f.soundFrom = 5 * time.Second
		f.run(simulationTime)
		checkContained(t, "only bad requests at first", f, startTime.Add(f.soundFrom))
	})
}

// Guards against blame for crashes that have nothing to do with what the engines got.
func TestCrashesWithoutBadPart(t *testing.T) {
	crashFrom := 4 * time.Second
	cases := map[string]func(f *fleet){
		"one engine": func(f *fleet) { f.at(crashFrom, func() { f.crash(f.engines[0]) }) },
		"engines in turn": func(f *fleet) {
			for i := range 16 {
				f.at(crashFrom+time.Duration(i)*700*time.Millisecond, func() { f.crash(f.engines[i%engineCount]) })
			}
		},
		"all engines at once": func(f *fleet) {
			f.at(crashFrom, func() {
				for _, e := range f.engines {
					f.crash(e)
				}
			})
		},
		"all engines at once, three times": func(f *fleet) {
			for i := range 3 {
				f.at(crashFrom+time.Duration(i)*4*time.Second, func() {
					for _, e := range f.engines {
						f.crash(e)
					}
				})
			}
		},
		"engines that crash whatever they get": func(f *fleet) {
			f.crashesAll = func(at time.Duration) bool { return at > crashFrom }
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			forEachFleet(t, fleetSizes, func(t *testing.T, f *fleet) {
				f.newBad = nil
				play(f)
				f.run(simulationTime)
				logRow(t, name, len(f.entries), &f.results, 0, 0)
				if f.results.soundRefuse > 0 {
					t.Errorf("%d sound requests refused, want 0", f.results.soundRefuse)
				}
				if blamed := f.blamed(); blamed > 0 {
					t.Errorf("%d groups of parts blamed, want 0", blamed)
				}
			})
		})
	}
}

// blamed counts what the entries hold as blamed.
func (f *fleet) blamed() int {
	n := 0
	for _, e := range f.entries {
		_, verdicts := e.tracker.Reports(f.now)
		for _, v := range verdicts {
			if v.Blamed {
				n++
			}
		}
	}
	return n
}

// Guards against an entry that sends on what the others refuse, after it was out of touch.
func TestEntryOutOfTouch(t *testing.T) {
	cases := map[string]func(f *fleet, e *fleetEntry){
		"entry that starts": func(f *fleet, e *fleetEntry) {
			e.started = false
			f.at(12*time.Second, func() { e.started = true })
		},
		"entry that pauses": func(f *fleet, e *fleetEntry) {
			f.at(badStart+time.Second, func() { e.pausedUntil = f.now.Add(3 * time.Second) })
		},
		"entry that is cut off for 8 s": func(f *fleet, e *fleetEntry) {
			e.isolated = true
			f.at(badStart+8*time.Second, func() { e.isolated = false })
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			forEachFleet(t, fleetSizes, func(t *testing.T, f *fleet) {
				f.badFrom = badStart
				play(f, f.entries[0])
				f.run(simulationTime)
				checkContained(t, name, f, startTime)
			})
		})
	}
}

// Guards against an entry that has to learn of a bad part alone and sends on too long.
func TestEntryCutOffForGood(t *testing.T) {
	forEachFleet(t, fleetSizes, func(t *testing.T, f *fleet) {
		f.badFrom = badStart
		f.entries[0].isolated = true
		f.run(simulationTime)
		checkContained(t, "entry that is cut off", f, startTime)
	})
}

// Guards against a part that stays refused after it has stopped being bad, and against probes
// by several entries.
func TestPartIsServedAgainAfterProbe(t *testing.T) {
	forEachFleet(t, fleetSizes, func(t *testing.T, f *fleet) {
		// The first probe crashes its target, the second is served.
		f.badFrom, f.soundPerSecond = badStart, 60
		r := &f.results
		f.isBad = func(string, time.Duration) bool { return len(r.probes) <= 1 }
		for until := time.Minute; until < 30*time.Minute && len(r.probes) < 2; until += 5 * time.Second {
			f.run(until)
		}
		f.run(f.elapsed() + 10*time.Second)
		logRow(t, "part stops being bad", len(f.entries), r, 0, 0)
		if len(r.probes) != 2 {
			t.Fatalf("%d probes, want 2", len(r.probes))
		}
		blamedBy := startTime.Add(badStart + 10*time.Second)
		if n := since(r.crashes, blamedBy); n != 1 {
			t.Errorf("%d crashes after the blame, want 1", n)
		}
		if first := r.probes[0].Sub(r.crashes[2]); first < 2*time.Minute {
			t.Errorf("first probe %v after the third crash, want at least 2m", first)
		}
		if doubled := r.probes[1].Sub(r.probes[0]); doubled < 4*time.Minute {
			t.Errorf("second probe %v after the first, want at least 4m", doubled)
		}
		if n := since(r.refusedBad, r.probes[1].Add(3*time.Second)); n > 0 {
			t.Errorf("%d requests refused later than 3 s after a probe was served", n)
		}
		if blamed := f.blamed(); blamed > 0 {
			t.Errorf("%d entries blame the part", blamed)
		}
	})
}
