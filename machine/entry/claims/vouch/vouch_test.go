package vouch

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims"
)

var config = Config{Retention: time.Minute, MaxListAge: 2 * time.Second}

func at(second int) time.Time { return time.Unix(int64(second), 0) }

func targets(names ...string) []Target {
	list := make([]Target, len(names))
	for i, n := range names {
		list[i] = Target{Service: "s", Machine: contract.MachineID(n)}
	}
	return list
}

// TestWatchMechanisms asks about a request whose target ran it, then left. The
// answer must not be "never ran" unless a mechanism is off.
func TestWatchMechanisms(t *testing.T) {
	cases := []struct {
		name string
		off  mechanism
		play func(w *TargetTracker) claims.ProbeResult
	}{
		{"rememberGone", rememberGone, func(w *TargetTracker) claims.ProbeResult {
			w.ObserveList(at(0), targets("t1", "t2"))
			w.ObserveList(at(20), targets("t2"))
			return ask(w, at(21), 15*time.Second, "t2")
		}},
		{"sinceClaim", sinceClaim, func(w *TargetTracker) claims.ProbeResult {
			w.ObserveList(at(20), targets("t2"))
			return ask(w, at(21), 15*time.Second, "t2")
		}},
		{"freshList", freshList, func(w *TargetTracker) claims.ProbeResult {
			w.ObserveList(at(0), targets("t2"))
			return ask(w, at(21), 15*time.Second, "t2")
		}},
	}
	for _, c := range cases {
		for _, off := range []mechanism{0, c.off} {
			w := NewTargetTracker(config)
			w.off = off
			got := c.play(w).State
			if wrong := got == claims.ProbeNeverRan; wrong == (off == 0) {
				t.Errorf("%s off=%v: %s", c.name, off != 0, got)
			}
		}
	}
}

// ask combines the answers of the targets, of which those named are alive and
// refuse the request.
func ask(w *TargetTracker, now time.Time, age time.Duration, alive ...contract.MachineID) claims.ProbeResult {
	asked, complete := w.ProbeTargets(now, "s", age)
	var answers []Answer
	for _, t := range asked {
		a := Answer{}
		for _, name := range alive {
			if t.Machine == name {
				a = Answer{Received: true, State: contract.AttemptNeverRan}
			}
		}
		answers = append(answers, a)
	}
	return Combine(complete, answers)
}

func TestCombine(t *testing.T) {
	heard := func(s contract.AttemptState) Answer { return Answer{Received: true, State: s} }
	never := heard(contract.AttemptNeverRan)
	cases := []struct {
		complete bool
		answers  []Answer
		want     claims.ProbeState
	}{
		{true, []Answer{never, never}, claims.ProbeNeverRan},
		{false, []Answer{never, never}, claims.ProbeUnknown},
		{true, []Answer{never, {}}, claims.ProbeUnknown},
		{true, []Answer{never, heard(contract.AttemptNoRecord)}, claims.ProbeUnknown},
		{true, []Answer{never, heard(contract.AttemptOutcomeUnknown)}, claims.ProbeUnknown},
		{true, []Answer{heard(contract.AttemptRunning), {}}, claims.ProbeRunning},
		{true, []Answer{{}, heard(contract.AttemptAnswerDropped)}, claims.ProbeDone},
		{false, []Answer{heard(contract.AttemptDone), {}}, claims.ProbeDone},
	}
	for i, c := range cases {
		if got := Combine(c.complete, c.answers); got.State != c.want {
			t.Errorf("case %d: %s, want %s", i, got.State, c.want)
		}
	}
	w := NewTargetTracker(config)
	if _, complete := w.ProbeTargets(at(1), "s", time.Second); complete {
		t.Error("a watch without a list is complete")
	}
	w.ObserveList(at(0), targets("t1"))
	if got := ask(w, at(0), 0, "t1"); got.State != claims.ProbeUnknown {
		t.Errorf("a list older than the claim: %s", got.State)
	}
}
