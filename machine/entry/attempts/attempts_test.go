package attempts

import (
	"testing"
	"time"
)

func TestAfter(t *testing.T) {
	second := time.Second
	for _, c := range []struct {
		name    string
		outcome Outcome
		state   State
		want    Verdict
	}{
		{"unsent goes elsewhere, though it may run once only", NotSent, State{MaxAttempts: 1, Unsent: 1, TimeLeft: second}, Reroute},
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
		{"failed for good", Failed, State{MayHaveRun: true, Repeatable: true, MaxAttempts: 2, Sent: 2, TimeLeft: second}, Forward},
		{"cut stream goes on", Lost, State{MayHaveRun: true, Repeatable: true, AnswerBegun: true, MaxAttempts: 2, Sent: 1, TimeLeft: second}, Retry},
		{"cut stream is not passed off as whole", Lost, State{MayHaveRun: true, AnswerBegun: true, MaxAttempts: 1, Sent: 1, TimeLeft: second}, Abort},
		{"no time left", NotRun, State{MaxAttempts: 2, Sent: 1, TimeLeft: time.Millisecond}, Refuse},
	} {
		if got := Decide(c.outcome, c.state); got != c.want {
			t.Errorf("%s: verdict %d, want %d", c.name, got, c.want)
		}
	}
}

// TestPromises checks over all states that "not run" is never said of a request
// that may have run, and that one which may run only once is sent again only if
// it surely did not run.
func TestPromises(t *testing.T) {
	for _, outcome := range []Outcome{NotSent, NotRun, Failed, Lost} {
		for bits := range 1 << 4 {
			s := State{
				Repeatable: bits&1 != 0, MayHaveRun: bits&2 != 0, AnswerBegun: bits&4 != 0,
				MaxAttempts: 2, Sent: 1, TimeLeft: time.Second * time.Duration(bits>>3&1),
			}
			if outcome == Failed || outcome == Lost {
				s.MayHaveRun = true
			}
			verdict := Decide(outcome, s)
			if verdict == Refuse && s.MayHaveRun {
				t.Errorf("%d %+v: refused as not run", outcome, s)
			}
			if verdict == Retry && !s.Repeatable && outcome != NotRun {
				t.Errorf("%d %+v: sent again", outcome, s)
			}
			if s.AnswerBegun && (verdict == Refuse || verdict == Fail || verdict == Forward || verdict == Expire) && outcome != Failed {
				t.Errorf("%d %+v: a second head", outcome, s)
			}
		}
	}
}

// The rule that ends a request is named, and names one exactly when none follows.
func TestLimitAfter(t *testing.T) {
	second := time.Second
	for _, c := range []struct {
		name    string
		outcome Outcome
		state   State
		want    Limit
	}{
		{"no time", Lost, State{Repeatable: true, MaxAttempts: 2, Sent: 1, TimeLeft: minLeft}, LimitTime},
		{"attempts used up", Lost, State{Repeatable: true, MaxAttempts: 2, Sent: 2, TimeLeft: second}, LimitAttempts},
		{"may run once", Lost, State{MaxAttempts: 2, Sent: 1, TimeLeft: second}, LimitNotRepeatable},
		{"may run once and has not", NotRun, State{MaxAttempts: 2, Sent: 1, TimeLeft: second}, NoLimit},
		{"never sent", NotSent, State{MaxAttempts: 1, Unsent: maxUnsent, TimeLeft: second}, LimitUnsent},
		{"sent elsewhere", NotSent, State{MaxAttempts: 1, Unsent: 1, TimeLeft: second}, NoLimit},
	} {
		got := LimitFor(c.outcome, c.state)
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
		verdict := Decide(c.outcome, c.state)
		if follows := verdict == Retry || verdict == Reroute; follows != (got == NoLimit) {
			t.Errorf("%s: verdict %d with limit %q", c.name, verdict, got)
		}
	}
}
