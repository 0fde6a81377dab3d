package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/roster"
)

var (
	start   = time.Unix(1000, 0)
	regions = map[contract.ZoneName]contract.RegionName{"a": "ra", "b": "rb"}
)

// modelService returns a service of model engines with 4 slots, passes of 48 ms, and
// 32 ms for reading a prompt of the usual size.
func modelService() *catalog.Service {
	return &catalog.Service{Name: "m", Engine: &catalog.Engine{
		Slots: 4, StepTime: 8 * time.Millisecond, PrefillRate: 31250, Stride: 6, PromptTokens: 1000, AnswerTokens: 96,
	}}
}

func engineMember(id string, zone contract.ZoneName) *roster.Member {
	return &roster.Member{Target: roster.Target{
		ID: roster.TargetID(id), Address: id + ":1", Zone: zone, Slots: 4, Model: &roster.Model{Version: 1, Layers: 16},
	}}
}

func newPool(members ...*roster.Member) *Pool {
	p := NewPool(Place{Region: "ra", Zone: "a"}, regions, rand.New(rand.NewPCG(1, 2)))
	p.SetService(modelService())
	p.SetMembers(start, members)
	return p
}

func TestPickRefusesWhenTargetIsFull(t *testing.T) {
	p := newPool(engineMember("x", "a"))
	const limit = 300 * time.Millisecond
	sent := 0
	for {
		_, outcome := p.Pick(start, Requirements{}, limit)
		if outcome == Full {
			break
		}
		if outcome != Placed || sent > 20 {
			t.Fatalf("refusal %d after %d requests, want Full after at most 20", outcome, sent)
		}
		p.Sent(start, "x")
		sent++
	}
	if sent < 4 || sent > 4+maxWaiting {
		t.Errorf("%d requests placed at 4 slots, want 4 and at most maxWaiting more", sent)
	}
	if wait, ok := p.PredictWait(start, Requirements{}, limit); !ok || wait < 0 {
		t.Errorf("PredictWait() = %v, %v, want a wait of at least 0, true", wait, ok)
	}
}

func TestPickCountsPeerLoad(t *testing.T) {
	p := newPool(engineMember("x", "a"), engineMember("y", "a"))
	p.SetPeerLoad("x", 3)
	for range 10 {
		if c, _ := p.Pick(start, Requirements{}, time.Second); c.ID != "y" {
			t.Fatalf("Pick() = %s, want the idle target y", c.ID)
		}
	}
}

// A burst from many entries with the same information must not go to a single target.
func TestPickSpreadsOverEqualTargets(t *testing.T) {
	p := newPool(engineMember("x", "a"), engineMember("y", "a"))
	got := map[roster.TargetID]int{}
	for range 200 {
		c, _ := p.Pick(start, Requirements{}, time.Second)
		got[c.ID]++
	}
	if got["x"] < 50 || got["y"] < 50 {
		t.Errorf("requests by target = %v, want at least 50 each", got)
	}
}

func TestPickUsesOtherRegionsOnlyUnderLoad(t *testing.T) {
	p := newPool(engineMember("near", "a"), engineMember("far", "b"))
	if c, _ := p.Pick(start, Requirements{}, time.Second); c.ID != "near" {
		t.Errorf("Pick() with idle targets = %s, want near", c.ID)
	}
	for range 5 {
		p.Sent(start, "near")
	}
	if c, _ := p.Pick(start, Requirements{}, time.Second); c.ID != "far" {
		t.Errorf("Pick() with a loaded near target = %s, want far", c.ID)
	}
}

func TestPickRespectsAllowedRegions(t *testing.T) {
	p := newPool(engineMember("far", "b"))
	req := Requirements{RegionAllowed: func(r contract.RegionName) bool { return r == "ra" }}
	if c, outcome := p.Pick(start, req, time.Second); outcome != NoTarget {
		t.Errorf("Pick() = %q, want NoTarget", c.ID)
	}
}

func TestPickSkipsEvacuatedAndLeavingTargets(t *testing.T) {
	leaving := engineMember("x", "a")
	leaving.Leaving = true
	p := newPool(leaving, engineMember("y", "b"))
	p.SetEvacuated(map[contract.ZoneName]bool{"b": true})
	if c, outcome := p.Pick(start, Requirements{}, time.Second); outcome != NoTarget {
		t.Errorf("Pick() = %q, want NoTarget", c.ID)
	}
}

func TestPickRespectsWeightsVersion(t *testing.T) {
	p := newPool(engineMember("x", "a"))
	if _, outcome := p.Pick(start, Requirements{MinVersion: 2}, time.Second); outcome != NoTarget {
		t.Error("MinVersion 2, target at version 1: Pick() did not return NoTarget")
	}
	if _, outcome := p.Pick(start, Requirements{Pinned: 2}, time.Second); outcome != NoTarget {
		t.Error("Pinned 2, target at version 1: Pick() did not return NoTarget")
	}
	if _, outcome := p.Pick(start, Requirements{Pinned: 1}, time.Second); outcome != Placed {
		t.Error("Pinned 1, target at version 1: Pick() did not return Placed")
	}
}

func TestPickSkipsEnginesWithoutLayers(t *testing.T) {
	empty := engineMember("x", "a")
	empty.Model = &roster.Model{}
	p := newPool(empty)
	if _, outcome := p.Pick(start, Requirements{}, time.Second); outcome != NoTarget {
		t.Error("engine without layers: Pick() did not return NoTarget")
	}
}

// No window of a second may bring a target more than the entry's share.
func TestColdShareBoundsAnySecond(t *testing.T) {
	p := newPool(engineMember("x", "a"))
	p.SetColdShares(newColdShares("entry-0", entryIDs(1), 6))
	var sendTimes []time.Time
	now := start
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		if c, outcome := p.Pick(now, Requirements{}, time.Second); outcome == Placed {
			p.Sent(now, c.ID)
			p.Ended(c.ID)
			sendTimes = append(sendTimes, now)
		}
	}
	for i := 3; i < len(sendTimes); i++ {
		if sendTimes[i].Sub(sendTimes[i-3]) <= time.Second {
			t.Fatalf("4 requests within %v, want at most 3", sendTimes[i].Sub(sendTimes[i-3]))
		}
	}
	if len(sendTimes) < 9 {
		t.Errorf("%d requests in 4 s, want at least 9", len(sendTimes))
	}
}

func TestSilentTargetIsEjectedAndProbed(t *testing.T) {
	p := newPool(engineMember("x", "a"), engineMember("y", "b"))
	p.Sent(start, "x")
	p.Failed(start, "x", true)
	p.Ended("x")
	if c, _ := p.Pick(start, Requirements{}, time.Second); c.ID != "y" {
		t.Errorf("Pick() after x fell silent = %s, want y", c.ID)
	}
	later := start.Add(2 * time.Second)
	if c, _ := p.Pick(later, Requirements{}, time.Second); c.ID != "x" {
		t.Errorf("Pick() 2 s later = %s, want x", c.ID)
	}
}

func TestPickUsesEjectedTargetAsLastResort(t *testing.T) {
	p := newPool(engineMember("x", "a"))
	p.Failed(start, "x", true)
	if c, outcome := p.Pick(start, Requirements{}, time.Second); outcome != Placed || c.ID != "x" {
		t.Errorf("Pick() with x ejected: refusal %d or not x, want x placed", outcome)
	}
}

func TestFirstEventDelayGrowsWithLoad(t *testing.T) {
	model := NewLatencyModel(modelService(), 0)
	last := time.Duration(0)
	for load := range 12 {
		delay := model.FirstEventDelay(float64(load))
		if delay < last {
			t.Fatalf("FirstEventDelay(%d) = %v, want at least %v", load, delay, last)
		}
		last = delay
	}
	if idle := model.FirstEventDelay(0); idle < 60*time.Millisecond || idle > 120*time.Millisecond {
		t.Errorf("FirstEventDelay(0) = %v, want 60ms to 120ms", idle)
	}
}

// An engine returns idle while the others are busy. All entries have the same
// information, and learn what the others sent only with their next heartbeats. Until
// then, they must not overfill the engine together.
func TestEntriesDoNotOverfillAnEmptyEngine(t *testing.T) {
	const entries, busy = 9, 3
	total := 0
	for i := range entries {
		p := NewPool(Place{Region: "ra", Zone: "a"}, regions, rand.New(rand.NewPCG(uint64(i), 2)))
		p.SetService(modelService())
		p.SetMembers(start, []*roster.Member{engineMember("empty", "a"), engineMember("x", "a"), engineMember("y", "a"), engineMember("z", "a")})
		p.SetEntryCount(entries)
		for _, id := range []roster.TargetID{"x", "y", "z"} {
			p.SetPeerLoad(id, busy)
		}
		for n := range 3 {
			now := start.Add(time.Duration(n) * 50 * time.Millisecond)
			if c, outcome := p.Pick(now, Requirements{}, time.Second); outcome == Placed {
				p.Sent(now, c.ID)
				if c.ID == "empty" {
					total++
				}
			}
		}
	}
	if total > entries {
		t.Errorf("%d requests went to the empty engine, want at most 9", total)
	}
	if total < entries/2 {
		t.Errorf("%d requests went to the empty engine, want at least 4", total)
	}
}

// A zone is cut off, so that its engines and their target processes fall silent. Once a
// target has been ejected, it must not be probed with requests until its process reports
// again.
func TestUnreachableTargetsAreNotProbed(t *testing.T) {
	r := roster.New(0)
	for _, id := range []string{"cut", "near"} {
		r.Update(start, roster.Target{ID: roster.TargetID(id), Service: "m", Address: id, Zone: "a", Slots: 4,
			Model: &roster.Model{Version: 1, Layers: 16}}, time.Time{})
		r.Report(start, id, 0, roster.Status{Version: 1, Ready: true})
	}
	p := newPool(r.Members("m")...)
	p.Sent(start, "cut")
	p.Failed(start, "cut", true)
	p.Ended("cut")
	for at := start; at.Before(start.Add(6 * time.Second)); at = at.Add(200 * time.Millisecond) {
		r.Report(at, "near", 0, roster.Status{Version: 1, Ready: true})
		c, outcome := p.Pick(at, Requirements{}, time.Second)
		silent := at.Sub(start) > 2*time.Second
		if silent && (outcome != Placed || c.ID != "near") {
			t.Fatalf("Pick() after %v = %s, refusal %d, want near, Placed", at.Sub(start), c.ID, outcome)
		}
	}
	later := start.Add(7 * time.Second)
	r.Report(later, "cut", 0, roster.Status{Version: 1, Ready: true})
	r.Report(later, "near", 0, roster.Status{Version: 1, Ready: true})
	got := map[roster.TargetID]bool{}
	for range 20 {
		c, _ := p.Pick(later, Requirements{}, time.Second)
		got[c.ID] = true
	}
	if !got["cut"] {
		t.Error("target cut was never picked after its process reported again")
	}
}

// Guards against more connections to a target than it accepts from all entries together: it
// resets those beyond. Each entry held as many as its own requests needed.
func TestEntriesTogetherKeepConnectionLimit(t *testing.T) {
	const maxConns = 90
	for _, entries := range []int{3, 9, 40} {
		known := entryIDs(entries)
		open := 0
		for _, self := range known {
			p := newPool(engineMember("x", "a"))
			s := modelService()
			s.MaxConns, s.Engine.Slots = maxConns, 1000
			p.SetService(s)
			p.SetColdShares(newColdShares(self, known, 0))
			for {
				if _, refusal := p.Pick(start, Requirements{}, time.Hour); refusal != Placed {
					break
				}
				p.Sent(start, "x")
				open++
			}
		}
		if open > maxConns || open < maxConns/3 {
			t.Errorf("%d entries: %d requests at once, want at most %d and at least a third of it", entries, open, maxConns)
		}
	}
}
