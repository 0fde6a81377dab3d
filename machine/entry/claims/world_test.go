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

const hop = 2 * time.Millisecond

// world joins several machines, a log and targets under one simulated clock.
type world struct {
	start     time.Time
	queue     simulation.Queue
	log       []LogRecord
	logMode   string
	entries   map[string]*entry
	targets   map[string]*target
	names     []string
	answers   map[string]string
	bodies    map[contract.RequestID]contract.Digest
	out       strings.Builder
	faults    []string
	off       mechanism
	retention int
	window    time.Duration
	maxBody   int
	ran       map[string]time.Time
}

type entry struct {
	name    string
	m       *Machine
	dead    bool
	paused  bool
	backlog []func()
	claims  map[contract.RequestID]contract.Claim
	leases  map[contract.RequestID]Lease
	verdict map[contract.RequestID]Decision
	wake    time.Time
}

type target struct {
	started    time.Time
	dead       bool
	tombstones map[contract.RequestID]bool
	ran        map[contract.RequestID]string
	running    map[contract.RequestID]bool
}

func newWorld() *world {
	start := time.Unix(1_000_000, 0).UTC()
	return &world{start: start, logMode: "up", entries: map[string]*entry{}, targets: map[string]*target{},
		answers: map[string]string{}, bodies: map[contract.RequestID]contract.Digest{},
		window: time.Hour, maxBody: 1024, ran: map[string]time.Time{}}
}

func testConfig(writer string) Config {
	return Config{
		StartTimeout: 4 * time.Second, ProbeDelay: 6 * time.Second, ProbeInterval: time.Second, AgeMargin: time.Second,
		LogTimeout: 2 * time.Second, HolderTimeout: 2 * time.Second, MaxKeys: 1000, MaxBodyBytes: 1024,
		Ledger:  ledger.Config{Window: time.Hour, MaxResultBytes: 1 << 20},
		Batcher: batcher.Config{Writer: writer, MaxAppendRate: 300, MaxInterval: time.Second, MaxBytes: 1 << 18, MaxPendingClaims: 1000},
	}
}

func (w *world) now() time.Time { return w.start.Add(w.queue.Now()) }

func (w *world) printf(format string, args ...any) {
	fmt.Fprintf(&w.out, "%7.3f ", w.queue.Now().Seconds())
	fmt.Fprintf(&w.out, format+"\n", args...)
}

func (w *world) addEntry(name string) {
	after := contract.Offset(0)
	if w.retention > 0 && len(w.log) > w.retention {
		after = contract.Offset(len(w.log) - w.retention)
	}
	e := &entry{name: name, claims: map[contract.RequestID]contract.Claim{}, leases: map[contract.RequestID]Lease{}, verdict: map[contract.RequestID]Decision{}}
	config := testConfig(name)
	config.Ledger.Window = w.window
	config.MaxBodyBytes = w.maxBody
	e.m = NewMachine(config, rand.New(rand.NewPCG(1, uint64(len(w.entries)))), after)
	e.m.off = w.off
	w.entries[name] = e
	w.names = append(w.names, name)
	w.deliver(e)
}

func (w *world) addTarget(name string) {
	w.targets[name] = &target{started: w.now(), tombstones: map[contract.RequestID]bool{}, ran: map[contract.RequestID]string{}, running: map[contract.RequestID]bool{}}
}

// on runs a step of an entry now, or when it is resumed.
func (w *world) on(e *entry, step func()) {
	if e.dead {
		return
	}
	if e.paused {
		e.backlog = append(e.backlog, func() { w.on(e, step) })
		return
	}
	step()
	w.pump(e)
}

// pump carries out the effects of an entry's machine.
func (w *world) pump(e *entry) {
	for _, eff := range e.m.TakeEffects(w.now()) {
		switch eff := eff.(type) {
		case Decided:
			w.decided(e, eff)
		case Append:
			w.append(e, eff.Batch)
		case Probe:
			w.printf("%s asks about %s, age %s", e.name, eff.Holder, eff.Age)
			w.queue.After(2*hop, func() {
				answer := w.probe(eff.Holder, eff.Age)
				w.on(e, func() { e.m.OnProbeResult(w.now(), eff.Key, eff.Holder, answer) })
			})
		case Recorded:
			w.printf("%s: outcome of %s is in the log", e.name, eff.Request)
		}
	}
	if at, ok := e.m.NextWake(); ok && (e.wake.IsZero() || at.Before(e.wake) || !e.wake.After(w.now())) {
		e.wake = at
		w.queue.After(max(at.Sub(w.now()), 0), func() { w.on(e, func() { e.m.Tick(w.now()) }) })
	}
}

func (w *world) decided(e *entry, d Decided) {
	text := fmt.Sprintf("%s: %s %s", e.name, d.Request, d.Decision.Verdict)
	if d.Decision.Holder != "" && d.Decision.Holder != d.Request {
		text += fmt.Sprintf(" of %s", d.Decision.Holder)
	}
	if d.Decision.Result != nil {
		if body, ok := w.bodies[d.Decision.Holder]; ok && body != e.claims[d.Request].BodyHash {
			w.fault("%s got the answer to another body", d.Request)
		}
		text += fmt.Sprintf(" %q", d.Decision.Result.Body)
		if d.Decision.Result.BodyOmitted {
			text += " omitted"
		}
		if key := e.claims[d.Request].Key; !d.Decision.Result.BodyOmitted && string(d.Decision.Result.Body) != w.answers[key] {
			w.fault("%s got another answer than that of key %s", d.Request, key)
		}
	}
	if d.Decision.RetryAfter > 0 {
		text += " retry after " + d.Decision.RetryAfter.Round(100*time.Millisecond).String()
	}
	w.printf("%s", text)
	e.verdict[d.Request] = d.Decision
	e.leases[d.Request] = NewLease(d.Decision, w.now())
}

func (w *world) append(e *entry, b *ledger.Batch) {
	mode := w.logMode
	data, err := b.Encode()
	if err != nil {
		panic(err)
	}
	w.queue.After(hop, func() {
		status := map[string]batcher.Status{"up": batcher.Appended, "down": batcher.Unavailable, "throttle": batcher.Throttled}[mode]
		if mode == "up" || mode == "lost" {
			w.log = append(w.log, LogRecord{Offset: contract.Offset(len(w.log) + 1), Time: w.now(), Data: data})
			w.printf("log %d: %s", len(w.log), describe(b))
			for _, name := range w.names {
				w.deliver(w.entries[name])
			}
		}
		w.queue.After(hop, func() { w.on(e, func() { e.m.OnAppendResult(w.now(), b.Seq, status) }) })
	})
}

func describe(b *ledger.Batch) string {
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

// deliver gives an entry the records that it has not read.
func (w *world) deliver(e *entry) {
	w.queue.After(hop, func() {
		w.on(e, func() {
			if w.logMode == "down" {
				w.queue.After(100*time.Millisecond, func() { w.deliver(e) })
				return
			}
			from := e.m.Applied()
			if err := e.m.ApplyRecords(w.now(), w.log[from:], contract.Offset(len(w.log))); err != nil {
				panic(err)
			}
		})
	})
}

// probe asks all targets, as a Prober must.
func (w *world) probe(request contract.RequestID, age time.Duration) ProbeResult {
	answer := ProbeResult{State: ProbeNeverRan}
	for _, t := range w.targets {
		if t.running[request] && !t.dead {
			return ProbeResult{State: ProbeRunning}
		}
		if body, ran := t.ran[request]; ran && !t.dead {
			return ProbeResult{State: ProbeDone, Result: &Result{Status: 200, Body: []byte(body)}}
		}
		if t.dead || t.started.After(w.now().Add(-age)) {
			answer.State = ProbeUnknown
			continue
		}
		t.tombstones[request] = true
	}
	return answer
}

func (w *world) claim(entryName, request, key, body string) {
	e := w.entries[entryName]
	c := contract.Claim{Service: "registry", Team: "team", Key: key, Request: contract.RequestID(request), BodyHash: contract.Digest(body)}
	e.claims[c.Request] = c
	w.bodies[c.Request] = c.BodyHash
	w.on(e, func() {
		if err := e.m.Claim(w.now(), c); err != nil {
			w.printf("%s: %s: %v", e.name, request, err)
		}
	})
}

// run sends an attempt of a request that was decided Run and reports whether it had its effect.
func (w *world) run(e *entry, request contract.RequestID, t *target) bool {
	d, decided := e.verdict[request]
	if !decided || d.Verdict != Run || e.dead || e.paused {
		return false
	}
	if !e.leases[request].MayStart(w.now()) && w.off&startBound == 0 {
		w.printf("%s: %s is too late to start", e.name, request)
		return false
	}
	if t.dead || t.tombstones[request] {
		if !t.dead && e.leases[request].MayStart(w.now()) {
			w.fault("%s was refused within its time to start", request)
		}
		w.printf("%s: %s refused by target", e.name, request)
		return false
	}
	key := e.claims[request].Key
	t.ran[request] = "answer to " + string(request)
	last, again := w.ran[key]
	w.ran[key] = w.now()
	if again && w.now().Sub(last) < w.window-testConfig("").StartTimeout {
		w.fault("key %s ran again after %s", key, w.now().Sub(last))
	} else {
		w.answers[key] = t.ran[request]
	}
	w.printf("%s: %s takes effect", e.name, request)
	return true
}

func (w *world) resolve(e *entry, request contract.RequestID, outcome contract.Outcome) {
	result := Result{Outcome: outcome}
	if outcome == contract.OutcomeDone {
		result.Status = 200
		result.Body = []byte("answer to " + string(request))
	}
	w.on(e, func() {
		if err := e.m.Resolve(w.now(), request, result); err != nil {
			w.printf("%s: %s: %v", e.name, request, err)
		}
	})
}

func (w *world) resume(e *entry) {
	e.paused = false
	backlog := e.backlog
	e.backlog = nil
	for _, step := range backlog {
		step()
	}
}

func (w *world) fault(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.faults = append(w.faults, text)
	w.printf("FAULT %s", text)
}
