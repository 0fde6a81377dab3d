package direct

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/roster"
)

const (
	testStableWindow = 3 * time.Second
	lapsingTarget    = "target-1"
)

// newLapsingEntry returns an entry that knows lapsingTarget, and whose store then goes away.
func newLapsingEntry() *Entry {
	e := &Entry{
		fleet:       newEmptyState(config.Bounds{StableWindow: testStableWindow}),
		targetsFeed: feed.New(nil, feed.Options{Topic: platform.TopicTargets}),
	}
	e.fleet.applyTargetRecords(targetUpdate(time.Time{}, 1, "ready"))
	e.setStoreState(feed.StoreState{})
	return e
}

// targetUpdate is what an entry reads that caught up with the target list at a time: lapsingTarget is in a
// state, or removed if that is empty.
func targetUpdate(caughtUpAt time.Time, offset int64, state string) feed.Update {
	r := contract.Record{Key: lapsingTarget, Offset: offset}
	if state != "" {
		r.Value = fmt.Appendf(nil, `{"service":"models","address":"10.0.0.1:80","zone":"a","slots":8,"state":%q,"seq_no":%d}`, state, offset)
	}
	return feed.Update{CaughtUpAt: caughtUpAt, Records: []contract.Record{r}}
}

func (e *Entry) knowsLapsingTarget() bool {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.fleet.roster.Member(roster.TargetID(lapsingTarget)) != nil
}

// Guards against requests to a target that left while the entry was cut off from the store (DRAIN): the
// entry counted the two seconds for which a lapsed listing is retained from when it found the store
// again, up to 1.7 s after its return, and was in touch again before they were over.
func TestTargetThatLeftInOutageIsDroppedWithinStableWindow(t *testing.T) {
	for _, foundAfter := range []time.Duration{0, 500 * time.Millisecond, time.Second, 1700 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			e := newLapsingEntry()
			time.Sleep(5 * time.Second)
			awayAt := time.Now()
			time.Sleep(foundAfter)
			e.setStoreState(feed.StoreState{Up: true, AwayAt: awayAt})
			e.fleet.applyTargetRecords(targetUpdate(time.Time{}, 2, ""))
			if !e.knowsLapsingTarget() {
				t.Errorf("found after %v: the target is dropped at once, want it retained: its listing may have lapsed", foundAfter)
			}
			time.Sleep(time.Until(awayAt.Add(testStableWindow - lapseMargin)))
			synctest.Wait()
			if e.knowsLapsingTarget() {
				t.Errorf("found after %v: the target is known at the end of the stable window, want it dropped", foundAfter)
			}
		})
	}
}

// Guards against refusals after an outage: targets whose listings lapsed are back within two seconds of
// the store's return.
func TestTargetIsRetainedUntilListingsAreBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newLapsingEntry()
		time.Sleep(5 * time.Second)
		e.setStoreState(feed.StoreState{Up: true, AwayAt: time.Now().Add(-200 * time.Millisecond)})
		e.fleet.applyTargetRecords(targetUpdate(time.Time{}, 2, ""))
		time.Sleep(2*time.Second - time.Millisecond)
		if !e.knowsLapsingTarget() {
			t.Error("the target is dropped within two seconds of the store's return, want it retained")
		}
	})
}

// Guards against requests to a target that leaves after an outage (DRAIN): its listing was written again
// after the store's return, so it did not lapse in the outage.
func TestTargetThatLeavesAfterOutageIsDroppedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newLapsingEntry()
		time.Sleep(5 * time.Second)
		e.setStoreState(feed.StoreState{Up: true, AwayAt: time.Now().Add(-100 * time.Millisecond)})
		caughtUpAt := time.Now()
		time.Sleep(500 * time.Millisecond)
		e.fleet.applyTargetRecords(targetUpdate(caughtUpAt, 2, "ready"))
		e.fleet.applyTargetRecords(targetUpdate(time.Now(), 3, ""))
		if e.knowsLapsingTarget() {
			t.Error("the target is retained, want it dropped: it was listed after the store's return")
		}
	})
}
