package placement

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/zone/roster"
)

// Guards against engines that turn requests away in a fleet whose entries do not know what all
// others have in flight: an engine that reports itself full gets no request, and one that
// reports room does.
func TestReportedLoadCountsWithoutFlightsOfAllEntries(t *testing.T) {
	full, free := engineMember("full", "a"), engineMember("free", "a")
	r := roster.New(0)
	for _, m := range []*roster.Member{full, free} {
		r.Update(start, m.Target, time.Time{})
	}
	slots := NewLatencyModel(modelService(), 0).slots
	r.Report(start, full.Address, full.Born, roster.Status{Version: 1, Ready: true, Load: slots + maxWaiting, HasLoad: true})
	r.Report(start, free.Address, free.Born, roster.Status{Version: 1, Ready: true, Load: 1, HasLoad: true})
	p := newPool(r.Members(full.Service)...)
	now := start.Add(500 * time.Millisecond)
	for range 10 {
		c, outcome := p.Pick(now, Requirements{}, time.Second)
		if outcome != Placed || c.ID != "free" {
			t.Fatalf("Pick() = %v, %v, want the target that reports room", c.ID, outcome)
		}
	}
	p.SetFlightsComplete(true)
	p.SetPeerLoad("free", float64(slots+maxWaiting))
	if c, outcome := p.Pick(now, Requirements{}, time.Second); outcome != Placed || c.ID != "full" {
		t.Errorf("Pick() = %v, %v with the flights of all entries known, want the target with none", c.ID, outcome)
	}
}
