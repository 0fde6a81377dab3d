package placement

import (
	"fmt"
	"testing"
	"time"
)

var (
	presentRules = paceRules{name: "without pace"}
	chosenRules  = paceRules{name: "chosen", answers: true}
)

// meanOf runs a simulated fleet with several seeds and returns the means of the share of requests that are late or
// refused, and of the median and the 99th percentile of the delays of first events.
func meanOf(seeds uint64, rules paceRules, d time.Duration) (late float64, p50, p99 time.Duration) {
	for seed := range seeds {
		f := runPacedFleet(seed, rules, d)
		late += f.lateShare() / float64(seeds)
		p50 += f.quantile(0.5) / time.Duration(seeds)
		p99 += f.quantile(0.99) / time.Duration(seeds)
	}
	return late, p50, p99
}

// Guards against a use of paces and sizes that serves fewer requests in time than none: 67 entries, 40 engines of
// 12 slots at 70 % and 85 % of their load, each 2.5 times as slow for 15 % of the time.
func TestPacedRulesServeMoreInTime(t *testing.T) {
	for _, u := range []struct{ utilization, most float64 }{{0.7, 0.8}, {0.85, 0.6}} {
		present, chosen := presentRules, chosenRules
		present.utilization, chosen.utilization = u.utilization, u.utilization
		lateBefore, _, p99Before := meanOf(2, present, 20*time.Second)
		late, p50, p99 := meanOf(2, chosen, 20*time.Second)
		t.Logf("load %.2f: late or refused %.4f, p50 %v, p99 %v; without pace %.4f, p99 %v", u.utilization, late, p50, p99, lateBefore, p99Before)
		if late > lateBefore*u.most || p99 > p99Before {
			t.Errorf("load %.2f: %.4f late or refused, p99 %v, want at most %.1f of %.4f and %v", u.utilization, late, p99, u.most, lateBefore, p99Before)
		}
	}
}

// Guards against a correction that swings between its bounds: it raises predictions, the entries place less, the
// delays fall, and it lowers them again. For 6 s nearly twice as many requests arrive as the engines bear.
func TestCorrectionDoesNotOscillate(t *testing.T) {
	rules := chosenRules
	rules.burst = 2.5
	f := runPacedFleet(1, rules, 20*time.Second)
	bound := f.pools[0].maxCorrection()
	at := func(d time.Duration) int { return int(d / correctionSample) }
	swings, extreme, rising := 0, time.Duration(0), true
	for _, c := range f.corrections[at(burstFrom):at(burstUntil)] {
		if c > bound || c < -bound {
			t.Fatalf("correction %v exceeds its bound %v", c, bound)
		}
		switch {
		case rising && c > extreme || !rising && c < extreme:
			extreme = c
		case rising && c < extreme-bound/4 || !rising && c > extreme+bound/4:
			rising, extreme = !rising, c
			swings++
		}
	}
	t.Logf("bound %v, corrections in the burst %v", bound, f.corrections[at(burstFrom):at(burstUntil)])
	if swings > 2 {
		t.Errorf("correction turned %d times by more than a quarter of its bound within 6 s, want at most 2", swings)
	}
	before, after := f.corrections[at(burstFrom)-1], f.corrections[len(f.corrections)-1]
	if diff := max(after-before, before-after); diff > bound/2 {
		t.Errorf("10 s after the burst the correction is %v, before it was %v, want at most half of the bound %v between them", after, before, bound)
	}
}

// BenchmarkPaceRules compares the ways to learn paces and to choose. Run it with -bench PaceRules -benchtime 1x; the time of
// an operation says nothing.
func BenchmarkPaceRules(b *testing.B) {
	list := []paceRules{presentRules, chosenRules}
	for _, d := range []int{2, 3, 5} {
		for _, r := range []paceRules{
			{name: "answers"}, {name: "heartbeats", heartbeats: true}, {name: "heartbeats, report 150 ms old", heartbeats: true, reportLag: 150 * time.Millisecond}, {name: "heartbeats, report 300 ms old", heartbeats: true, reportLag: 300 * time.Millisecond},
			{name: "heartbeats passed on", heartbeats: true, relayed: true}, {name: "processes asked", asked: true},
			{name: "processes asked, report 300 ms old", asked: true, reportLag: 300 * time.Millisecond}, {name: "paces known", exact: true},
			{name: "paces and loads known", exact: true, probed: true},
		} {
			r.answers, r.candidates = true, d
			r.name = fmt.Sprintf("%s, best of %d", r.name, d)
			list = append(list, r)
		}
	}
	for _, rules := range list {
		b.Run(rules.name, func(b *testing.B) {
			late, p50, p99 := meanOf(4, rules, time.Minute)
			b.ReportMetric(late, "late-share")
			b.ReportMetric(float64(p50.Milliseconds()), "p50-ms")
			b.ReportMetric(float64(p99.Milliseconds()), "p99-ms")
		})
	}
}
