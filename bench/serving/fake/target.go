// Package fake is a small target for benchmarks and tests: a gate, the records
// of attempts and an engine, all in virtual time. It speaks the messages of
// package contract and keeps count of what must never happen.
package fake

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Config describes a target.
type Config struct {
	Machine contract.MachineID
	Model   bool
	Digest  contract.Digest
	// Warm and Cold are how many units the back end bears; ColdFor is how long
	// it stays cold, SlowStart how long the gate's limit rises afterwards.
	Warm, Cold         int
	ColdFor, SlowStart time.Duration
	// First is the time to the first token without load, Gap that between
	// tokens; a plain call takes First.
	First, Gap time.Duration
	// NoGate lets every attempt start, as a back end behind a plain proxy does.
	NoGate bool
}

// Tally counts over the life of a target.
type Tally struct {
	// Started counts runs, OverBorne those that began above what the back end
	// bore, Out those that began while the zone had been out for OutGrace.
	Started, OverBorne, Out int
	// Crashes counts how often the back end fell over.
	Crashes int
	// Tokens counts the tokens generated.
	Tokens int
}

// OutGrace is how long after a zone went out work may still begin.
const OutGrace = 3 * time.Second

// crashFactor times what it bears makes a back end fall over.
const crashFactor = 2

// senderSilence is how long an entry counts as working after its last attempt.
const senderSilence = 5 * time.Second

type attempt struct {
	start contract.Start
	from  contract.MachineID
	state contract.AttemptState
	// frames is how many frames were made, of total.
	frames, total uint64
	length        uint64
	next          time.Time
	end           *contract.End
	// unsure marks a tombstone for an attempt that may have run before the
	// process started.
	unsure bool
}

// Target is one target. It is not safe for concurrent use.
type Target struct {
	Config
	Tally
	// Runs counts the runs of each request at the back end.
	Runs map[contract.RequestID]int

	incarnation contract.Incarnation
	seq         uint64
	born        time.Time
	coldUntil   time.Time
	// out tells that the gate knows that the zone is out, ordered when the
	// operators took it out.
	out      bool
	ordered  time.Time
	down     bool
	attempts map[contract.AttemptID]*attempt
	running  []*attempt
	senders  map[contract.MachineID]time.Time
}

// Output is a message about an attempt; the world passes it to the exchange
// that follows the attempt.
type Output struct {
	Attempt contract.AttemptID
	Message contract.Message
}

// New returns a warm target.
func New(now time.Time, cfg Config) *Target {
	t := &Target{Config: cfg, Runs: map[contract.RequestID]int{}}
	t.reset(now)
	t.coldUntil = now.Add(-cfg.SlowStart)
	return t
}

func (t *Target) reset(now time.Time) {
	t.incarnation++
	t.seq = 0
	t.born = now
	t.coldUntil = now.Add(t.ColdFor)
	t.attempts = map[contract.AttemptID]*attempt{}
	t.running = nil
	t.senders = map[contract.MachineID]time.Time{}
}

// Kill ends the process and all that it knows.
func (t *Target) Kill() {
	t.down = true
	t.running = nil
}

// Restart begins a new process, cold.
func (t *Target) Restart(now time.Time) {
	t.down = false
	t.reset(now)
}

// Down reports whether the process is dead.
func (t *Target) Down() bool { return t.down }

// TurnCold makes the back end cold without warning.
func (t *Target) TurnCold(now time.Time) {
	t.coldUntil = now.Add(t.ColdFor)
}

// Order notes that operators took the zone out at a time, or back in if that is
// zero; SetOut tells the target.
func (t *Target) Order(out time.Time) { t.ordered = out }

// SetOut tells the target that its zone is out or in.
func (t *Target) SetOut(out bool) { t.out = out }

// Incarnation is the present run.
func (t *Target) Incarnation() contract.Incarnation { return t.incarnation }

// bears is how many units the back end bears now.
func (t *Target) bears(now time.Time) int {
	if now.Before(t.coldUntil) {
		return t.Cold
	}
	return t.Warm
}

// limit is how many units the gate lets in now.
func (t *Target) limit(now time.Time) int {
	if now.Before(t.coldUntil) {
		return t.Cold
	}
	if t.SlowStart <= 0 {
		return t.Warm
	}
	share := min(1, float64(now.Sub(t.coldUntil))/float64(t.SlowStart))
	return t.Cold + int(share*float64(t.Warm-t.Cold))
}

// Load is what the target tells an entry.
func (t *Target) Load(now time.Time, entry contract.MachineID) contract.Load {
	t.seq++
	limit := t.limit(now)
	load := contract.Load{
		Running: uint32(len(t.running)),
		Limit:   uint32(limit),
		Warm:    !now.Before(t.coldUntil),
		Leaving: t.out,
		Credits: uint32(t.credits(now, entry, limit)),
		Seq:     t.seq,
	}
	if t.Model {
		load.Weights = t.Digest
	}
	return load
}

func (t *Target) credits(now time.Time, entry contract.MachineID, limit int) int {
	working := 0
	for _, at := range t.senders {
		if now.Sub(at) <= senderSilence {
			working++
		}
	}
	at, ok := t.senders[entry]
	if !ok || now.Sub(at) > senderSilence {
		return min(1, limit)
	}
	return max(1, (limit+working-1)/working)
}

// Start takes an attempt and returns the reply.
func (t *Target) Start(now time.Time, entry contract.MachineID, s contract.Start) contract.Message {
	t.senders[entry] = now
	if known, ok := t.attempts[s.Attempt]; ok && !t.NoGate {
		if known.state == contract.AttemptNeverRan {
			return t.refusal(now, entry, s, contract.ReasonTombstone)
		}
		return t.statusMessage(s.Attempt, known)
	}
	if reason := t.objection(now, s); reason != "" && !t.NoGate {
		t.attempts[s.Attempt] = &attempt{start: s, state: contract.AttemptNeverRan}
		return t.refusal(now, entry, s, reason)
	}
	t.begin(now, entry, s)
	return contract.Message{Kind: contract.KindAccept, Accept: &contract.Accept{Attempt: s.Attempt, Load: t.Load(now, entry)}}
}

func (t *Target) objection(now time.Time, s contract.Start) contract.Reason {
	switch {
	case t.out:
		return contract.ReasonZoneOut
	case s.Remaining <= 0:
		return contract.ReasonDeadline
	case t.Model && s.Weights != t.Digest:
		return contract.ReasonWeightsMismatch
	case len(t.running) >= t.limit(now) && now.Before(t.coldUntil):
		return contract.ReasonColdStart
	case len(t.running) >= t.limit(now):
		return contract.ReasonTargetFull
	default:
		return ""
	}
}

func (t *Target) refusal(now time.Time, entry contract.MachineID, s contract.Start, reason contract.Reason) contract.Message {
	return contract.Message{Kind: contract.KindRefuse, Refuse: &contract.Refuse{
		Attempt: s.Attempt, Reason: reason, Load: t.Load(now, entry),
	}}
}

func (t *Target) begin(now time.Time, entry contract.MachineID, s contract.Start) {
	a := &attempt{start: s, from: entry, state: contract.AttemptRunning, total: 1}
	if t.Model {
		a.total = uint64(s.Tokens) - min(s.ResumeAt, uint64(s.Tokens))
	}
	t.attempts[s.Attempt] = a
	t.running = append(t.running, a)
	t.Runs[s.Attempt.Request]++
	t.Started++
	if len(t.running) > t.bears(now) {
		t.OverBorne++
	}
	if !t.ordered.IsZero() && now.Sub(t.ordered) > OutGrace {
		t.Out++
	}
	a.next = now.Add(time.Duration(float64(t.First) * t.slowdown(now)))
	if len(t.running) > crashFactor*t.bears(now) {
		t.crash(now)
	}
}

// slowdown grows with load, and steeply above what the back end bears.
func (t *Target) slowdown(now time.Time) float64 {
	use := float64(len(t.running)) / float64(t.bears(now))
	if use <= 1 {
		return 1 + use/2
	}
	return 1.5 * use * use
}

// crash breaks all running work and turns the back end cold.
func (t *Target) crash(now time.Time) {
	t.Crashes++
	for _, a := range t.running {
		t.finish(a, contract.OutcomeUnknown, contract.ReasonBackendDown)
		a.next = now
	}
	t.coldUntil = now.Add(t.ColdFor)
}

func (t *Target) finish(a *attempt, outcome contract.Outcome, reason contract.Reason) {
	a.state = contract.AttemptDone
	if outcome != contract.OutcomeDone {
		a.state = contract.AttemptOutcomeUnknown
	}
	a.end = &contract.End{
		Attempt: a.start.Attempt, Outcome: outcome, Reason: reason, Frames: a.frames, Length: a.length, Status: 200,
	}
	if t.Model {
		a.end.Weights = t.Digest
	}
}
