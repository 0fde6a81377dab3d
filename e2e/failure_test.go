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

// TestModelTargetKilled checks that streams on a target that dies are finished
// elsewhere, each whole.
func TestModelTargetKilled(t *testing.T) {
	t.Parallel()
	s := start(t)
	traffic := s.traffic(30*time.Millisecond, 0)
	s.waitFor(traffic.ModelResults, 20)
	s.target(modelService).Process.Kill()
	s.waitFor(traffic.ModelResults, 100)
	settle(traffic)
	s.checkAnswers(traffic.ModelResults)
	s.checkWhole(traffic.ModelResults)
}

// TestPlainTargetKilled checks that no effect runs twice when a target of a
// plain service dies and starts again.
func TestPlainTargetKilled(t *testing.T) {
	t.Parallel()
	s := start(t)
	traffic := s.traffic(0, 15*time.Millisecond)
	s.waitFor(traffic.PlainResults, 20)
	target := s.target(plainService)
	target.Process.Kill()
	s.waitFor(traffic.PlainResults, 60)
	s.must(s.StartTarget(target))
	s.must(harness.WaitReady(context.Background(), target.HTTP, hangLimit))
	s.waitFor(traffic.PlainResults, 100)
	settle(traffic)
	s.checkAnswers(traffic.PlainResults)
	s.checkEffects()
}

// TestEntryKilled checks that callers who ask again with their keys through
// another entry host cause no second effect.
func TestEntryKilled(t *testing.T) {
	t.Parallel()
	s := start(t)
	traffic := s.traffic(0, 15*time.Millisecond)
	s.waitFor(traffic.PlainResults, 20)
	entry := s.Entries[0]
	entry.Process.Kill()
	traffic.Entries.Remove("http://" + entry.HTTP)
	s.waitFor(traffic.PlainResults, 80)
	settle(traffic)
	if wrong := traffic.PlainResults.Count(load.Wrong); wrong != 0 {
		t.Errorf("%d wrong answers: %v", wrong, traffic.PlainResults.Details())
	}
	s.checkEffects()
}

// TestTargetPaused checks that a target process that stands still and wakes
// again neither cuts nor mixes nor doubles anything.
func TestTargetPaused(t *testing.T) {
	t.Parallel()
	s := start(t)
	traffic := s.traffic(30*time.Millisecond, 30*time.Millisecond)
	s.waitFor(traffic.ModelResults, 20)
	model, plain := s.target(modelService), s.target(plainService)
	s.must(model.Process.Signal(syscall.SIGSTOP))
	s.must(plain.Process.Signal(syscall.SIGSTOP))
	s.waitFor(traffic.ModelResults, 100)
	s.must(model.Process.Signal(syscall.SIGCONT))
	s.must(plain.Process.Signal(syscall.SIGCONT))
	s.waitFor(traffic.ModelResults, 160)
	settle(traffic)
	s.checkAnswers(traffic.ModelResults)
	s.checkAnswers(traffic.PlainResults)
	s.checkEffects()
	s.checkWhole(traffic.ModelResults)
}

// TestLogDown checks that model calls go on while the log is down, that keyed
// calls are truly refused as not run, and that they run once it is back.
func TestLogDown(t *testing.T) {
	t.Parallel()
	s := start(t)
	s.must(s.SetFault(s.LogAddress, "down", nil))
	base := "http://" + s.Entries[0].HTTP
	for n := range 10 {
		model := load.ModelCall{Service: modelService, Team: team, Prompt: fmt.Sprint(n), MaxTokens: 5}
		if r := s.caller.Generate(context.Background(), base, model); r.Class != load.Complete {
			t.Errorf("model call with the log down: %+v", r)
		}
	}
	effect := load.PlainCall{Service: plainService, Team: team, Key: "allowance-1", Body: `{"pay":1}`}
	refused := s.caller.CallPlain(context.Background(), base, effect)
	if refused.Class != load.Refused || refused.Outcome != contract.OutcomeNotRun.String() || refused.RetryAfter == 0 {
		t.Errorf("keyed call with the log down: %+v", refused)
	}
	s.must(s.SetFault(s.LogAddress, "none", nil))
	s.must(harness.WaitFor(context.Background(), hangLimit, func() error {
		if r := s.caller.CallPlain(context.Background(), base, effect); r.Class != load.Complete {
			return fmt.Errorf("keyed call with the log back: %+v", r)
		}
		return nil
	}))
	s.checkEffects()
}

// TestEffectReplyLost checks that an effect whose reply is lost is not repeated
// and that the caller is not told that it did not run.
func TestEffectReplyLost(t *testing.T) {
	t.Parallel()
	s := start(t)
	for _, target := range s.Targets {
		if target.Service.Name == plainService {
			s.must(s.SetFault(target.Backend, "lost_reply", map[string]any{"count": 1, "path": "/effect"}))
		}
	}
	for n := range 8 {
		effect := load.PlainCall{Service: plainService, Team: team, Key: fmt.Sprint("payout-", n), Body: fmt.Sprint(n)}
		base := "http://" + s.Entries[n%len(s.Entries)].HTTP
		first := s.caller.CallPlain(context.Background(), base, effect)
		if first.Class == load.Refused && first.Outcome == contract.OutcomeNotRun.String() {
			t.Errorf("payout %d: %+v", n, first)
		}
		again := s.caller.CallPlain(context.Background(), "http://"+s.Entries[(n+1)%len(s.Entries)].HTTP, effect)
		if first.Class == load.Complete && again.Class != load.Complete {
			t.Errorf("payout %d was done, asked again: %+v", n, again)
		}
	}
	s.checkEffects()
	total := 0.0
	for _, target := range s.Targets {
		if target.Service.Name == plainService {
			stats, err := s.Stats(target.Backend)
			s.must(err)
			total += stats["effects"]
		}
	}
	if total != 8 {
		t.Errorf("%.0f effects for 8 payouts", total)
	}
}

// TestVersionChangesUnderLoad checks that no answer mixes two versions and that
// both versions serve whole answers.
func TestVersionChangesUnderLoad(t *testing.T) {
	t.Parallel()
	s := start(t)
	traffic := s.traffic(30*time.Millisecond, 0)
	s.waitFor(traffic.ModelResults, 20)
	second := s.publish("second", 2)
	_, err := s.RunOperator(context.Background(), "deploy", string(modelService), "--weights", string(second))
	s.must(err)
	s.must(harness.WaitFor(context.Background(), hangLimit, func() error {
		if traffic.ModelResults.Digests()[second] < 30 {
			return fmt.Errorf("the second version serves %v", traffic.ModelResults.Digests())
		}
		return nil
	}))
	settle(traffic)
	s.checkAnswers(traffic.ModelResults)
	s.checkWhole(traffic.ModelResults)
}
