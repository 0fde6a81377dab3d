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

// models is a service of engines that run 4 requests at once, a pass of 48 ms and
// 32 ms for reading a usual prompt.
func models() *catalog.Service {
	return &catalog.Service{Name: "m", Engine: &catalog.Engine{
		Slots: 4, StepTime: 8 * time.Millisecond, PrefillRate: 31250, Stride: 6, PromptTokens: 1000, AnswerTokens: 96,
	}}
}

func engine(id string, zone contract.ZoneName) *roster.Member {
	return &roster.Member{Target: roster.Target{
		ID: roster.TargetID(id), Address: id + ":1", Zone: zone, Slots: 4, Model: &roster.Model{Version: 1, Layers: 16},
	}}
}

func newPool(members ...*roster.Member) *Pool {
	p := NewPool(Place{Region: "ra", Zone: "a"}, regions, rand.New(rand.NewPCG(1, 2)))
	p.SetService(models())
	p.SetMembers(members)
	return p
}

func TestFullTargetsAreToldWhenTheRequestArrives(t *testing.T) {
	p := newPool(engine("x", "a"))
	const limit = 300 * time.Millisecond
	sent := 0
	for {
		_, refusal := p.Pick(start, Requirements{}, limit)
		if refusal == Full {
			break
		}
		if refusal != Placed || sent > 20 {
			t.Fatalf("refusal %d after %d", refusal, sent)
		}
		p.Sent(start, "x")
		sent++
	}
	if sent < 4 || sent > 4+roomBeyondSlots {
		t.Errorf("%d requests went to 4 slots", sent)
	}
	if wait, ok := p.PredictWait(start, Requirements{}, limit); !ok || wait < 0 {
		t.Errorf("soonest %v %v", wait, ok)
	}
}

func TestWorkOfOtherEntriesCounts(t *testing.T) {
	p := newPool(engine("x", "a"), engine("y", "a"))
	p.SetPeerLoad("x", 3)
	for range 10 {
		if c, _ := p.Pick(start, Requirements{}, time.Second); c.ID != "y" {
			t.Fatalf("went to %s beside an idle target", c.ID)
		}
	}
}

// A burst of many entries that know the same must not meet at one target.
func TestEntriesSpreadOverEqualTargets(t *testing.T) {
	p := newPool(engine("x", "a"), engine("y", "a"))
	got := map[roster.TargetID]int{}
	for range 200 {
		c, _ := p.Pick(start, Requirements{}, time.Second)
		got[c.ID]++
	}
	if got["x"] < 50 || got["y"] < 50 {
		t.Errorf("spread %v", got)
	}
}

func TestOtherRegionsHelpOnlyUnderLoad(t *testing.T) {
	p := newPool(engine("near", "a"), engine("far", "b"))
	if c, _ := p.Pick(start, Requirements{}, time.Second); c.ID != "near" {
		t.Errorf("idle: %s", c.ID)
	}
	for range 5 {
		p.Sent(start, "near")
	}
	if c, _ := p.Pick(start, Requirements{}, time.Second); c.ID != "far" {
		t.Errorf("loaded: %s", c.ID)
	}
}

func TestRegionsBind(t *testing.T) {
	p := newPool(engine("far", "b"))
	home := Requirements{RegionAllowed: func(r contract.RegionName) bool { return r == "ra" }}
	if c, refusal := p.Pick(start, home, time.Second); refusal != NoTarget {
		t.Errorf("went to %s", c.ID)
	}
}

func TestEvacuatedAndLeavingTargetsGetNothing(t *testing.T) {
	leaving := engine("x", "a")
	leaving.Leaving = true
	p := newPool(leaving, engine("y", "b"))
	p.SetEvacuated(map[contract.ZoneName]bool{"b": true})
	if c, refusal := p.Pick(start, Requirements{}, time.Second); refusal != NoTarget {
		t.Errorf("went to %s", c.ID)
	}
}

func TestOldWeightsBeginNothing(t *testing.T) {
	p := newPool(engine("x", "a"))
	if _, refusal := p.Pick(start, Requirements{MinVersion: 2}, time.Second); refusal != NoTarget {
		t.Error("an older version may begin")
	}
	if _, refusal := p.Pick(start, Requirements{Pinned: 2}, time.Second); refusal != NoTarget {
		t.Error("a stream goes on with other weights")
	}
	if _, refusal := p.Pick(start, Requirements{Pinned: 1}, time.Second); refusal != Placed {
		t.Error("a stream does not go on with its own weights")
	}
}

func TestEnginesWithoutLayersGetNothing(t *testing.T) {
	empty := engine("x", "a")
	empty.Model = &roster.Model{}
	p := newPool(empty)
	if _, refusal := p.Pick(start, Requirements{}, time.Second); refusal != NoTarget {
		t.Error("an empty engine got a request")
	}
}

// No span of a second may bring a target more than the entry's share.
func TestColdShareHoldsInAnySecond(t *testing.T) {
	p := newPool(engine("x", "a"))
	p.SetColdShares(coldShares("entry-0", coldEntries(1), 6))
	var sends []time.Time
	now := start
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		if c, refusal := p.Pick(now, Requirements{}, time.Second); refusal == Placed {
			p.Sent(now, c.ID)
			p.Ended(c.ID)
			sends = append(sends, now)
		}
	}
	for i := 3; i < len(sends); i++ {
		if sends[i].Sub(sends[i-3]) <= time.Second {
			t.Fatalf("4 requests within %v", sends[i].Sub(sends[i-3]))
		}
	}
	if len(sends) < 9 {
		t.Errorf("only %d requests in 4 s", len(sends))
	}
}

func TestSilentTargetIsLeftAndTriedAgain(t *testing.T) {
	p := newPool(engine("x", "a"), engine("y", "b"))
	p.Sent(start, "x")
	p.Failed(start, "x", true)
	p.Ended("x")
	if c, _ := p.Pick(start, Requirements{}, time.Second); c.ID != "y" {
		t.Errorf("went to %s", c.ID)
	}
	later := start.Add(2 * time.Second)
	if c, _ := p.Pick(later, Requirements{}, time.Second); c.ID != "x" {
		t.Errorf("later went to %s", c.ID)
	}
}

func TestLastTargetIsTriedThoughTakenOut(t *testing.T) {
	p := newPool(engine("x", "a"))
	p.Failed(start, "x", true)
	if c, refusal := p.Pick(start, Requirements{}, time.Second); refusal != Placed || c.ID != "x" {
		t.Errorf("refusal %d", refusal)
	}
}

func TestPaceGrowsWithLoad(t *testing.T) {
	pace := NewLatencyModel(models(), 0)
	last := time.Duration(0)
	for load := range 12 {
		first := pace.FirstEventDelay(float64(load))
		if first < last {
			t.Fatalf("load %d: %v after %v", load, first, last)
		}
		last = first
	}
	if idle := pace.FirstEventDelay(0); idle < 60*time.Millisecond || idle > 120*time.Millisecond {
		t.Errorf("idle engine: %v", idle)
	}
}

// An engine comes back empty beside busy ones. All entries know the same, and what
// each sends is known to the others only with their next heartbeats: together they
// must not overfill it meanwhile.
func TestEntriesDoNotMeetAtAnEmptyEngine(t *testing.T) {
	const entries, busy = 9, 3
	total := 0
	for i := range entries {
		p := NewPool(Place{Region: "ra", Zone: "a"}, regions, rand.New(rand.NewPCG(uint64(i), 2)))
		p.SetService(models())
		p.SetMembers([]*roster.Member{engine("empty", "a"), engine("x", "a"), engine("y", "a"), engine("z", "a")})
		p.SetEntryCount(entries)
		for _, id := range []roster.TargetID{"x", "y", "z"} {
			p.SetPeerLoad(id, busy)
		}
		for n := range 3 {
			now := start.Add(time.Duration(n) * 50 * time.Millisecond)
			if c, refusal := p.Pick(now, Requirements{}, time.Second); refusal == Placed {
				p.Sent(now, c.ID)
				if c.ID == "empty" {
					total++
				}
			}
		}
	}
	if total > entries {
		t.Errorf("%d requests went to the empty engine", total)
	}
	if total < entries/2 {
		t.Errorf("only %d requests went to the empty engine", total)
	}
}

// A zone is cut off: its engines and the processes beside them fall silent. Once a
// target has been taken out, no request is spent on trying it until its process is
// heard again.
func TestSilentMachinesAreNotTriedWithRequests(t *testing.T) {
	r := roster.New()
	for _, id := range []string{"cut", "near"} {
		r.Update(start, roster.Target{ID: roster.TargetID(id), Service: "m", Address: id, Zone: "a", Slots: 4,
			Model: &roster.Model{Version: 1, Layers: 16}})
		r.Report(start, id, 0, roster.Status{Version: 1, Ready: true})
	}
	p := newPool(r.Members("m")...)
	p.Sent(start, "cut")
	p.Failed(start, "cut", true)
	p.Ended("cut")
	for at := start; at.Before(start.Add(6 * time.Second)); at = at.Add(200 * time.Millisecond) {
		r.Report(at, "near", 0, roster.Status{Version: 1, Ready: true})
		c, refusal := p.Pick(at, Requirements{}, time.Second)
		silent := at.Sub(start) > 2*time.Second
		if silent && (refusal != Placed || c.ID != "near") {
			t.Fatalf("after %v: %s, refusal %d", at.Sub(start), c.ID, refusal)
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
		t.Error("a target whose process is back is not tried")
	}
}
