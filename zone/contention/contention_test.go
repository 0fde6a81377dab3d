package contention

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
)

const (
	warmup    = 2 * time.Second
	counted   = 3 * time.Second
	afterwork = 5 * time.Second
	// minInTime is the least number of requests in time under overload, relative to that at the
	// capacity of the engines.
	minInTime = 0.9
	// maxInversion is by how much less of a rank than of a less urgent one may be served.
	maxInversion = 0.05
	// requiredShare is the least share of a rank's callers that is served, relative to that of all.
	requiredShare = 0.25
	// maxEngineQueue is how many requests may ever wait at an engine.
	maxEngineQueue = 4
)

// sizes are the numbers of entries and engines.
var sizes = [][2]int{{3, 6}, {9, 9}, {78, 45}}

// playLoad returns a fleet after a load, whose callers all have their answers or have given up.
// prepare changes the fleet before.
func playLoad(entries, engines int, load float64, prepare func(*fleet)) *fleet {
	f := newFleet(1, entries, engines, load)
	if prepare != nil {
		prepare(f)
	}
	f.countFrom, f.countUntil = f.now.Add(warmup), f.now.Add(warmup+counted)
	f.run(warmup + counted)
	f.load = 0.01
	f.run(afterwork)
	return f
}

// inTimeRate is the number of answers in time, as a share of the capacity.
func (f *fleet) inTimeRate() float64 {
	n := 0
	for _, r := range f.results {
		n += r.inTime
	}
	return float64(n) / (counted.Seconds() * f.capacity())
}

// Guards against engines that are filled with requests which they answer too late: with load
// information of half a second ago, the entries answered a third as many in time at twice the
// capacity as at the capacity itself. It also guards the order of the ranks and their minimum.
func TestOverloadKeepsAnswersInTime(t *testing.T) {
	withoutSlots := func(f *fleet) {
		f.poll = true
		for _, e := range f.entries {
			e.pool.ShareSlots("", nil)
		}
	}
	if f := playLoad(78, 45, 2, withoutSlots); f.inTimeRate() > 0.5 {
		t.Errorf("%.3f of the capacity in time without slot shares and queue, want the fault to show", f.inTimeRate())
	}
	for _, size := range sizes {
		onset := playLoad(size[0], size[1], 1, nil).inTimeRate()
		for _, load := range []float64{1.5, 2, 4} {
			f := playLoad(size[0], size[1], load, nil)
			t.Logf("%d entries, %d engines, load %.1f: in time %.3f of the capacity, %.3f at load 1, by rank %+v", size[0], size[1], load, f.inTimeRate(), onset, f.results)
			if f.inTimeRate() < minInTime*onset {
				t.Errorf("%d entries, load %.1f: %.3f of the capacity in time, want at least %.2f of %.3f", size[0], load, f.inTimeRate(), minInTime, onset)
			}
			f.checkRanks(t, load)
		}
	}
}

// checkRanks checks the order of the ranks and that none starves.
func (f *fleet) checkRanks(t *testing.T, load float64) {
	t.Helper()
	callers, served := 0, 0
	for _, r := range f.results {
		callers, served = callers+r.callers, served+r.inTime+r.late
	}
	for rank, r := range f.results {
		if least := requiredShare * float64(served) / float64(callers); r.served() < least {
			t.Errorf("load %.1f: %.3f of rank %d were served, want at least %.3f", load, r.served(), rank, least)
		}
		for other := rank + 1; other < rankCount; other++ {
			if r.served() < f.results[other].served()-maxInversion {
				t.Errorf("load %.1f: %.3f of rank %d were served and %.3f of rank %d", load, r.served(), rank, f.results[other].served(), other)
			}
		}
	}
}

// inTimeShare is the share of the callers that were answered in time.
func (f *fleet) inTimeShare() float64 {
	inTime, callers := 0, 0
	for _, r := range f.results {
		inTime, callers = inTime+r.inTime, callers+r.callers
	}
	return float64(inTime) / float64(callers)
}

// Guards against an overload that keeps itself up by the callers that return: 2 s after a burst,
// requests are served in time as before it.
func TestFleetRecoversAfterBurst(t *testing.T) {
	const burst, recovery, steadyLoad, least = 2 * time.Second, 2 * time.Second, 0.6, 0.9
	inTime := func(size [2]int, burstLoad float64) float64 {
		f := newFleet(1, size[0], size[1], steadyLoad)
		f.run(warmup)
		f.load = burstLoad
		f.run(burst)
		f.load = steadyLoad
		f.run(recovery)
		f.countFrom, f.countUntil = f.now, f.now.Add(counted)
		f.run(counted + afterwork)
		return f.inTimeShare()
	}
	for _, size := range sizes {
		steady, after := inTime(size, steadyLoad), inTime(size, 4)
		t.Logf("%d entries: %.3f in time after the burst, %.3f without", size[0], after, steady)
		if after < least*steady {
			t.Errorf("%d entries: %.3f of the requests in time from 2 s after a burst on, want at least %.1f of %.3f", size[0], after, least, steady)
		}
	}
}

// Guards against capacity that is lost with an entry, and against engines that are overfilled while
// the entries know different members: one dies, and each of the others learns that at another time
// within a second.
func TestDeadEntryLeavesItsSlotsToOthers(t *testing.T) {
	const load = 1.5
	before := playLoad(9, 9, load, nil).inTimeRate()
	after := playLoad(9, 9, load, func(f *fleet) {
		f.at(f.now.Add(warmup), func() {
			f.entries[0].dead = true
			var running []contract.MachineID
			for _, e := range f.entries[1:] {
				running = append(running, e.id)
			}
			for i, e := range f.entries[1:] {
				f.at(f.now.Add(time.Second*time.Duration(i)/8), func() { e.pool.ShareSlots(e.id, running) })
			}
		})
	})
	if after.inTimeRate() < minInTime*before {
		t.Errorf("%.3f of the capacity in time after an entry died, want at least %.1f of %.3f", after.inTimeRate(), minInTime, before)
	}
	for _, e := range after.engines {
		if e.mostWaiting > maxEngineQueue {
			t.Errorf("%d requests waited at an engine, want at most %d", e.mostWaiting, maxEngineQueue)
		}
	}
}

// Guards against entries that refuse callers while others have slots free: a quarter of the entries gets
// three times as many requests as the others, at half the capacity. Also guards against overfilling the few
// engines that are in use while the others load weights: two thirds are down, and the others get four
// times what they can serve.
func TestUnequalDemandAndFewEngines(t *testing.T) {
	const leastOfCallers, leastOfCapacity = 0.9, 0.6
	for _, size := range sizes {
		unequal := playLoad(size[0], size[1], 0.5, func(f *fleet) { f.weights = func(i int) float64 { return max(3-float64(i%4)*2, 1) } })
		few := playLoad(size[0], size[1], 4.0/3, func(f *fleet) {
			for i, e := range f.engines {
				e.isDown = i%3 != 0
			}
		})
		t.Logf("%d entries: %.3f of the requests in time with unequal demand, %.3f of the capacity with few engines", size[0], unequal.inTimeShare(), 3*few.inTimeRate())
		if unequal.inTimeShare() < leastOfCallers || 3*few.inTimeRate() < leastOfCapacity {
			t.Errorf("%d entries: want at least %.1f of the requests and %.1f of the capacity", size[0], leastOfCallers, leastOfCapacity)
		}
	}
}
