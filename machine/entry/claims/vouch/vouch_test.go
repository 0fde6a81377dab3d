package vouch

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims"
)

var testConfig = Config{Retention: time.Minute, MaxListAge: 2 * time.Second}

func atSecond(seconds int) time.Time { return time.Unix(int64(seconds), 0) }

func targetList(names ...string) []Target {
	list := make([]Target, len(names))
	for i, n := range names {
		list[i] = Target{Service: "s", Machine: contract.MachineID(n)}
	}
	return list
}

// TestTrackerNeedsEachMechanism checks the result of a probe for a request whose target
// ran it and then left. The result must be "never ran" only if a mechanism is switched
// off.
func TestTrackerNeedsEachMechanism(t *testing.T) {
	cases := []struct {
		name string
		off  mechanism
		play func(tr *TargetTracker) claims.ProbeResult
	}{
		{"retainDelisted", retainDelisted, func(tr *TargetTracker) claims.ProbeResult {
			tr.ObserveList(atSecond(0), targetList("t1", "t2"))
			tr.ObserveList(atSecond(20), targetList("t2"))
			return probeAll(tr, atSecond(21), 15*time.Second, "t2")
		}},
		{"coverClaimTime", coverClaimTime, func(tr *TargetTracker) claims.ProbeResult {
			tr.ObserveList(atSecond(20), targetList("t2"))
			return probeAll(tr, atSecond(21), 15*time.Second, "t2")
		}},
		{"requireFreshList", requireFreshList, func(tr *TargetTracker) claims.ProbeResult {
			tr.ObserveList(atSecond(0), targetList("t2"))
			return probeAll(tr, atSecond(21), 15*time.Second, "t2")
		}},
	}
	for _, c := range cases {
		for _, off := range []mechanism{0, c.off} {
			tr := NewTargetTracker(testConfig)
			tr.disabled = off
			got := c.play(tr).State
			if wrong := got == claims.ProbeNeverRan; wrong == (off == 0) {
				t.Errorf("%s, disabled=%v: state is %q, want \"never ran\" only if disabled", c.name, off != 0, got)
			}
		}
	}
}

// probeAll combines the answers of all targets to probe. Those in alive refuse the
// request, and the others do not answer.
func probeAll(tr *TargetTracker, now time.Time, age time.Duration, alive ...contract.MachineID) claims.ProbeResult {
	probed, complete := tr.ProbeTargets(now, "s", age)
	var answers []Answer
	for _, t := range probed {
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
	received := func(s contract.AttemptState) Answer { return Answer{Received: true, State: s} }
	never := received(contract.AttemptNeverRan)
	cases := []struct {
		complete bool
		answers  []Answer
		want     claims.ProbeState
	}{
		{true, []Answer{never, never}, claims.ProbeNeverRan},
		{false, []Answer{never, never}, claims.ProbeUnknown},
		{true, []Answer{never, {}}, claims.ProbeUnknown},
		{true, []Answer{never, received(contract.AttemptNoRecord)}, claims.ProbeUnknown},
		{true, []Answer{never, received(contract.AttemptOutcomeUnknown)}, claims.ProbeUnknown},
		{true, []Answer{received(contract.AttemptRunning), {}}, claims.ProbeRunning},
		{true, []Answer{{}, received(contract.AttemptAnswerDropped)}, claims.ProbeDone},
		{false, []Answer{received(contract.AttemptDone), {}}, claims.ProbeDone},
	}
	for i, c := range cases {
		if got := Combine(c.complete, c.answers); got.State != c.want {
			t.Errorf("case %d: Combine() state = %q, want %q", i, got.State, c.want)
		}
	}
	tr := NewTargetTracker(testConfig)
	if _, complete := tr.ProbeTargets(atSecond(1), "s", time.Second); complete {
		t.Error("ProbeTargets() without a list: complete = true, want false")
	}
	tr.ObserveList(atSecond(0), targetList("t1"))
	if got := probeAll(tr, atSecond(0), 0, "t1"); got.State != claims.ProbeUnknown {
		t.Errorf("probe with a list as old as the claim: state %q, want \"unknown\"", got.State)
	}
}
