package fleet

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	entrydirect "mimosastand.example/mimosastand/machine/entry/direct"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

const (
	// badPart is the part of a prompt that crashes engines.
	badPart = "badc0de"
	// crashesUntilBound is the number of crashes, and learningTime the time after the last of
	// them, from which at most maxPastBound requests with the part may reach engines: the
	// platform's rule.
	crashesUntilBound = 5
	learningTime      = 3 * time.Second
	maxPastBound      = 3
)

// promptTraffic sends sound requests and some with badPart to entries in turn.
type promptTraffic struct {
	r       *rig
	entries []*entrydirect.Entry
	calls   sync.WaitGroup
	// soundSent and soundServed count the sound requests sent from countFrom on.
	countFrom              time.Time
	soundSent, soundServed atomic.Int64
}

// run sends sound requests, and some with badPart among them if withBad is set.
func (p *promptTraffic) run(duration time.Duration, withBad bool) {
	const soundInterval, soundPerBad, firstParts = 15 * time.Millisecond, 8, 5
	start := time.Now()
	for n := 0; time.Since(start) < duration; n++ {
		first := fmt.Sprintf("first-%d", n%firstParts)
		entry, counts := p.entries[n%len(p.entries)], time.Now().After(p.countFrom)
		p.calls.Go(func() { p.send(entry, counts, first) })
		if withBad && n%soundPerBad == 0 {
			other := p.entries[(n/soundPerBad)%len(p.entries)]
			p.calls.Go(func() { p.send(other, false, first, badPart) })
		}
		time.Sleep(soundInterval)
	}
	p.calls.Wait()
}

// send sends a request whose prompt has the parts and one of its own.
func (p *promptTraffic) send(e *entrydirect.Entry, counts bool, parts ...string) {
	got := p.r.callWithPrompt(e, parts...)
	if !counts {
		return
	}
	p.soundSent.Add(1)
	if got.status == http.StatusOK && got.err == nil {
		p.soundServed.Add(1)
	}
}

// Guards against prompts that crash one engine after the other (BUDGET, incident second1): no
// entry read the parts of prompts, and retries carried the crash to another engine.
func TestPromptPartThatCrashesEnginesIsRefused(t *testing.T) {
	for name, events := range map[string]int{"before the first event": 0, "after the first event": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testCrashingPart(t, events)
		})
	}
}

const (
	// soundTime is how long there are sound requests only, badTime how long bad ones come, too.
	soundTime = 3 * time.Second
	badTime   = 14 * time.Second
)

// newCrashRig starts three entries, ten model engines and three targets of the plain service.
func newCrashRig(t *testing.T) *rig {
	r := newRig(t)
	for n := range 8 {
		r.addEngine(fmt.Sprintf("i-e%d", n), 8)
	}
	r.addPlainEngine("i-q0")
	for i := range 3 {
		r.startEntry(fmt.Sprintf("entry-%d", i+1), r.store.Address())
	}
	return r
}

// testCrashingPart has a part crash engines after so many events of an answer.
func testCrashingPart(t *testing.T, events int) {
	r := newCrashRig(t)
	p := &promptTraffic{r: r, entries: r.entries, countFrom: time.Now().Add(time.Hour)}
	p.run(soundTime, false)
	for _, e := range r.engines {
		e.SetEventsBeforeCrash(events)
		e.SetCrashCauses(standins.CrashCauses{Parts: []string{badPart}})
	}
	p.countFrom = time.Now().Add(2 * learningTime)
	p.run(badTime, true)

	crashes, late := r.crashesAndLateArrivals(crashesUntilBound, func(a standins.Arrival) bool { return slices.Contains(a.Parts, badPart) })
	t.Logf("%d crashes, %d requests past the bound, %d of %d sound ones served", crashes, late, p.soundServed.Load(), p.soundSent.Load())
	if crashes == 0 || late > maxPastBound {
		t.Errorf("%d engines crashed and %d requests with the part reached engines %v after the fifth crash, want at least 1 and at most %d",
			crashes, late, learningTime, maxPastBound)
	}
	if most := r.mostEngines(); most > 1 {
		t.Errorf("a request with the part reached %d engines, want 1", most)
	}
	if sent, served := p.soundSent.Load(), p.soundServed.Load(); served*2 < sent {
		t.Errorf("%d of %d sound requests served, want at least half", served, sent)
	}
}

// mostEngines returns the greatest number of engines that one attempt with badPart reached.
func (r *rig) mostEngines() int {
	engines := map[string]int{}
	most := 0
	for _, e := range r.engines {
		for _, a := range e.Arrivals() {
			if slices.Contains(a.Parts, badPart) {
				engines[a.AttemptID]++
				most = max(most, engines[a.AttemptID])
			}
		}
	}
	return most
}

// crashesAndLateArrivals returns how often engines crashed, and how many of the requests that isBad
// names reached engines later than learningTime after the crash with the given number.
func (r *rig) crashesAndLateArrivals(crash int, isBad func(standins.Arrival) bool) (crashes, late int) {
	var times []time.Time
	for _, e := range r.allEngines() {
		for _, c := range e.Crashes() {
			times = append(times, c.At)
		}
	}
	if len(times) < crash {
		return len(times), 0
	}
	slices.SortFunc(times, time.Time.Compare)
	bound := times[crash-1].Add(learningTime)
	for _, e := range r.allEngines() {
		for _, a := range standins.ArrivalsSince(e.Arrivals(), bound) {
			if isBad(a) {
				late++
			}
		}
	}
	return len(times), late
}
