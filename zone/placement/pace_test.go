package placement

import (
	"math"
	"testing"
	"time"

	"mimosastand.example/mimosastand/zone/roster"
)

// pacedPool returns a pool of engines at which x reported a pace at start, and y the usual one.
func pacedPool(percent float64) *Pool {
	p := newPool(engineMember("x", "a"), engineMember("y", "a"), engineMember("z", "a"))
	p.PaceAnswered(start, "y", usualPace)
	p.PaceAnswered(start, "x", percent)
	return p
}

// Guards against a pace that is forgotten within a slow period or counts long after it, and against a target without a
// report that counts as faster than the others.
func TestPaceHoldsAndReturnsToMean(t *testing.T) {
	p := pacedPool(250)
	mean := p.pace.mean
	if mean <= usualPace || mean >= 250 {
		t.Fatalf("mean pace %v, want between 100 and 250", mean)
	}
	for _, c := range []struct {
		id   string
		age  time.Duration
		want float64
	}{
		{"x", 0, 250}, {"x", paceHold, 250}, {"x", paceHold + paceReturn/2, (250 + mean) / 2}, {"x", paceHold + paceReturn, mean}, {"z", 0, mean}, {"y", paceHold, usualPace},
		{"x", pacedWindow, 0},
	} {
		if got := p.paceOf(start.Add(c.age), p.members[int(c.id[0]-'x')].ID); math.Abs(got-c.want) > 0.01 {
			t.Errorf("pace of %s after %v = %v, want %v", c.id, c.age, got, c.want)
		}
	}
}

// Guards against a fast machine that counts as faster than the declared step times, and against a report that makes
// every target count as full for its hold time.
func TestPaceIsBounded(t *testing.T) {
	p := pacedPool(40)
	if got := p.paceOf(start, "x"); got != usualPace {
		t.Errorf("pace of 40 %% counts as %v, want 100", got)
	}
	p.PaceAnswered(start, "x", 1e9)
	if got := p.paceOf(start, "x"); got != maxPace {
		t.Errorf("pace of 1e9 %% counts as %v, want %v", got, float64(maxPace))
	}
}

// Guards against paces and sizes that change the choice on services that are neither paced nor size-aware.
func TestOtherServicesIgnorePaceAndSize(t *testing.T) {
	large := Requirements{PromptTokens: 1e6, AnswerTokens: 1e6}
	usual, other := newPool(engineMember("x", "a"), engineMember("y", "b")), newPool(engineMember("x", "a"), engineMember("y", "b"))
	for _, p := range []*Pool{usual, other} {
		s := modelService()
		s.Engine.MemoryTokens, s.Engine.PairTime = 10, time.Second
		p.SetService(s)
	}
	other.PaceAnswered(start.Add(-pacedWindow), "x", 250)
	for i := range 40 {
		now := start.Add(time.Duration(i) * 15 * time.Millisecond)
		want, refusal := usual.Pick(now, Requirements{}, 300*time.Millisecond)
		got, otherRefusal := other.Pick(now, large, 300*time.Millisecond)
		if got != want || refusal != otherRefusal {
			t.Fatalf("choice %d: %+v, %d, want %+v, %d", i, got, otherRefusal, want, refusal)
		}
		if refusal == Placed {
			usual.Sent(now, want.ID)
			other.SentSized(now, got.ID, large)
			usual.PredictionObserved(now, want, time.Second)
			other.PredictionObserved(now, got, time.Hour)
		}
	}
}

// Guards against a prompt of ten times the usual size that is predicted to take as long as a usual one, as the request's
// own and as one that the target still has to read.
func TestPredictionCountsPromptSizes(t *testing.T) {
	large := Requirements{PromptTokens: 10000, AnswerTokens: 96}
	p := newPool(engineMember("x", "a"))
	p.SetSizeAware(true)
	small, _ := p.Pick(start, Requirements{}, time.Second)
	own, _ := p.Pick(start, large, time.Second)
	read := 9 * NewLatencyModel(modelService(), 0).prefillTime
	if diff := own.FirstEventDelay - small.FirstEventDelay; diff < read || diff > read*3/2 {
		t.Errorf("a prompt of ten times the size adds %v, want %v to half as much again", diff, read)
	}
	p.SentSized(start, "x", large)
	if behind, outcome := p.Pick(start, Requirements{}, time.Second); outcome != Placed || behind.FirstEventDelay-small.FirstEventDelay < read {
		t.Errorf("behind a large prompt: %v (refusal %d), want at least %v more than %v", behind.FirstEventDelay, outcome, read, small.FirstEventDelay)
	}
	if _, outcome := p.Pick(start, Requirements{PromptTokens: math.Inf(1)}, time.Second); outcome != Placed {
		t.Errorf("a prompt without a usable size: refusal %d, want the usual size and Placed", outcome)
	}
	if c, _ := p.Pick(start, Requirements{PromptTokens: 1e300}, time.Minute); c.FirstEventDelay < maxPromptTime || c.FirstEventDelay > 2*maxPromptTime {
		t.Errorf("a prompt of 1e300 tokens is predicted to take %v, want at least %v and at most twice that", c.FirstEventDelay, maxPromptTime)
	}
}

// Guards against large prompts that are never served, since reading them alone takes longer than the objective, and
// against a longer limit for others.
func TestLargePromptIsPlacedAtIdleTarget(t *testing.T) {
	const limit = 300 * time.Millisecond
	p := newPool(engineMember("x", "a"))
	p.SetSizeAware(true)
	large := Requirements{PromptTokens: 12000, AnswerTokens: 96}
	c, outcome := p.Pick(start, large, limit)
	if outcome != Placed || c.FirstEventDelay <= limit {
		t.Fatalf("Pick() of a prompt that takes %v: refusal %d, want Placed", c.FirstEventDelay, outcome)
	}
	p.SentSized(start, "x", large)
	if _, outcome := p.Pick(start, large, limit); outcome != Full {
		t.Errorf("behind another one: refusal %d, want Full", outcome)
	}
	large.Remaining = limit + 10*time.Millisecond
	if got := p.sizedLimit(start, limit, large); got != large.Remaining {
		t.Errorf("limit of a large prompt %v before its deadline = %v, want that", large.Remaining, got)
	}
	if got := p.sizedLimit(start, limit, Requirements{PromptTokens: 1000}); got != limit {
		t.Errorf("limit of a usual prompt = %v, want %v", got, limit)
	}
}

// Guards against a caller that declares a false size and so has its entry avoid a target for as long as the request
// runs: what counts is the prompt that can be read in maxPromptTime, and the answer that fits before the deadline.
func TestFalseSizesAreBounded(t *testing.T) {
	p := newPool(engineMember("x", "a"))
	p.SetSizeAware(true)
	s := modelService()
	s.Engine.PerContext = time.Millisecond / 10
	p.SetService(s)
	const limit = 500 * time.Millisecond
	for _, size := range []Requirements{{AnswerTokens: 1e9, Remaining: 6 * time.Second}, {PromptTokens: 1e9, Remaining: 6 * time.Second}} {
		p.SentSized(start, "x", size)
		if c, outcome := p.Pick(start.Add(maxPromptTime+time.Second), Requirements{Remaining: 6 * time.Second}, limit); outcome != Placed {
			t.Errorf("beside %v prompt and %v answer tokens: refusal %d, want Placed", size.PromptTokens, size.AnswerTokens, outcome)
		} else if c.FirstEventDelay > limit {
			t.Errorf("beside %v prompt and %v answer tokens: delay %v, want at most %v", size.PromptTokens, size.AnswerTokens, c.FirstEventDelay, limit)
		}
		p.Ended("x")
	}
}

// Guards against requests that an engine has no memory for, and against memory that stays taken after their end.
func TestRequestNeedsMemory(t *testing.T) {
	p := newPool(engineMember("x", "a"))
	p.SetSizeAware(true)
	s := modelService()
	s.Engine.MemoryTokens = 20000
	p.SetService(s)
	half := Requirements{PromptTokens: 1000, AnswerTokens: 9000}
	for i := range 2 {
		if _, outcome := p.Pick(start, half, time.Minute); outcome != Placed {
			t.Fatalf("request %d of half of the memory: refusal %d, want Placed", i, outcome)
		}
		p.SentSized(start, "x", half)
	}
	if _, outcome := p.Pick(start, Requirements{}, time.Minute); outcome != Full {
		t.Errorf("all memory taken: refusal %d, want Full", outcome)
	}
	p.Ended("x")
	p.Ended("x")
	if _, outcome := p.Pick(start, half, time.Minute); outcome != Placed {
		t.Errorf("after both ended: refusal %d, want Placed", outcome)
	}
}

// Guards against a correction that outlives what it was learned from, or that one stalled answer sets to its bound.
func TestCorrectionIsBoundedAndDecays(t *testing.T) {
	p := newPool(engineMember("x", "a"))
	p.SetSizeAware(true)
	c, _ := p.Pick(start, Requirements{}, time.Second)
	p.PredictionObserved(start, c, time.Minute)
	bound := p.maxCorrection()
	if got := p.correction.valueAt(start); got <= 0 || got > bound/5 {
		t.Errorf("correction after one stalled answer = %v, want above 0 and at most a fifth of %v", got, bound)
	}
	now := start
	for range 500 {
		now = now.Add(50 * time.Millisecond)
		p.PredictionObserved(now, c, time.Minute)
	}
	later, _ := p.Pick(now, Requirements{}, time.Second)
	if got := later.Correction; got > bound || got < bound*9/10 || later.FirstEventDelay != c.FirstEventDelay+got {
		t.Errorf("correction %v, prediction %v, want near the bound %v, and that much above %v", got, later.FirstEventDelay, bound, c.FirstEventDelay)
	}
	if got := p.correction.valueAt(now.Add(30 * time.Second)); got > bound/100 {
		t.Errorf("correction 30 s after the last answer = %v, want at most a hundredth of %v", got, bound)
	}
}

// Guards against what was learned of a paced service and still counts once its targets no longer report a pace, for
// example since something before them removes it.
func TestServiceWithoutPacesIsPredictedAsBefore(t *testing.T) {
	p, usual := pacedPool(250), newPool(engineMember("x", "a"), engineMember("y", "a"), engineMember("z", "a"))
	now := start
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		c, _ := p.Pick(now, Requirements{}, time.Second)
		p.PaceAnswered(now, c.ID, 250)
		p.PredictionObserved(now, c, time.Second)
	}
	now = now.Add(pacedWindow)
	want, _ := usual.Pick(now, Requirements{}, time.Second)
	got, outcome := p.Pick(now, Requirements{PromptTokens: 10000}, time.Second)
	if outcome != Placed || got.FirstEventDelay != want.FirstEventDelay || got.Pace != 0 || got.Correction != 0 {
		t.Errorf("%v after the last pace: %+v, want the prediction %v without pace and correction", pacedWindow, got, want.FirstEventDelay)
	}
	if p.candidateCount(now) != candidatesPerDistance {
		t.Errorf("%d candidates at each distance, want %d", p.candidateCount(now), candidatesPerDistance)
	}
}

// Guards against busy targets that count as half idle while few of them are usable: the others, which change their
// weights or have old ones, are idle.
func TestReportedLoadFadesToMeanOfUsableTargets(t *testing.T) {
	r := roster.New(0)
	for id, s := range map[string]roster.Status{
		"busy": {Version: 2, Ready: true, Load: 4}, "other": {Version: 2, Ready: true, Load: 4},
		"changing": {Version: 2, Ready: true, Changing: true}, "old": {Version: 1, Ready: true}, "ejected": {Version: 2, Ready: true},
	} {
		m := engineMember(id, "a")
		r.Update(start, m.Target, time.Time{})
		s.HasLoad = true
		r.ApplyRelayed(roster.ReportKeyOf(m.Address, 0), start, s)
	}
	p := newPool(r.Members("")...)
	p.PaceAnswered(start, "busy", usualPace)
	p.Failed(start, "ejected", true)
	now := start.Add(500 * time.Millisecond)
	p.updateInflow(now, Requirements{MinVersion: 2}, time.Second)
	if load, _, ok := p.processLoad(now, r.Member("busy"), NewLatencyModel(p.service, 0).RequestDuration()); !ok || load != 4 {
		t.Errorf("load of a busy target after 0.5 s = %v, %v, want 4, as at the other usable target", load, ok)
	}
}

// Guards against old reports of loads that all entries follow to the same targets, and against fresh ones that count for
// nothing.
func TestReportedLoadFadesOnPacedServices(t *testing.T) {
	for _, paced := range []bool{false, true} {
		r := roster.New(0)
		for id, load := range map[string]int{"idle": 0, "busy": 4} {
			m := engineMember(id, "a")
			r.Update(start, m.Target, time.Time{})
			r.ApplyRelayed(roster.ReportKeyOf(m.Address, 0), start, roster.Status{Version: 1, Ready: true, Load: load, HasLoad: true})
		}
		p := newPool(r.Members("")...)
		if paced {
			p.PaceAnswered(start, "idle", usualPace)
		}
		for _, c := range []struct {
			age         time.Duration
			least, most float64
		}{{0, 4, 4}, {time.Second, 3.9, 4}} {
			if paced && c.age > 0 {
				c.least, c.most = 2, 2.2
			}
			now := start.Add(c.age)
			p.updateInflow(now, Requirements{}, time.Second)
			load, _, ok := p.processLoad(now, r.Member("busy"), NewLatencyModel(p.service, 0).RequestDuration())
			if !ok || load < c.least || load > c.most {
				t.Errorf("paced %v, report %v old: load %.2f, want %.1f to %.1f", paced, c.age, load, c.least, c.most)
			}
		}
	}
}
