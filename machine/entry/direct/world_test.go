package direct

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/placement"
)

const (
	testModel   = "daka"
	testService = contract.ServiceName("models")
)

// emptyWorld is the world of an entry that has read nothing yet.
func emptyWorld(bounds config.Bounds) *world {
	process := &config.Process{Zone: "a", Region: "r", Fleet: &config.Fleet{
		Zones:  map[contract.ZoneName]contract.RegionName{"a": "r"},
		Bounds: bounds,
	}}
	return newWorld(process, &log.Logger{Handler: discard.Default, Level: log.InfoLevel})
}

// startedWorld is the world of an entry that found a version of the model in the store
// when it started.
func startedWorld(bound time.Duration, version int) *world {
	w := emptyWorld(config.Bounds{Version: bound})
	w.operatorsChanged(found(version))
	return w
}

// found is what an entry finds in the store: a manifest and the newest version.
func found(version int) feed.Update {
	return feed.Update{Records: []contract.Record{
		{Offset: 1, Key: platform.KeyManifest, Value: []byte(
			`{"version":1,"services":[{"name":"models","engine":{"slots":8,"layers":4,"chunks":4,"models":[{"name":"daka"}]}}]}`)},
		{Offset: 2, Key: "version/" + testModel, Value: fmt.Appendf(nil, `{"version":%d}`, version)},
	}}
}

// named is what an entry reads that follows what operators write, when they name a version.
func named(version int) feed.Update {
	return feed.Update{Since: time.Now(), Records: []contract.Record{
		{Offset: int64(version) + 1, Key: "version/" + testModel, Value: fmt.Appendf(nil, `{"version":%d}`, version)},
	}}
}

func (w *world) oldest() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.minVersion(testService)
}

// Guards against VERSION broken on lantern-allow (incident inc1): an entry that started
// again took version 3, named seconds before, for one named just then, and sent requests
// to engines on version 2 past the bound while all other entries refused.
func TestAnEntryThatStartsAgainKeepsTheBoundOfVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound, passed = 8 * time.Second, 7 * time.Second
		other := startedWorld(bound, 2)
		other.operatorsChanged(named(3))
		time.Sleep(passed)
		w := startedWorld(bound, 3)
		w.beat(contract.Heartbeat{Machine: "entry-2", Zone: "a", Named: other.versionAges()})
		if got := w.oldest(); got != 3 {
			t.Errorf("version %d may begin %v after version 3 was named", got, passed)
		}
	})
}

// Guards against needless refusals by an entry that starts just after a version was named:
// engines still hold the one before.
func TestAnEntryThatStartsAgainServesTheOlderVersionMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound, stable = 8 * time.Second, 3 * time.Second
		other := startedWorld(bound, 2)
		other.operatorsChanged(named(3))
		w := startedWorld(bound, 3)
		w.beat(contract.Heartbeat{Machine: "entry-2", Zone: "a", Named: other.versionAges()})
		time.Sleep(stable)
		if got := w.oldest(); got > 2 {
			t.Errorf("only version %d may begin %v after version 3 was named", got, stable)
		}
	})
}

// Guards against VERSION by an entry that first reads the store long after its start: the
// time that it gives peers to date what it finds must not begin with the reading. When all
// processes start at once nobody dates it, and by then the entry counts as in touch.
func TestAVersionFoundLongAfterTheStartCountsAsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stable = 3 * time.Second
		w := emptyWorld(config.Bounds{Version: 8 * time.Second})
		time.Sleep(stable)
		w.operatorsChanged(found(3))
		if got := w.oldest(); got != 3 {
			t.Errorf("%v after the start version %d may begin although nobody knows the age of version 3", stable, got)
		}
	})
}

// Guards against VERSION by a whole fleet: an entry that stood still while a version was
// named, and while all others started again, takes it for one named just now; its word must
// not replace what the others assume.
func TestAnEntryThatStoodStillDoesNotDateVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound, stable, still = 8 * time.Second, 3 * time.Second, 7 * time.Second
		late := startedWorld(bound, 2)
		news := named(3)
		time.Sleep(still)
		late.operatorsChanged(news)
		w := startedWorld(bound, 3)
		w.beat(contract.Heartbeat{Machine: "entry-2", Zone: "a", Named: late.versionAges()})
		time.Sleep(stable)
		if got := w.oldest(); got != 3 {
			t.Errorf("%v after version 3 was named version %d may begin, by the word of an entry that stood still",
				still+stable, got)
		}
	})
}

// Guards against BUDGET when all entries start again: each took its whole share of the
// burst once more, within the window in which its former run had spent it.
func TestEntriesThatStartAgainDoNotSpendTheBurstTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, burst = 6, 106
		window := 10 * time.Second
		spent := 0
		for range 2 {
			for range entries {
				w := emptyWorld(config.Bounds{RetryRatio: 0.2, RetryBurst: burst, RetryWindow: window})
				w.operatorsChanged(found(1))
				w.setEntries(entryNames(entries))
				for w.mayRetry(testService) {
					spent++
				}
			}
			time.Sleep(time.Second)
		}
		if spent > burst {
			t.Errorf("%d retries within %v without a request, the bound is %d", spent, window, burst)
		}
	})
}

const (
	coldService = contract.ServiceName("plain")
	// coldBound is what all entries together may send to a cold target in a second.
	coldBound = 12
)

// coldWorld is the world of an entry that knows the entries and one cold target.
func coldWorld(self contract.MachineID, entries []contract.MachineID) *world {
	w := emptyWorld(config.Bounds{ColdFactor: 1, ColdSlack: coldBound - 4})
	w.process.Machine = self
	w.operatorsChanged(feed.Update{Records: []contract.Record{{Offset: 1, Key: platform.KeyManifest, Value: []byte(
		`{"version":1,"services":[{"name":"plain","cold_per_s":4}]}`)}}})
	w.setEntries(entries)
	w.targetsChanged(feed.Update{Records: []contract.Record{{Offset: 1, Key: "target-1", Value: []byte(
		`{"service":"plain","address":"10.0.0.1:80","zone":"a","state":"ready","slots":600,"cold_left_ms":600000,"seq_no":1,"born":1}`)}}})
	return w
}

// sendAll sends what the entry may send to the cold target now.
func (w *world) sendAll() (n int) {
	for {
		choice, refusal := w.pick(coldService, placement.Requirements{}, time.Hour)
		if refusal != placement.Placed {
			return n
		}
		w.sent(coldService, choice.ID)
		w.ended(coldService, choice.ID)
		n++
	}
}

func entryNames(n int) []contract.MachineID {
	names := make([]contract.MachineID, n)
	for i := range names {
		names[i] = contract.MachineID(fmt.Sprintf("entry-%d", i))
	}
	return names
}

// Guards against FAILBACK with more entries than a cold target bears requests in a second:
// each sent one, and again when it had started again within that second.
func TestEntriesThatStartAgainHoldTheBoundOfAColdTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := entryNames(38)
		former := make([]*world, len(names))
		for i, name := range names {
			former[i] = coldWorld(name, names)
		}
		time.Sleep(2 * time.Second)
		sent := 0
		for _, w := range former {
			sent += w.sendAll()
		}
		if sent == 0 {
			t.Error("nobody sends to the cold target")
		}
		for _, name := range names {
			sent += coldWorld(name, names).sendAll()
		}
		if sent > coldBound {
			t.Errorf("%d requests to a cold target within a second, the bound is %d", sent, coldBound)
		}
	})
}
