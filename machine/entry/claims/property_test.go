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

// playHistory plays random calls and faults from a seed. The result holds the violations.
func playHistory(seed uint64, disabled mechanism) *simCluster {
	s := newSimCluster()
	s.disabled = disabled
	return s.playRandom(seed)
}

// playIncompleteHistory is playHistory with a log that loses records before new entries
// read them. The lost records may lie within the window of keys.
func playIncompleteHistory(seed uint64, disabled mechanism) *simCluster {
	s := newSimCluster()
	s.disabled = disabled
	s.window = 40 * time.Second
	s.retention = 1 + int(seed%40)
	return s.playRandom(seed)
}

func (s *simCluster) playRandom(seed uint64) *simCluster {
	if seed%3 == 0 {
		s.maxBody = 0
	}
	p := &randomPlayer{cluster: s, rng: rand.New(rand.NewPCG(seed, 0)), resolved: map[contract.RequestID]bool{}}
	for _, name := range []string{"t1", "t2"} {
		s.addTarget(name)
	}
	s.queue.RunFor(20 * time.Second)
	for range 3 {
		p.addEntry()
	}
	s.queue.RunFor(time.Second)
	for range 60 {
		p.randomAction()
	}
	p.endFaults()
	return s
}

type randomPlayer struct {
	cluster  *simCluster
	rng      *rand.Rand
	requests int
	resolved map[contract.RequestID]bool
}

func (p *randomPlayer) addEntry() {
	p.cluster.addEntry(fmt.Sprintf("e%d", len(p.cluster.entries)+1))
}

func (p *randomPlayer) randomEntry() *entry {
	live := p.cluster.entryNames[max(0, len(p.cluster.entryNames)-3):]
	return p.cluster.entries[live[p.rng.IntN(len(live))]]
}

func (p *randomPlayer) randomTarget() *target {
	return p.cluster.targets[[]string{"t1", "t2"}[p.rng.IntN(2)]]
}

// randomOpenRun returns a request of the entry that was decided Run and has no outcome.
func (p *randomPlayer) randomOpenRun(e *entry) (contract.RequestID, bool) {
	var open []string
	for request, d := range e.decisions {
		if d.Verdict == Run && !p.resolved[request] {
			open = append(open, string(request))
		}
	}
	if len(open) == 0 {
		return "", false
	}
	sort.Strings(open)
	return contract.RequestID(open[p.rng.IntN(len(open))]), true
}

func (p *randomPlayer) randomAction() {
	s, e := p.cluster, p.randomEntry()
	switch p.rng.IntN(14) {
	case 0, 1, 2, 3:
		p.claim(e)
	case 4, 5:
		p.runOpenRequest(e)
	case 6:
		e.dead = p.rng.IntN(2) == 0
		if e.dead {
			p.addEntry()
		}
	case 7:
		e.paused = true
	case 8:
		for _, name := range s.entryNames {
			s.resume(s.entries[name])
		}
	case 9:
		s.addTarget([]string{"t1", "t2"}[p.rng.IntN(2)])
	case 10:
		s.logMode = []string{"down", "lost", "gone", "throttle"}[p.rng.IntN(4)]
	case 11:
		s.logMode = "up"
	case 12:
		if len(s.log) > 0 {
			s.copyRecord(1 + p.rng.IntN(len(s.log)))
		}
	case 13:
		s.queue.RunFor(time.Duration(p.rng.IntN(8000)) * time.Millisecond)
	}
	s.queue.RunFor(time.Duration(p.rng.IntN(300)) * time.Millisecond)
}

func (p *randomPlayer) claim(e *entry) {
	p.requests++
	body := "x"
	if p.rng.IntN(10) == 0 {
		body = "y"
	}
	p.cluster.claim(e.name, fmt.Sprintf("r%d", p.requests), fmt.Sprintf("k%d", p.rng.IntN(2)), body)
	if p.rng.IntN(6) == 0 {
		request := contract.RequestID(fmt.Sprintf("r%d", p.requests))
		p.cluster.queue.After(hopDelay, func() { p.cluster.runStep(e, func() { e.machine.GiveUp(p.cluster.now(), request) }) })
	}
}

// runOpenRequest sends an attempt of an open request. It then resolves the request, or
// the entry dies first.
func (p *randomPlayer) runOpenRequest(e *entry) {
	request, ok := p.randomOpenRun(e)
	if !ok || e.dead || e.paused {
		return
	}
	t := p.randomTarget()
	ran := p.cluster.sendAttempt(e, request, t)
	p.resolved[request] = true
	switch {
	case p.rng.IntN(4) == 0:
		e.dead = true
		p.addEntry()
	case ran && p.rng.IntN(3) == 0:
		p.cluster.resolve(e, request, contract.OutcomeUnknown)
	case ran:
		p.cluster.resolve(e, request, contract.OutcomeDone)
	default:
		p.cluster.resolve(e, request, contract.OutcomeNotRun)
	}
}

// endFaults ends all faults. Each key must then get a decision from the log.
func (p *randomPlayer) endFaults() {
	s := p.cluster
	s.logMode = "up"
	for _, name := range s.entryNames {
		s.resume(s.entries[name])
	}
	s.queue.RunFor(20 * time.Second)
	e := s.entries[s.entryNames[len(s.entryNames)-1]]
	for i := range 2 {
		request := fmt.Sprintf("last%d", i)
		s.claim(e.name, request, fmt.Sprintf("k%d", i), "x")
		s.queue.RunFor(10 * time.Second)
		if d, ok := e.decisions[contract.RequestID(request)]; !ok || d.Verdict == Unavailable && s.retention == 0 {
			s.addViolation("%s got no decision after all faults ended", request)
		}
	}
}

// TestAtMostOnceProperty checks the guarantees under random calls, failures, pauses,
// restarts of targets, lost replies, outages and repeated records.
func TestAtMostOnceProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if s := playHistory(seed, 0); len(s.violations) > 0 {
			t.Fatalf("complete history, seed %d: violations %v, want none\n%s", seed, s.violations, s.out.String())
		}
		if s := playIncompleteHistory(seed, 0); len(s.violations) > 0 {
			t.Fatalf("incomplete history, seed %d: violations %v, want none\n%s", seed, s.violations, s.out.String())
		}
	})
}

// TestEachMechanismIsNeeded checks that some history violates a guarantee if a mechanism
// is switched off, and does not if the mechanism is on.
func TestEachMechanismIsNeeded(t *testing.T) {
	cases := []struct {
		name string
		off  mechanism
		play func(seed uint64, off mechanism) *simCluster
	}{
		{"waitForRecord", waitForRecord, playHistory},
		{"bodyCheck", bodyCheck, playHistory},
		{"requireAllAnswers", requireAllAnswers, playHistory},
		{"graceBeforeProbe", graceBeforeProbe, playHistory},
		{"startLimit", startLimit, playHistory},
		{"claimAgeBound", claimAgeBound, playHistory},
		{"distrustIncompleteHistory", distrustIncompleteHistory, playIncompleteHistory},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			const histories = 1500
			for seed := range uint64(histories) {
				without := c.play(seed, c.off)
				if len(without.violations) == 0 {
					continue
				}
				t.Logf("mechanism disabled, seed %d: violations %v", seed, without.violations)
				if s := c.play(seed, 0); len(s.violations) > 0 {
					t.Fatalf("mechanism enabled, seed %d: violations %v, want none", seed, s.violations)
				}
				return
			}
			t.Fatalf("%d histories without the mechanism violated no guarantee, want a violation", histories)
		})
	}
}

// TestMechanismsInFixedSessions plays a fixed session for each mechanism whose absence
// the random histories do not detect.
func TestMechanismsInFixedSessions(t *testing.T) {
	cases := []struct {
		name string
		off  mechanism
		play func(s *simCluster) Verdict
		want Verdict
	}{
		{"releaseAbandoned", releaseAbandoned, claimAfterCallerGone, Run},
		{"keyExpiry", keyExpiry, claimAfterWindow, Expired},
	}
	for _, c := range cases {
		for _, off := range []mechanism{0, c.off} {
			s := newSimCluster()
			s.disabled = off
			got := c.play(s)
			if holds := got == c.want; holds != (off == 0) {
				t.Errorf("%s, disabled=%v: verdict %q, want it to depend on the mechanism\n%s", c.name, off != 0, got, s.out.String())
			}
		}
	}
}

// claimAfterCallerGone claims a key after the caller of its former claim left while that
// claim was in flight.
func claimAfterCallerGone(s *simCluster) Verdict {
	s.addEntry("a")
	s.addEntry("b")
	s.queue.RunFor(time.Second)
	s.claim("a", "r1", "k", "x")
	s.queue.RunFor(time.Millisecond)
	s.runStep(s.entries["a"], func() { s.entries["a"].machine.GiveUp(s.now(), "r1") })
	s.queue.RunFor(time.Second)
	s.claim("b", "r2", "k", "x")
	s.queue.RunFor(3 * time.Second)
	return s.entries["b"].decisions["r2"].Verdict
}

// claimAfterWindow claims a key again after the window.
func claimAfterWindow(s *simCluster) Verdict {
	s.addEntry("a")
	s.queue.RunFor(time.Second)
	s.claim("a", "r1", "k", "x")
	s.queue.RunFor(time.Second)
	s.resolve(s.entries["a"], "r1", contract.OutcomeDone)
	s.queue.RunFor(time.Hour)
	s.claim("a", "r2", "other", "x")
	s.queue.RunFor(time.Second)
	s.claim("a", "r3", "k", "x")
	s.queue.RunFor(time.Second)
	return s.entries["a"].decisions["r3"].Verdict
}
