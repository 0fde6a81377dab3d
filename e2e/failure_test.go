package e2e

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/harness"
	"mimosastand.example/mimosastand/internal/load"
)

// TestStreamsCompleteWhenModelTargetIsKilled checks that streams on a target that is killed are
// completed at other targets.
func TestStreamsCompleteWhenModelTargetIsKilled(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	traffic := s.startTraffic(30*time.Millisecond, 0)
	s.waitForCalls(traffic.ModelResults, 20)
	s.firstTarget(modelService).Process.Kill()
	s.waitForCalls(traffic.ModelResults, 100)
	stopAndWait(traffic)
	s.checkNoBadAnswers(traffic.ModelResults)
	s.checkAllComplete(traffic.ModelResults)
}

// TestNoRepeatedEffectsWhenPlainTargetIsKilled checks that no effect runs twice when a target of
// a plain service is killed and started again.
func TestNoRepeatedEffectsWhenPlainTargetIsKilled(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	traffic := s.startTraffic(0, 15*time.Millisecond)
	s.waitForCalls(traffic.PlainResults, 20)
	target := s.firstTarget(plainService)
	target.Process.Kill()
	s.waitForCalls(traffic.PlainResults, 60)
	s.must(s.StartTarget(target))
	s.must(harness.WaitReady(context.Background(), target.HTTP, hangTimeout))
	s.waitForCalls(traffic.PlainResults, 100)
	stopAndWait(traffic)
	s.checkNoBadAnswers(traffic.PlainResults)
	s.checkNoRepeatedEffects()
}

// TestNoRepeatedEffectsWhenEntryIsKilled checks that callers who retry with the same keys through
// another entry host cause no second effect.
func TestNoRepeatedEffectsWhenEntryIsKilled(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	traffic := s.startTraffic(0, 15*time.Millisecond)
	s.waitForCalls(traffic.PlainResults, 20)
	entry := s.Entries[0]
	entry.Process.Kill()
	traffic.Entries.Remove("http://" + entry.HTTP)
	s.waitForCalls(traffic.PlainResults, 80)
	stopAndWait(traffic)
	if wrong := traffic.PlainResults.Count(load.Wrong); wrong != 0 {
		t.Errorf("%d wrong answers, want none: %v", wrong, traffic.PlainResults.Details())
	}
	s.checkNoRepeatedEffects()
}

// TestAnswersCompleteWhenTargetsArePaused checks that target processes that are paused and
// resumed cause no truncated or wrong answers and no repeated effects.
func TestAnswersCompleteWhenTargetsArePaused(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	traffic := s.startTraffic(30*time.Millisecond, 30*time.Millisecond)
	s.waitForCalls(traffic.ModelResults, 20)
	model, plain := s.firstTarget(modelService), s.firstTarget(plainService)
	s.must(model.Process.Signal(syscall.SIGSTOP))
	s.must(plain.Process.Signal(syscall.SIGSTOP))
	s.waitForCalls(traffic.ModelResults, 100)
	s.must(model.Process.Signal(syscall.SIGCONT))
	s.must(plain.Process.Signal(syscall.SIGCONT))
	s.waitForCalls(traffic.ModelResults, 160)
	stopAndWait(traffic)
	s.checkNoBadAnswers(traffic.ModelResults)
	s.checkNoBadAnswers(traffic.PlainResults)
	s.checkNoRepeatedEffects()
	s.checkAllComplete(traffic.ModelResults)
}

// TestLogOutageRefusesOnlyKeyedCalls checks that model calls are served while the log is down,
// that keyed calls are refused as not run, and that they run once the log is back.
func TestLogOutageRefusesOnlyKeyedCalls(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	s.must(s.SetFault(s.LogAddress, "down", nil))
	base := "http://" + s.Entries[0].HTTP
	for n := range 10 {
		model := load.ModelCall{Service: modelService, Team: team, Prompt: fmt.Sprint(n), MaxTokens: 5}
		if r := s.caller.Generate(context.Background(), base, model); r.Class != load.Complete {
			t.Errorf("model call with the log down = %+v, want a complete answer", r)
		}
	}
	call := load.PlainCall{Service: plainService, Team: team, Key: "allowance-1", Body: `{"pay":1}`}
	refused := s.caller.CallPlain(context.Background(), base, call)
	if refused.Class != load.Refused || refused.Outcome != contract.OutcomeNotRun.String() || refused.RetryAfter == 0 {
		t.Errorf("keyed call with the log down = %+v, want a refusal as not run with a retry-after time", refused)
	}
	s.must(s.SetFault(s.LogAddress, "none", nil))
	s.must(harness.WaitFor(context.Background(), hangTimeout, func() error {
		if r := s.caller.CallPlain(context.Background(), base, call); r.Class != load.Complete {
			return fmt.Errorf("keyed call with the log back = %+v, want a complete answer", r)
		}
		return nil
	}))
	s.checkNoRepeatedEffects()
}

// TestNoRepeatedEffectsWhenReplyIsLost checks that an effect whose reply is lost is not repeated,
// and that its caller never gets a refusal as not run.
func TestNoRepeatedEffectsWhenReplyIsLost(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	for _, target := range s.Targets {
		if target.Service.Name == plainService {
			s.must(s.SetFault(target.Backend, "lost_reply", map[string]any{"count": 1, "path": "/effect"}))
		}
	}
	for n := range 8 {
		call := load.PlainCall{Service: plainService, Team: team, Key: fmt.Sprint("payout-", n), Body: fmt.Sprint(n)}
		base := "http://" + s.Entries[n%len(s.Entries)].HTTP
		first := s.caller.CallPlain(context.Background(), base, call)
		if first.Class == load.Refused && first.Outcome == contract.OutcomeNotRun.String() {
			t.Errorf("payout %d = %+v, want no refusal as not run", n, first)
		}
		repeated := s.caller.CallPlain(context.Background(), "http://"+s.Entries[(n+1)%len(s.Entries)].HTTP, call)
		if first.Class == load.Complete && repeated.Class != load.Complete {
			t.Errorf("payout %d had a complete answer; repeated call = %+v, want a complete answer", n, repeated)
		}
	}
	s.checkNoRepeatedEffects()
	total := 0.0
	for _, target := range s.Targets {
		if target.Service.Name == plainService {
			stats, err := s.Stats(target.Backend)
			s.must(err)
			total += stats["effects"]
		}
	}
	if total != 8 {
		t.Errorf("%.0f effects for 8 payouts, want 8", total)
	}
}

// TestNoMixedAnswersDuringVersionChange checks that no answer mixes two versions and that both
// versions give complete answers while a version is replaced under load.
func TestNoMixedAnswersDuringVersionChange(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	traffic := s.startTraffic(30*time.Millisecond, 0)
	s.waitForCalls(traffic.ModelResults, 20)
	second := s.publishVersion("second", 2)
	_, err := s.RunOperator(context.Background(), "deploy", string(modelService), "--weights", string(second))
	s.must(err)
	s.must(harness.WaitFor(context.Background(), hangTimeout, func() error {
		if traffic.ModelResults.Digests()[second] < 30 {
			return fmt.Errorf("complete answers by version: %v, want at least 30 of the second version", traffic.ModelResults.Digests())
		}
		return nil
	}))
	stopAndWait(traffic)
	s.checkNoBadAnswers(traffic.ModelResults)
	s.checkAllComplete(traffic.ModelResults)
}
