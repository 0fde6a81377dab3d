package attempts

import (
	"testing"
	"time"
)

func TestDecide(t *testing.T) {
	second := time.Second
	for _, c := range []struct {
		name    string
		outcome Outcome
		state   State
		want    Verdict
	}{
		{"unsent is rerouted, even if not repeatable", NotSent, State{MaxAttempts: 1, Unsent: 1, TimeLeft: second}, Reroute},
		{"unsent too often", NotSent, State{MaxAttempts: 1, Unsent: maxUnsent, TimeLeft: second}, Refuse},
		{"refused with attempts left", NotRun, State{MaxAttempts: 2, Sent: 1, TimeLeft: second}, Retry},
		{"refused by the only target", NotRun, State{MaxAttempts: 1, Sent: 1, TimeLeft: second}, Refuse},
		{"lost and not repeatable", Lost, State{MayHaveRun: true, MaxAttempts: 2, Sent: 1, TimeLeft: second}, Fail},
		{"lost and repeatable", Lost, State{MayHaveRun: true, Repeatable: true, MaxAttempts: 2, Sent: 1, TimeLeft: second}, Retry},
		{"lost twice", Lost, State{MayHaveRun: true, Repeatable: true, MaxAttempts: 2, Sent: 2, TimeLeft: second}, Fail},
		{"lost at the deadline", Lost, State{MayHaveRun: true, Repeatable: true, MaxAttempts: 2, Sent: 1}, Expire},
		{"refused after one that may have run", NotRun, State{MayHaveRun: true, Repeatable: true, MaxAttempts: 2, Sent: 2, TimeLeft: second}, Fail},
		{"failed and not repeatable", Failed, State{MayHaveRun: true, MaxAttempts: 2, Sent: 1, TimeLeft: second}, Forward},
		{"failed and repeatable", Failed, State{MayHaveRun: true, Repeatable: true, MaxAttempts: 2, Sent: 1, TimeLeft: second}, Retry},
		{"failed with no attempts left", Failed, State{MayHaveRun: true, Repeatable: true, MaxAttempts: 2, Sent: 2, TimeLeft: second}, Forward},
		{"broken stream is resumed by another attempt", Lost, State{MayHaveRun: true, Repeatable: true, AnswerBegun: true, MaxAttempts: 2, Sent: 1, TimeLeft: second}, Retry},
		{"broken stream without attempts left is aborted", Lost, State{MayHaveRun: true, AnswerBegun: true, MaxAttempts: 1, Sent: 1, TimeLeft: second}, Abort},
		{"ended by a stop, repeatable", Lost, State{MayHaveRun: true, Repeatable: true, MaxAttempts: 2, Sent: 1, TimeLeft: second, Stopping: true}, Fail},
		{"ended by a stop before it was sent", NotSent, State{Repeatable: true, MaxAttempts: 2, TimeLeft: second, Stopping: true}, Refuse},
		{"no time left", NotRun, State{MaxAttempts: 2, Sent: 1, TimeLeft: time.Millisecond}, Refuse},
	} {
		if got := Decide(c.outcome, c.state); got != c.want {
			t.Errorf("%s: Decide() = %d, want %d", c.name, got, c.want)
		}
	}
}

// TestDecideKeepsPromises checks over all combinations of outcome and state that a request
// which may have run is never refused as not run, that a request which may run only once
// is retried only if its last attempt certainly did not run, and that a caller whose answer
// has begun never gets the head of a second one.
func TestDecideKeepsPromises(t *testing.T) {
	for _, outcome := range []Outcome{NotSent, NotRun, Failed, Lost} {
		for bits := range 1 << 5 {
			s := State{
				Repeatable: bits&1 != 0, MayHaveRun: bits&2 != 0, AnswerBegun: bits&4 != 0,
				MaxAttempts: 2, Sent: 1, TimeLeft: time.Second * time.Duration(bits>>3&1), Stopping: bits&16 != 0,
			}
			if outcome == Failed || outcome == Lost {
				s.MayHaveRun = true
			}
			verdict := Decide(outcome, s)
			if verdict == Refuse && s.MayHaveRun {
				t.Errorf("Decide(%d, %+v) = Refuse, want another verdict: the request may have run", outcome, s)
			}
			if verdict == Retry && !s.Repeatable && outcome != NotRun {
				t.Errorf("Decide(%d, %+v) = Retry, want a final answer: the attempt may have run and the request may run only once", outcome, s)
			}
			if s.AnswerBegun && (verdict == Refuse || verdict == Fail || verdict == Forward || verdict == Expire) && outcome != Failed {
				t.Errorf("Decide(%d, %+v) starts a second answer, want Abort or another attempt", outcome, s)
			}
		}
	}
}

// TestLimitFor also checks that Decide allows another attempt exactly if LimitFor returns
// NoLimit.
func TestLimitFor(t *testing.T) {
	second := time.Second
	for _, c := range []struct {
		name    string
		outcome Outcome
		state   State
		want    Limit
	}{
		{"no time", Lost, State{Repeatable: true, MaxAttempts: 2, Sent: 1, TimeLeft: minTimeLeft}, LimitTime},
		{"entry stops", Lost, State{Repeatable: true, MaxAttempts: 2, Sent: 1, TimeLeft: second, Stopping: true}, LimitStop},
		{"attempts used up", Lost, State{Repeatable: true, MaxAttempts: 2, Sent: 2, TimeLeft: second}, LimitAttempts},
		{"not repeatable and may have run", Lost, State{MaxAttempts: 2, Sent: 1, TimeLeft: second}, LimitNotRepeatable},
		{"not repeatable and has not run", NotRun, State{MaxAttempts: 2, Sent: 1, TimeLeft: second}, NoLimit},
		{"unsent too often", NotSent, State{MaxAttempts: 1, Unsent: maxUnsent, TimeLeft: second}, LimitUnsent},
		{"unsent is rerouted", NotSent, State{MaxAttempts: 1, Unsent: 1, TimeLeft: second}, NoLimit},
	} {
		got := LimitFor(c.outcome, c.state)
		if got != c.want {
			t.Errorf("%s: LimitFor() = %q, want %q", c.name, got, c.want)
		}
		verdict := Decide(c.outcome, c.state)
		if follows := verdict == Retry || verdict == Reroute; follows != (got == NoLimit) {
			t.Errorf("%s: Decide() = %d, LimitFor() = %q, want another attempt exactly without a limit", c.name, verdict, got)
		}
	}
}
