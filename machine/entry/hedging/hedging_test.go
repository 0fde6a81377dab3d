package hedging_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mimosastand.example/mimosastand/machine/entry/hedging"
	"mimosastand.example/mimosastand/zone/roster"
)

const ms = time.Millisecond

// attempt is one of deployment B: predicted at 130 ms, with an objective of 400 ms.
var attempt = hedging.Attempt{Predicted: 130 * ms, Objective: 400 * ms, PromptTokens: 500}

// newTracker returns a tracker that has seen requests of 100 to 1,000 tokens, whose first events took
// 100 ms to 190 ms, and the time of the last one.
func newTracker(extraWork float64) (*hedging.Tracker, time.Time) {
	now := time.Unix(0, 0)
	tr := hedging.NewTracker(now, extraWork)
	for i := range 100 {
		now = now.Add(20 * ms)
		tr.RecordRequest(now, float64(100+i%10*100))
		tr.RecordFirstEvent(now, time.Duration(100+i%10*10)*ms)
	}
	return tr, now
}

// Guards against hedges of requests that are well in time, and against ones that start too late to meet
// the objective.
func TestDelayIsBoundedByObjective(t *testing.T) {
	tr, now := newTracker(0.1)
	for name, c := range map[string]struct {
		change func(*hedging.Attempt)
		want   time.Duration
	}{
		"prediction":             {func(*hedging.Attempt) {}, 195 * ms},
		"observed quantile":      {func(a *hedging.Attempt) { a.Predicted = 50 * ms }, 180 * ms},
		"half the objective":     {func(a *hedging.Attempt) { a.Predicted = 300 * ms }, 200 * ms},
		"time before the start":  {func(a *hedging.Attempt) { a.Spent = 50 * ms }, 150 * ms},
		"quarter at least":       {func(a *hedging.Attempt) { a.Spent = 300 * ms }, 100 * ms},
		"plain request":          {func(a *hedging.Attempt) { a.Objective = 120 * ms }, 60 * ms},
		"objective of 2 seconds": {func(a *hedging.Attempt) { a.Objective = 2 * time.Second }, 500 * ms},
	} {
		a := attempt
		c.change(&a)
		if got := tr.Delay(now, a); got != c.want {
			t.Errorf("%s: Delay() = %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a hedge that is slower than what is left of the first attempt.
func TestRemainingTimeOfWaitingAttempt(t *testing.T) {
	tr, now := newTracker(0.1)
	for waited, want := range map[time.Duration]time.Duration{
		0:        145 * ms, // The mean of what was observed.
		155 * ms: 20 * ms,  // 160 to 190 ms were observed.
		400 * ms: 400 * ms, // Nothing took as long.
	} {
		if got := tr.Remaining(now, attempt, waited); got != want {
			t.Errorf("Remaining() after %v = %v, want %v", waited, got, want)
		}
	}
}

// Guards against extra work for requests that must not have any.
func TestHedgesThatAreNotAllowed(t *testing.T) {
	for name, c := range map[string]struct {
		extraWork float64
		change    func(*hedging.Attempt)
		waited    time.Duration
		waiting   bool
		want      hedging.Refusal
	}{
		"allowed":                    {0.1, func(*hedging.Attempt) {}, 200 * ms, false, hedging.Allowed},
		"most urgent, others wait":   {0.1, func(*hedging.Attempt) {}, 200 * ms, true, hedging.Allowed},
		"less urgent, none waits":    {0.1, func(a *hedging.Attempt) { a.LessUrgent = true }, 200 * ms, false, hedging.Allowed},
		"less urgent, others wait":   {0.1, func(a *hedging.Attempt) { a.LessUrgent = true }, 200 * ms, true, hedging.RequestsWait},
		"just not the largest tenth": {0.1, func(a *hedging.Attempt) { a.PromptTokens = 900 }, 200 * ms, false, hedging.Allowed},
		"largest tenth":              {0.1, func(a *hedging.Attempt) { a.PromptTokens = 1000 }, 200 * ms, false, hedging.TooLarge},
		"size not known":             {0.1, func(a *hedging.Attempt) { a.PromptTokens = 0 }, 200 * ms, false, hedging.TooLarge},
		"objective has passed":       {0.1, func(a *hedging.Attempt) { a.Spent = 100 * ms }, 300 * ms, false, hedging.Late},
		"no extra work":              {0, func(*hedging.Attempt) {}, 200 * ms, false, hedging.Limit},
		"less than one attempt":      {0.009, func(*hedging.Attempt) {}, 200 * ms, false, hedging.Limit},
	} {
		tr, now := newTracker(c.extraWork)
		a := attempt
		c.change(&a)
		if got := tr.Check(now, a, c.waited, c.waiting); got != c.want {
			t.Errorf("%s: Check() = %q, want %q", name, got, c.want)
		}
	}
	plain := hedging.NewTracker(time.Unix(0, 0), 1)
	plain.RecordRequest(time.Unix(1, 0), 0)
	if got := plain.Check(time.Unix(1, 0), hedging.Attempt{Objective: 120 * ms}, 60*ms, false); got != hedging.Allowed {
		t.Errorf("Check() of a request to a service without prompts = %q, want it allowed", got)
	}
}

// Guards against extra work beyond the operators' share: load of 78 requests/s that moves between the
// entries, each of which hedges whenever it may, and of which one in three restarts midway. A process
// keeps its limit in each window that ends with a hedge. All of them together keep it in any span for
// the requests of that span and the window before it, since a hedge follows its requests.
func TestExtraWorkIsLimitedOverAllEntries(t *testing.T) {
	const share, rate, seconds, window = 0.1, 78, 120, 30 * time.Second
	for _, entries := range []int{3, 9, 107} {
		t.Run(fmt.Sprint("entries=", entries), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(uint64(entries), 1))
			start := time.Unix(0, 0)
			trackers := make([]*hedging.Tracker, entries)
			requests, hedges := make([][]time.Time, entries), make([][]time.Time, entries)
			for i := range trackers {
				trackers[i] = hedging.NewTracker(start, share)
			}
			var all []time.Time
			within := func(times []time.Time, from time.Time) (n int) {
				for _, at := range times {
					if !at.Before(from) {
						n++
					}
				}
				return n
			}
			for k := range rate * seconds {
				now := start.Add(time.Duration(float64(k) / rate * float64(time.Second)))
				i := rng.IntN(1 + (k/500*7+entries/2)%entries)
				if k == rate*seconds/2 {
					for j := 0; j < entries; j += 3 {
						trackers[j] = hedging.NewTracker(now, share)
						requests[j], hedges[j] = nil, nil
					}
				}
				trackers[i].RecordRequest(now, 0)
				requests[i] = append(requests[i], now)
				if !trackers[i].TryAcquire(now) {
					continue
				}
				hedges[i] = append(hedges[i], now)
				all = append(all, now)
				if extra, own := within(hedges[i], now.Add(-window)), within(requests[i], now.Add(-window)); float64(extra) > share*float64(own) {
					t.Fatalf("entry %d: %d extra attempts and %d requests in the window, want at most %v of them", i, extra, own, share)
				}
			}
			for i, from := range all {
				for j, to := range all[i:] {
					if allowed := share * rate * min(to.Sub(from)+window, to.Sub(start)).Seconds(); float64(j+1) > allowed+1 {
						t.Fatalf("%d extra attempts from %v to %v, want at most %.1f", j+1, from, to, allowed)
					}
				}
			}
			if total := float64(len(all)); total > share*rate*seconds || total < share*rate*seconds/3 {
				t.Errorf("%v extra attempts for %d requests, want at most %v of them and no less than a third of that", total, rate*seconds, share)
			}
		})
	}
}

// Guards against a target that never answers and still gets requests, since their hedges win before it
// counts as silent, and against the ejection of one that is slow.
func TestTargetThatNeverAnswersIsRecognized(t *testing.T) {
	const timeout = 900 * ms
	const id = roster.TargetID("target-1")
	var dead hedging.Unanswered
	for i, want := range []bool{false, false, true, false} {
		started := time.Duration(1000+500*i) * ms
		if got := dead.Replaced(id, started, 500*ms, started+200*ms, timeout); got != want {
			t.Errorf("attempt %d at a target without an answer: silent = %v, want %v", i, got, want)
		}
	}
	var slow hedging.Unanswered
	for i := range 20 {
		started := time.Duration(1000+500*i) * ms
		// Something arrives after every second attempt.
		if slow.Replaced(id, started, time.Duration(1000+1000*(i/2)-100)*ms, started+200*ms, timeout) {
			t.Errorf("attempt %d at a slow target counts as silence", i)
		}
	}
}
