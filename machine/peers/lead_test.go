package peers

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
)

// Manifests that came faster than an entry waits for the store put off its catching up
// for as long as they came.
func TestNewsDoNotPutOffCatchingUp(t *testing.T) {
	start := time.Now()
	l := newLead()
	const head, gap = 400 * time.Millisecond, 350 * time.Millisecond
	for i := range 3 {
		l.tell(start.Add(time.Duration(i)*gap), "entry-1", int64(i), -1)
	}
	if !l.ahead(-1) || !l.ripe(start.Add(2*gap), head) {
		t.Errorf("not ripe %v after the process fell behind: %+v", 2*gap, l)
	}
	if l.tell(start.Add(time.Minute), "entry-1", 3, 2); l.ripe(start.Add(time.Minute), head) {
		t.Error("ripe at once after the process had caught up")
	}
}

// All that lag asked the one peer that had told first, and its link was full.
func TestAllPeersThatAreAheadAreAsked(t *testing.T) {
	l := newLead()
	for _, id := range []contract.MachineID{"entry-1", "entry-2", "entry-3"} {
		l.tell(time.Now(), id, 7, -1)
	}
	asked := map[contract.MachineID]bool{}
	for range 200 {
		asked[l.any()] = true
	}
	if len(asked) != 3 {
		t.Errorf("asked %v", asked)
	}
	l.drop("entry-2")
	l.drop("entry-1")
	if !l.ahead(-1) || l.any() != "entry-3" {
		t.Errorf("left %+v", l)
	}
	if l.drop("entry-3"); l.ahead(-1) {
		t.Errorf("ahead with nobody left: %+v", l)
	}
}

// Entries fetched a large manifest from another region, over a narrow link, although
// their neighbours had it or were about to.
func TestNeighboursAreAskedBeforePeersOfOtherZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := feed.New(nil, feed.Options{
			Topic:    platform.TopicOperators,
			OnChange: func(feed.Update) {},
			Log:      &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
		})
		c := NewCatchup(nil, f, platform.TopicOperators, farHead/3)
		c.ObserveRemotePeerOffset("far", 4)
		time.Sleep(farHead / 2)
		if id, ok := c.behind(time.Now()); ok {
			t.Errorf("%s asked while neighbours may tell", id)
		}
		c.ObservePeerOffset("near", 4)
		time.Sleep(farHead / 3)
		if id, ok := c.behind(time.Now()); !ok || id != "near" {
			t.Errorf("asked %q %v, want the neighbour", id, ok)
		}
		c.drop("near")
		time.Sleep(farHead)
		if id, ok := c.behind(time.Now()); !ok || id != "far" {
			t.Errorf("asked %q %v, want the peer elsewhere", id, ok)
		}
	})
}
