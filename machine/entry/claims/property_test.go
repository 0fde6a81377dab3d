package claims

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosastand.example/mimosastand/contract"
)

// history plays random calls and faults from a seed and returns the promises
// that were broken.
func history(seed uint64, off mechanism) *world {
	w := newWorld()
	w.off = off
	return w.play(seed)
}

// shortHistory is a history in which the log loses records, within the window
// of keys or not, before new entries read them.
func shortHistory(seed uint64, off mechanism) *world {
	w := newWorld()
	w.off = off
	w.window = 40 * time.Second
	w.retention = 1 + int(seed%40)
	return w.play(seed)
}

func (w *world) play(seed uint64) *world {
	if seed%3 == 0 {
		w.maxBody = 0
	}
	p := &player{w: w, rng: rand.New(rand.NewPCG(seed, 0)), done: map[contract.RequestID]bool{}}
	for _, name := range []string{"t1", "t2"} {
		w.addTarget(name)
	}
	w.queue.RunFor(20 * time.Second)
	for range 3 {
		p.newEntry()
	}
	w.queue.RunFor(time.Second)
	for range 60 {
		p.act()
	}
	p.settle()
	return w
}

type player struct {
	w        *world
	rng      *rand.Rand
	requests int
	done     map[contract.RequestID]bool
}

func (p *player) newEntry() {
	p.w.addEntry(fmt.Sprintf("e%d", len(p.w.entries)+1))
}

func (p *player) entry() *entry {
	live := p.w.names[max(0, len(p.w.names)-3):]
	return p.w.entries[live[p.rng.IntN(len(live))]]
}

func (p *player) target() *target {
	return p.w.targets[[]string{"t1", "t2"}[p.rng.IntN(2)]]
}

// held returns a request of the entry that was decided Run and has no outcome.
func (p *player) held(e *entry) (contract.RequestID, bool) {
	var open []string
	for request, d := range e.verdict {
		if d.Verdict == Run && !p.done[request] {
			open = append(open, string(request))
		}
	}
	if len(open) == 0 {
		return "", false
	}
	sort.Strings(open)
	return contract.RequestID(open[p.rng.IntN(len(open))]), true
}

func (p *player) act() {
	w, e := p.w, p.entry()
	switch p.rng.IntN(14) {
	case 0, 1, 2, 3:
		p.claim(e)
	case 4, 5:
		p.serve(e)
	case 6:
		e.dead = p.rng.IntN(2) == 0
		if e.dead {
			p.newEntry()
		}
	case 7:
		e.paused = true
	case 8:
		for _, name := range w.names {
			w.resume(w.entries[name])
		}
	case 9:
		w.addTarget([]string{"t1", "t2"}[p.rng.IntN(2)])
	case 10:
		w.logMode = []string{"down", "lost", "gone", "throttle"}[p.rng.IntN(4)]
	case 11:
		w.logMode = "up"
	case 12:
		if len(w.log) > 0 {
			w.copyRecord(1 + p.rng.IntN(len(w.log)))
		}
	case 13:
		w.queue.RunFor(time.Duration(p.rng.IntN(8000)) * time.Millisecond)
	}
	w.queue.RunFor(time.Duration(p.rng.IntN(300)) * time.Millisecond)
}

func (p *player) claim(e *entry) {
	p.requests++
	body := "x"
	if p.rng.IntN(10) == 0 {
		body = "y"
	}
	p.w.claim(e.name, fmt.Sprintf("r%d", p.requests), fmt.Sprintf("k%d", p.rng.IntN(2)), body)
	if p.rng.IntN(6) == 0 {
		request := contract.RequestID(fmt.Sprintf("r%d", p.requests))
		p.w.queue.After(hop, func() { p.w.on(e, func() { e.m.GiveUp(p.w.now(), request) }) })
	}
}

// serve runs a held request and tells its outcome, or dies before that.
func (p *player) serve(e *entry) {
	request, ok := p.held(e)
	if !ok || e.dead || e.paused {
		return
	}
	t := p.target()
	ran := p.w.run(e, request, t)
	p.done[request] = true
	switch {
	case p.rng.IntN(4) == 0:
		e.dead = true
		p.newEntry()
	case ran && p.rng.IntN(3) == 0:
		p.w.resolve(e, request, contract.OutcomeUnknown)
	case ran:
		p.w.resolve(e, request, contract.OutcomeDone)
	default:
		p.w.resolve(e, request, contract.OutcomeNotRun)
	}
}

// settle ends all faults; then each key must get a decision from the log.
func (p *player) settle() {
	w := p.w
	w.logMode = "up"
	for _, name := range w.names {
		w.resume(w.entries[name])
	}
	w.queue.RunFor(20 * time.Second)
	e := w.entries[w.names[len(w.names)-1]]
	for i := range 2 {
		request := fmt.Sprintf("last%d", i)
		w.claim(e.name, request, fmt.Sprintf("k%d", i), "x")
		w.queue.RunFor(10 * time.Second)
		if d, ok := e.verdict[contract.RequestID(request)]; !ok || d.Verdict == Unavailable && w.retention == 0 {
			w.fault("%s got no decision after all faults ended", request)
		}
	}
}

// TestAtMostOnceProperty plays random calls, deaths, pauses, restarts of
// targets, lost replies, outages and repeated records.
func TestAtMostOnceProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if w := history(seed, 0); len(w.faults) > 0 {
			t.Fatalf("seed %d: %v\n%s", seed, w.faults, w.out.String())
		}
		if w := shortHistory(seed, 0); len(w.faults) > 0 {
			t.Fatalf("short history, seed %d: %v\n%s", seed, w.faults, w.out.String())
		}
	})
}

// TestMechanisms shows that each mechanism is needed: the same histories break
// a promise when it is switched off.
func TestMechanisms(t *testing.T) {
	cases := []struct {
		name string
		off  mechanism
		play func(seed uint64, off mechanism) *world
	}{
		{"waitForRecord", waitForRecord, history},
		{"bodyCheck", bodyCheck, history},
		{"vouching", vouching, history},
		{"graceBeforeProbe", graceBeforeProbe, history},
		{"startBound", startBound, history},
		{"ageBound", ageBound, history},
		{"distrustShort", distrustShort, shortHistory},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			const histories = 1500
			for seed := range uint64(histories) {
				without := c.play(seed, c.off)
				if len(without.faults) == 0 {
					continue
				}
				t.Logf("off, seed %d: %v", seed, without.faults)
				if w := c.play(seed, 0); len(w.faults) > 0 {
					t.Fatalf("on, seed %d: %v", seed, w.faults)
				}
				return
			}
			t.Fatalf("%d histories without the mechanism broke no promise", histories)
		})
	}
}

// TestDirectedMechanisms plays one session for each mechanism that the random
// histories do not judge.
func TestDirectedMechanisms(t *testing.T) {
	cases := []struct {
		name string
		off  mechanism
		play func(w *world) Verdict
		want Verdict
	}{
		{"releaseAbandoned", releaseAbandoned, afterCallerGone, Run},
		{"keyAge", keyAge, afterWindow, Expired},
	}
	for _, c := range cases {
		for _, off := range []mechanism{0, c.off} {
			w := newWorld()
			w.off = off
			got := c.play(w)
			if holds := got == c.want; holds != (off == 0) {
				t.Errorf("%s, off %v: %s\n%s", c.name, off != 0, got, w.out.String())
			}
		}
	}
}

// afterCallerGone claims a key whose former caller went away while its claim
// was on the way.
func afterCallerGone(w *world) Verdict {
	w.addEntry("a")
	w.addEntry("b")
	w.queue.RunFor(time.Second)
	w.claim("a", "r1", "k", "x")
	w.queue.RunFor(time.Millisecond)
	w.on(w.entries["a"], func() { w.entries["a"].m.GiveUp(w.now(), "r1") })
	w.queue.RunFor(time.Second)
	w.claim("b", "r2", "k", "x")
	w.queue.RunFor(3 * time.Second)
	return w.entries["b"].verdict["r2"].Verdict
}

// afterWindow claims a key again after the window.
func afterWindow(w *world) Verdict {
	w.addEntry("a")
	w.queue.RunFor(time.Second)
	w.claim("a", "r1", "k", "x")
	w.queue.RunFor(time.Second)
	w.resolve(w.entries["a"], "r1", contract.OutcomeDone)
	w.queue.RunFor(time.Hour)
	w.claim("a", "r2", "other", "x")
	w.queue.RunFor(time.Second)
	w.claim("a", "r3", "k", "x")
	w.queue.RunFor(time.Second)
	return w.entries["a"].verdict["r3"].Verdict
}
