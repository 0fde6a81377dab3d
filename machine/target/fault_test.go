package target_test

import (
	"net/http"
	"testing"
	"time"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/standin/engine"
	"mimosastand.example/mimosastand/standin/fault"
	"mimosastand.example/mimosastand/standin/service"
)

func frames(n uint64) func(*answer) bool {
	return func(a *answer) bool { return a.frames == n }
}

// TestHandOverResumesElsewhere checks that a stream which outlasts the grace of
// a planned stop goes on at another target without a gap.
func TestHandOverResumesElsewhere(t *testing.T) {
	slow := fastEngine
	slow.TokenDelay = 5 * time.Millisecond
	leaving, other := modelRig(t, slow), modelRig(t, fastEngine)
	s := leaving.open(leaving.dial(), modelStart("r1", 1, 1000))
	begun := leaving.read(s, frames(3))
	leaving.stop()
	rest := leaving.read(s, never)
	if rest.end == nil || rest.end.Outcome != contract.OutcomeUnknown || rest.end.Reason != contract.ReasonTargetLeaving {
		t.Fatalf("end %+v", rest.end)
	}
	if rest.end.Frames != begun.frames+rest.frames {
		t.Fatalf("end says %d frames, got %d", rest.end.Frames, begun.frames+rest.frames)
	}
	again := modelStart("r1", 2, 1000)
	again.Start.ResumeAt = rest.end.Frames
	resumed := other.read(other.open(other.dial(), again), never)
	if !isDone(resumed) || begun.text.String()+rest.text.String()+resumed.text.String() != wantText("r1", 0, 1000) {
		t.Fatalf("end %+v", resumed.end)
	}
}

// TestEngineRestartsUnderLoad checks that answers which broke are told as such,
// and that the engine is not given more than it bears in cold start.
func TestEngineRestartsUnderLoad(t *testing.T) {
	r := modelRig(t, engine.Config{WarmLimit: 8, ColdLimit: 2, TokenDelay: time.Millisecond})
	c := r.dial()
	s := r.open(c, modelStart("a", 1, 5000))
	r.read(s, frames(5))
	r.back.Set(fault.Request{Fault: engine.FaultRestart})
	if a := r.read(s, never); a.end == nil || a.end.Outcome != contract.OutcomeUnknown {
		t.Fatalf("end %+v", a.end)
	}
	for i := uint32(1); i <= 50; i++ {
		a := r.read(r.open(c, modelStart("b", i, 5)), never)
		if a.refusal == nil && (a.end == nil || a.end.Outcome != contract.OutcomeNotRun) {
			t.Fatalf("an engine without weights answered: %+v", a)
		}
	}
	var stats engine.Stats
	r.stats(&stats)
	if stats.Overruns != 0 || stats.ColdMaxRunning > 2 {
		t.Fatalf("%+v", stats)
	}
}

// TestFrozenEngineKeepsItsUnits checks that work which the engine has not
// confirmed to have stopped goes on counting after its caller was answered.
func TestFrozenEngineKeepsItsUnits(t *testing.T) {
	r := modelRig(t, fastEngine)
	r.back.Set(fault.Request{Fault: fault.Frozen})
	c := r.dial()
	m := modelStart("a", 1, 5)
	m.Start.Remaining = time.Second
	a := r.read(r.open(c, m), never)
	if a.end == nil || a.end.Outcome != contract.OutcomeUnknown || a.end.Reason != contract.ReasonDeadline {
		t.Fatalf("end %+v", a.end)
	}
	if got := r.running(c); got != 1 {
		t.Fatalf("%d units", got)
	}
	r.back.Set(fault.Request{Fault: fault.None})
	for r.running(c) > 0 {
		time.Sleep(5 * time.Millisecond)
	}
}

// running asks for the target's load by an attempt that is refused.
func (r *rig) running(c *link.Conn) uint32 {
	r.t.Helper()
	m := modelStart("probe", 1, 1)
	m.Start.Service = "none"
	return r.read(r.open(c, m), never).refusal.Load.Running
}

// TestLeavingKeepsUnreadAnswers checks that a process which was asked to stop
// stays until the sender of a broken stream has asked for its answer.
func TestLeavingKeepsUnreadAnswers(t *testing.T) {
	r := newRig(t, config.BackendPlain, service.New(service.Config{NoReport: true, Delay: 50 * time.Millisecond}),
		func(cfg *config.Process) { cfg.ShutdownGrace = time.Minute })
	r.awaitReady()
	first := r.dial()
	s := r.open(first, plainStart("a", 1))
	if m, err := s.Recv(); err != nil || m.Kind != contract.KindAccept {
		t.Fatalf("got %+v, %v", m, err)
	}
	first.Close()
	r.stop()
	select {
	case <-r.stopped:
		t.Fatal("stopped with an answer that nobody has read")
	case <-time.After(500 * time.Millisecond):
	}
	a := r.read(r.open(r.dial(), query(plainStart("a", 1).Start.Attempt, 0)), never)
	if !isDone(a) {
		t.Fatalf("status %+v, end %+v", a.status, a.end)
	}
}

// TestCancelReachesTheEngine checks that work which nobody waits for ends.
func TestCancelReachesTheEngine(t *testing.T) {
	r := modelRig(t, fastEngine)
	c := r.dial()
	m := modelStart("a", 1, 60_000)
	s := r.open(c, m)
	r.read(s, frames(2))
	fatal(t, s.Send(contract.Message{Kind: contract.KindCancel, Cancel: &contract.Cancel{Attempt: m.Start.Attempt}}))
	if a := r.read(s, never); a.end == nil || a.end.Reason != contract.ReasonCallerGone {
		t.Fatalf("end %+v", a.end)
	}
	for r.running(c) > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	var stats engine.Stats
	r.stats(&stats)
	if stats.Running != 0 || stats.Cancelled == 0 {
		t.Fatalf("%+v", stats)
	}
}

// TestServiceThatIsGone checks that a call which provably was not written is
// told not to have run, and may be tried again.
func TestServiceThatIsGone(t *testing.T) {
	r := newRig(t, config.BackendPlain, service.New(service.Config{NoReport: true}), func(cfg *config.Process) {
		cfg.Target.BackendURL = "http://127.0.0.1:1"
	})
	c := r.dial()
	if a := r.read(r.open(c, plainStart("a", 1)), never); a.refusal == nil || a.refusal.Reason != contract.ReasonColdStart {
		t.Fatalf("before any report: %+v", a)
	}
	gone := plainRig(t, service.Config{NoReport: true})
	gone.server.Close()
	a := gone.read(gone.open(gone.dial(), plainStart("a", 1)), never)
	if a.end == nil || a.end.Outcome != contract.OutcomeNotRun || a.end.Reason != contract.ReasonBackendDown {
		t.Fatalf("end %+v, refusal %+v", a.end, a.refusal)
	}
}

// TestTombstoneOverTheLink checks that an attempt which the target was asked
// about can no longer start.
func TestTombstoneOverTheLink(t *testing.T) {
	r := plainRig(t, service.Config{NoReport: true})
	c := r.dial()
	m := plainStart("a", 1)
	if a := r.read(r.open(c, query(m.Start.Attempt, 0)), never); a.status == nil || a.status.State != contract.AttemptNoRecord {
		t.Fatalf("status %+v: the process cannot vouch for the time before its start", a.status)
	}
	if a := r.read(r.open(c, m), never); a.refusal == nil || a.refusal.Reason != contract.ReasonTombstone {
		t.Fatalf("late copy: %+v", a)
	}
}

// TestBadInput checks that malformed messages are refused and disturb nothing.
func TestBadInput(t *testing.T) {
	r := plainRig(t, service.Config{NoReport: true})
	c := r.dial()
	noID, other, path, long := plainStart("", 1), plainStart("a", 1), plainStart("b", 1), plainStart("c", 1)
	other.Start.Service = "other"
	path.Start.Path = "@elsewhere/"
	long.Start.Attempt.Request = contract.RequestID(make([]byte, 4096))
	for _, m := range []contract.Message{noID, other, path, long} {
		a := r.read(r.open(c, m), never)
		refused := a.refusal != nil && a.refusal.Reason.CallerFault()
		notRun := a.end != nil && a.end.Outcome == contract.OutcomeNotRun && a.end.Reason == contract.ReasonBadRequest
		if !refused && !notRun {
			t.Errorf("%+v: %+v", m.Start, a)
		}
	}
	for _, m := range []contract.Message{
		{Kind: contract.KindHeartbeat, Heartbeat: &contract.Heartbeat{}},
		{Kind: contract.KindHave, Have: &contract.Have{}},
		{Kind: contract.KindCancel, Cancel: &contract.Cancel{}},
		{Kind: contract.KindQuery, Query: &contract.Query{Resend: true}},
	} {
		r.read(r.open(c, m), never)
	}
	get := plainStart("d", 1)
	get.Start.Method, get.Start.Idempotent = http.MethodGet, true
	if a := r.read(r.open(c, get), never); !isDone(a) {
		t.Fatalf("after bad input: %+v", a)
	}
}
