package claims

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/simulation"
	"mimosastand.example/mimosastand/machine/entry/claims/batcher"
	"mimosastand.example/mimosastand/machine/entry/claims/ledger"
)

// hopDelay is the time that a message takes in one direction.
const hopDelay = 2 * time.Millisecond

// simCluster is a simulation of several entries' machines, a log and targets under one
// clock. It checks that each key runs at most once and that answers match their requests.
type simCluster struct {
	start      time.Time
	queue      simulation.Queue
	log        []LogRecord
	logMode    string
	entries    map[string]*entry
	targets    map[string]*target
	entryNames []string
	answers    map[string]string
	bodies     map[contract.RequestID]contract.Digest
	out        strings.Builder
	violations []string
	disabled   mechanism
	retention  int
	window     time.Duration
	maxBody    int
	lastEffect map[string]time.Time
}

type entry struct {
	name      string
	machine   *Machine
	dead      bool
	paused    bool
	backlog   []func()
	claims    map[contract.RequestID]contract.Claim
	leases    map[contract.RequestID]Lease
	decisions map[contract.RequestID]Decision
	wakeAt    time.Time
}

type target struct {
	startedAt  time.Time
	dead       bool
	tombstones map[contract.RequestID]bool
	answers    map[contract.RequestID]string
	running    map[contract.RequestID]bool
}

func newSimCluster() *simCluster {
	start := time.Unix(1_000_000, 0).UTC()
	return &simCluster{start: start, logMode: "up", entries: map[string]*entry{}, targets: map[string]*target{},
		answers: map[string]string{}, bodies: map[contract.RequestID]contract.Digest{},
		window: time.Hour, maxBody: 1024, lastEffect: map[string]time.Time{}}
}

func testConfig(writer string) Config {
	return Config{
		StartTimeout: 4 * time.Second, ProbeDelay: 6 * time.Second, ProbeInterval: time.Second, AgeMargin: time.Second,
		LogTimeout: 2 * time.Second, HolderTimeout: 2 * time.Second, MaxKeys: 1000, MaxBodyBytes: 1024,
		Ledger:  ledger.Config{Window: time.Hour, MaxResultBytes: 1 << 20},
		Batcher: batcher.Config{Writer: writer, MaxAppendRate: 300, MaxInterval: time.Second, MaxBytes: 1 << 18, MaxPendingClaims: 1000},
	}
}

func (s *simCluster) now() time.Time { return s.start.Add(s.queue.Now()) }

func (s *simCluster) printf(format string, args ...any) {
	fmt.Fprintf(&s.out, "%7.3f ", s.queue.Now().Seconds())
	fmt.Fprintf(&s.out, format+"\n", args...)
}

func (s *simCluster) addEntry(name string) {
	after := contract.Offset(0)
	if s.retention > 0 && len(s.log) > s.retention {
		after = contract.Offset(len(s.log) - s.retention)
	}
	e := &entry{name: name, claims: map[contract.RequestID]contract.Claim{}, leases: map[contract.RequestID]Lease{}, decisions: map[contract.RequestID]Decision{}}
	config := testConfig(name)
	config.Ledger.Window = s.window
	config.MaxBodyBytes = s.maxBody
	e.machine = NewMachine(config, rand.New(rand.NewPCG(1, uint64(len(s.entries)))), after)
	e.machine.disabled = s.disabled
	s.entries[name] = e
	s.entryNames = append(s.entryNames, name)
	s.deliverRecords(e)
}

func (s *simCluster) addTarget(name string) {
	s.targets[name] = &target{startedAt: s.now(), tombstones: map[contract.RequestID]bool{}, answers: map[contract.RequestID]string{}, running: map[contract.RequestID]bool{}}
}

// runStep runs a step of an entry at once, or when the entry is resumed.
func (s *simCluster) runStep(e *entry, step func()) {
	if e.dead {
		return
	}
	if e.paused {
		e.backlog = append(e.backlog, func() { s.runStep(e, step) })
		return
	}
	step()
	s.executeEffects(e)
}

// executeEffects executes the effects of an entry's machine.
func (s *simCluster) executeEffects(e *entry) {
	for _, eff := range e.machine.TakeEffects(s.now()) {
		switch eff := eff.(type) {
		case Decided:
			s.recordDecision(e, eff)
		case Append:
			s.appendBatch(e, eff.Batch)
		case Probe:
			s.printf("%s asks about %s, age %s", e.name, eff.Holder, eff.Age)
			s.queue.After(2*hopDelay, func() {
				answer := s.probeTargets(eff.Holder, eff.Age)
				s.runStep(e, func() { e.machine.OnProbeResult(s.now(), eff.Key, eff.Holder, answer) })
			})
		case Recorded:
			s.printf("%s: outcome of %s is in the log", e.name, eff.Request)
		}
	}
	if at, ok := e.machine.NextWake(); ok && (e.wakeAt.IsZero() || at.Before(e.wakeAt) || !e.wakeAt.After(s.now())) {
		e.wakeAt = at
		s.queue.After(max(at.Sub(s.now()), 0), func() { s.runStep(e, func() { e.machine.Tick(s.now()) }) })
	}
}

func (s *simCluster) recordDecision(e *entry, d Decided) {
	text := fmt.Sprintf("%s: %s %s", e.name, d.Request, d.Decision.Verdict)
	if d.Decision.Holder != "" && d.Decision.Holder != d.Request {
		text += fmt.Sprintf(" of %s", d.Decision.Holder)
	}
	if d.Decision.Result != nil {
		if body, ok := s.bodies[d.Decision.Holder]; ok && body != e.claims[d.Request].BodyHash {
			s.addViolation("%s got the answer to a request with another body", d.Request)
		}
		text += fmt.Sprintf(" %q", d.Decision.Result.Body)
		if d.Decision.Result.BodyOmitted {
			text += " omitted"
		}
		if key := e.claims[d.Request].Key; !d.Decision.Result.BodyOmitted && string(d.Decision.Result.Body) != s.answers[key] {
			s.addViolation("%s got an answer other than that of key %s", d.Request, key)
		}
	}
	if d.Decision.RetryAfter > 0 {
		text += " retry after " + d.Decision.RetryAfter.Round(100*time.Millisecond).String()
	}
	s.printf("%s", text)
	e.decisions[d.Request] = d.Decision
	e.leases[d.Request] = NewLease(d.Decision, s.now())
}

func (s *simCluster) appendBatch(e *entry, b *ledger.Batch) {
	mode := s.logMode
	data, err := b.Encode()
	if err != nil {
		panic(err)
	}
	s.queue.After(hopDelay, func() {
		status := map[string]batcher.Status{"up": batcher.Appended, "down": batcher.Unavailable, "throttle": batcher.Throttled}[mode]
		if mode == "up" || mode == "lost" {
			s.log = append(s.log, LogRecord{Offset: contract.Offset(len(s.log) + 1), Time: s.now(), Data: data})
			s.printf("log %d: %s", len(s.log), describeBatch(b))
			for _, name := range s.entryNames {
				s.deliverRecords(s.entries[name])
			}
		}
		s.queue.After(hopDelay, func() { s.runStep(e, func() { e.machine.OnAppendResult(s.now(), b.Seq, status) }) })
	})
}

func describeBatch(b *ledger.Batch) string {
	parts := []string{fmt.Sprintf("%s#%d", b.Writer, b.Seq)}
	for _, it := range b.Items {
		text := []string{"", "claim", "takeover", "outcome"}[it.Kind] + " " + string(it.Request)
		if it.Supersedes != "" {
			text += " of " + string(it.Supersedes)
		}
		if it.Result != nil {
			text += " " + it.Result.Outcome.String()
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, ", ")
}

// deliverRecords passes the records to an entry that it has not read.
func (s *simCluster) deliverRecords(e *entry) {
	s.queue.After(hopDelay, func() {
		s.runStep(e, func() {
			if s.logMode == "down" {
				s.queue.After(100*time.Millisecond, func() { s.deliverRecords(e) })
				return
			}
			from := e.machine.Applied()
			if err := e.machine.ApplyRecords(s.now(), s.log[from:], contract.Offset(len(s.log))); err != nil {
				panic(err)
			}
		})
	})
}

// probeTargets asks all targets about a request, as a Prober must.
func (s *simCluster) probeTargets(request contract.RequestID, age time.Duration) ProbeResult {
	answer := ProbeResult{State: ProbeNeverRan}
	for _, t := range s.targets {
		if t.running[request] && !t.dead {
			return ProbeResult{State: ProbeRunning}
		}
		if body, ran := t.answers[request]; ran && !t.dead {
			return ProbeResult{State: ProbeDone, Result: &Result{Status: 200, Body: []byte(body)}}
		}
		if t.dead || t.startedAt.After(s.now().Add(-age)) {
			answer.State = ProbeUnknown
			continue
		}
		t.tombstones[request] = true
	}
	return answer
}

func (s *simCluster) claim(entryName, request, key, body string) {
	e := s.entries[entryName]
	c := contract.Claim{Service: "registry", Team: "team", Key: key, Request: contract.RequestID(request), BodyHash: contract.Digest(body)}
	e.claims[c.Request] = c
	s.bodies[c.Request] = c.BodyHash
	s.runStep(e, func() {
		if err := e.machine.Claim(s.now(), c); err != nil {
			s.printf("%s: %s: %v", e.name, request, err)
		}
	})
}

// sendAttempt sends an attempt of a request that was decided Run. It reports whether the
// attempt took effect.
func (s *simCluster) sendAttempt(e *entry, request contract.RequestID, t *target) bool {
	d, decided := e.decisions[request]
	if !decided || d.Verdict != Run || e.dead || e.paused {
		return false
	}
	if !e.leases[request].MayStart(s.now()) && s.disabled&startLimit == 0 {
		s.printf("%s: %s is too late to start", e.name, request)
		return false
	}
	if t.dead || t.tombstones[request] {
		if !t.dead && e.leases[request].MayStart(s.now()) {
			s.addViolation("%s was refused within its start timeout", request)
		}
		s.printf("%s: %s refused by target", e.name, request)
		return false
	}
	key := e.claims[request].Key
	t.answers[request] = "answer to " + string(request)
	last, repeated := s.lastEffect[key]
	s.lastEffect[key] = s.now()
	if repeated && s.now().Sub(last) < s.window-testConfig("").StartTimeout {
		s.addViolation("key %s ran again after %s", key, s.now().Sub(last))
	} else {
		s.answers[key] = t.answers[request]
	}
	s.printf("%s: %s takes effect", e.name, request)
	return true
}

func (s *simCluster) resolve(e *entry, request contract.RequestID, outcome contract.Outcome) {
	result := Result{Outcome: outcome}
	if outcome == contract.OutcomeDone {
		result.Status = 200
		result.Body = []byte("answer to " + string(request))
	}
	s.runStep(e, func() {
		if err := e.machine.Resolve(s.now(), request, result); err != nil {
			s.printf("%s: %s: %v", e.name, request, err)
		}
	})
}

func (s *simCluster) resume(e *entry) {
	e.paused = false
	backlog := e.backlog
	e.backlog = nil
	for _, step := range backlog {
		step()
	}
}

// addViolation records that a guarantee was violated.
func (s *simCluster) addViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.violations = append(s.violations, text)
	s.printf("FAULT %s", text)
}
