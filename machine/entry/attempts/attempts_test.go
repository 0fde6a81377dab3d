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
		{"unsent goes elsewhere, though it may run once only", NotSent, State{MaxAttempts: 1, Unsent: 1, Left: second}, Elsewhere},
		{"unsent too often", NotSent, State{MaxAttempts: 1, Unsent: maxUnsent, Left: second}, Refuse},
		{"refused with attempts left", NotRun, State{MaxAttempts: 2, Sent: 1, Left: second}, Again},
		{"refused by the only target", NotRun, State{MaxAttempts: 1, Sent: 1, Left: second}, Refuse},
		{"lost and not repeatable", Lost, State{Ran: true, MaxAttempts: 2, Sent: 1, Left: second}, Fail},
		{"lost and repeatable", Lost, State{Ran: true, Repeatable: true, MaxAttempts: 2, Sent: 1, Left: second}, Again},
		{"lost twice", Lost, State{Ran: true, Repeatable: true, MaxAttempts: 2, Sent: 2, Left: second}, Fail},
		{"lost at the deadline", Lost, State{Ran: true, Repeatable: true, MaxAttempts: 2, Sent: 1}, Expire},
		{"refused after one that may have run", NotRun, State{Ran: true, Repeatable: true, MaxAttempts: 2, Sent: 2, Left: second}, Fail},
		{"failed and not repeatable", Failed, State{Ran: true, MaxAttempts: 2, Sent: 1, Left: second}, PassOn},
		{"failed and repeatable", Failed, State{Ran: true, Repeatable: true, MaxAttempts: 2, Sent: 1, Left: second}, Again},
		{"failed for good", Failed, State{Ran: true, Repeatable: true, MaxAttempts: 2, Sent: 2, Left: second}, PassOn},
		{"cut stream goes on", Lost, State{Ran: true, Repeatable: true, Begun: true, MaxAttempts: 2, Sent: 1, Left: second}, Again},
		{"cut stream is not passed off as whole", Lost, State{Ran: true, Begun: true, MaxAttempts: 1, Sent: 1, Left: second}, Abort},
		{"no time left", NotRun, State{MaxAttempts: 2, Sent: 1, Left: time.Millisecond}, Refuse},
	} {
		if got := After(c.outcome, c.state); got != c.want {
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
				Repeatable: bits&1 != 0, Ran: bits&2 != 0, Begun: bits&4 != 0,
				MaxAttempts: 2, Sent: 1, Left: time.Second * time.Duration(bits>>3&1),
			}
			if outcome == Failed || outcome == Lost {
				s.Ran = true
			}
			verdict := After(outcome, s)
			if verdict == Refuse && s.Ran {
				t.Errorf("%d %+v: refused as not run", outcome, s)
			}
			if verdict == Again && !s.Repeatable && outcome != NotRun {
				t.Errorf("%d %+v: sent again", outcome, s)
			}
			if s.Begun && (verdict == Refuse || verdict == Fail || verdict == PassOn || verdict == Expire) && outcome != Failed {
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
		{"no time", Lost, State{Repeatable: true, MaxAttempts: 2, Sent: 1, Left: minLeft}, LimitTime},
		{"attempts used up", Lost, State{Repeatable: true, MaxAttempts: 2, Sent: 2, Left: second}, LimitAttempts},
		{"may run once", Lost, State{MaxAttempts: 2, Sent: 1, Left: second}, LimitOnce},
		{"may run once and has not", NotRun, State{MaxAttempts: 2, Sent: 1, Left: second}, NoLimit},
		{"never sent", NotSent, State{MaxAttempts: 1, Unsent: maxUnsent, Left: second}, LimitUnsent},
		{"sent elsewhere", NotSent, State{MaxAttempts: 1, Unsent: 1, Left: second}, NoLimit},
	} {
		got := LimitAfter(c.outcome, c.state)
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
		verdict := After(c.outcome, c.state)
		if follows := verdict == Again || verdict == Elsewhere; follows != (got == NoLimit) {
			t.Errorf("%s: verdict %d with limit %q", c.name, verdict, got)
		}
	}
}
