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
	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/weights/upgrade"
	"mimosastand.example/mimosastand/zone/placement"
)

const (
	testModel   = "daka"
	testService = contract.ServiceName("models")
)

// newEmptyState returns the state of an entry that has read nothing yet.
func newEmptyState(bounds config.Bounds) *fleetState {
	return newStateWithClock(bounds, time.Now)
}

// newStateWithClock is newEmptyState on a machine with a clock that goes on while the machine is suspended.
func newStateWithClock(bounds config.Bounds, bootClock func() time.Time) *fleetState {
	process := &config.Process{Zone: "a", Region: "r", Fleet: &config.Fleet{SharesSlots: true,
		Zones:  map[contract.ZoneName]contract.RegionName{"a": "r"},
		Bounds: bounds,
	}}
	return newFleetStateWithClock(process, &log.Logger{Handler: discard.Default, Level: log.InfoLevel}, bootClock)
}

// newStartedState returns the state of an entry that found a version of the model in the
// store when it started.
func newStartedState(bound time.Duration, version int) *fleetState {
	fs := newEmptyState(config.Bounds{OldVersionGrace: bound})
	fs.applyOperatorRecords(initialRecords(version))
	return fs
}

// initialRecords returns what an entry finds in the store: a manifest and the newest
// version.
func initialRecords(version int) feed.Update {
	return feed.Update{Records: []contract.Record{
		{Offset: 1, Key: platform.KeyManifest, Value: []byte(
			`{"version":1,"services":[{"name":"models","engine":{"slots":8,"layers":4,"chunks":4,"models":[{"name":"daka"}]}}]}`)},
		{Offset: 2, Key: "version/" + testModel, Value: fmt.Appendf(nil, `{"version":%d}`, version)},
	}}
}

// announcementOf returns what an entry that follows the operators' records reads when a
// version is announced.
func announcementOf(version int) feed.Update {
	return feed.Update{CaughtUpAt: time.Now(), CaughtUpBootAt: time.Now(), Records: []contract.Record{
		{Offset: int64(version) + 1, Key: "version/" + testModel, Value: fmt.Appendf(nil, `{"version":%d}`, version)},
	}}
}

func (fs *fleetState) oldestAllowed() int64 {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.oldestWithin(testService, upgrade.SendMargin)
}

// TestRestartedEntryKeepsVersionBound guards against breaking the bound on older versions
// (VERSION, incident inc1): a restarted entry took version 3, announced seconds before,
// for one announced just then, and sent requests to engines on version 2 past the bound
// while all other entries refused them.
func TestRestartedEntryKeepsVersionBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound, passed = 8 * time.Second, 7 * time.Second
		other := newStartedState(bound, 2)
		other.applyOperatorRecords(announcementOf(3))
		time.Sleep(passed)
		fs := newStartedState(bound, 3)
		fs.applyHeartbeat(contract.Heartbeat{Machine: "entry-2", Zone: "a", Announced: other.versionAges()})
		if got := fs.oldestAllowed(); got != 3 {
			t.Errorf("oldestAllowed() = %d, %v after version 3 was announced, want 3", got, passed)
		}
	})
}

// TestRestartedEntryServesOlderVersionWithinBound guards against needless refusals by an
// entry that starts just after a version was announced, when engines still hold the
// version before.
func TestRestartedEntryServesOlderVersionWithinBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound, stable = 8 * time.Second, 3 * time.Second
		other := newStartedState(bound, 2)
		other.applyOperatorRecords(announcementOf(3))
		fs := newStartedState(bound, 3)
		fs.applyHeartbeat(contract.Heartbeat{Machine: "entry-2", Zone: "a", Announced: other.versionAges()})
		time.Sleep(stable)
		if got := fs.oldestAllowed(); got > 2 {
			t.Errorf("oldestAllowed() = %d, %v after version 3 was announced, want at most 2", got, stable)
		}
	})
}

// TestVersionFoundLongAfterStartCountsAsOld guards against breaking the bound on older
// versions (VERSION) by an entry that first reads the store long after its start: the
// time that it gives peers to report the age of what it finds must not begin with that
// read. When all processes start at once no peer knows the age, and by then the entry
// counts as connected.
func TestVersionFoundLongAfterStartCountsAsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stable = 3 * time.Second
		fs := newEmptyState(config.Bounds{OldVersionGrace: 8 * time.Second})
		time.Sleep(stable)
		fs.applyOperatorRecords(initialRecords(3))
		if got := fs.oldestAllowed(); got != 3 {
			t.Errorf("%v after the start: oldestAllowed() = %d, want 3, since no process knows its age", stable, got)
		}
	})
}

// TestStalledEntryDoesNotDateVersions guards against breaking the bound on older versions
// (VERSION) by a whole fleet: an entry that stood still while a version was announced,
// and while all others were restarted, takes the version for one announced just now. What
// it reports must not replace what the others assume.
func TestStalledEntryDoesNotDateVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound, stable, standstill = 8 * time.Second, 3 * time.Second, 7 * time.Second
		stalled := newStartedState(bound, 2)
		update := announcementOf(3)
		time.Sleep(standstill)
		stalled.applyOperatorRecords(update)
		fs := newStartedState(bound, 3)
		fs.applyHeartbeat(contract.Heartbeat{Machine: "entry-2", Zone: "a", Announced: stalled.versionAges()})
		time.Sleep(stable)
		if got := fs.oldestAllowed(); got != 3 {
			t.Errorf("%v after version 3 was announced: oldestAllowed() = %d, want 3 despite the report of an entry that stood still",
				standstill+stable, got)
		}
	})
}

// TestRestartedEntriesDoNotSpendBurstTwice guards against exceeding the retry budget
// (BUDGET) when all entries are restarted: each took its whole share of the burst once
// more, within the window in which its previous process had spent it.
func TestRestartedEntriesDoNotSpendBurstTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, burst = 6, 106
		window := 10 * time.Second
		spent := 0
		for range 2 {
			for range entries {
				fs := newEmptyState(config.Bounds{RetryRatio: 0.2, RetryBurst: burst, RetryWindow: window})
				fs.applyOperatorRecords(initialRecords(1))
				fs.setEntries(entryNames(entries))
				for fs.takeRetry(testService) {
					spent++
				}
			}
			time.Sleep(time.Second)
		}
		if spent > burst {
			t.Errorf("%d retries within %v without a request, want at most %d", spent, window, burst)
		}
	})
}

// Guards against a retry burst that entries take before they know how many share it: more
// entries than assumed would send more than the fleet's budget (BUDGET).
func TestEntryWithoutMembersHasNoRetryBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := newEmptyState(config.Bounds{RetryWindow: time.Second, RetryBurst: 100})
		fs.applyOperatorRecords(initialRecords(3))
		time.Sleep(2 * time.Second)
		if fs.takeRetry(testService) {
			t.Error("takeRetry() = true while no entry is known, want false")
		}
		fs.setEntries(entryNames(40))
		got := 0
		for fs.takeRetry(testService) {
			got++
		}
		if got == 0 || got > 100/41 {
			t.Errorf("%d retries of one of 40 entries, want 1 to %d", got, 100/41)
		}
	})
}

const (
	coldService = contract.ServiceName("plain")
	// coldBound is how many requests all entries together may send to a cold target in a
	// second.
	coldBound = 12
)

// newColdState returns the state of an entry that knows the entries and one cold target.
func newColdState(self contract.MachineID, entries []contract.MachineID) *fleetState {
	fs := newEmptyState(config.Bounds{ColdFactor: 1, ColdSlack: coldBound - 4})
	fs.process.Machine = self
	fs.applyOperatorRecords(feed.Update{Records: []contract.Record{{Offset: 1, Key: platform.KeyManifest, Value: []byte(
		`{"version":1,"services":[{"name":"plain","cold_per_s":4}]}`)}}})
	fs.setEntries(entries)
	fs.applyTargetRecords(feed.Update{Records: []contract.Record{{Offset: 1, Key: "target-1", Value: []byte(
		`{"service":"plain","address":"10.0.0.1:80","zone":"a","state":"ready","slots":600,"cold_left_ms":600000,"seq_no":1,"born":1}`)}}})
	return fs
}

// sendUntilRefused sends the requests that the entry may send to the cold target now and
// returns their number.
func (fs *fleetState) sendUntilRefused() (n int) {
	for {
		choice, refusal := fs.pickTarget(coldService, placement.Requirements{}, time.Hour)
		if refusal != placement.Placed {
			return n
		}
		fs.recordAttemptEnd(coldService, choice.ID)
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

// TestRestartedEntriesKeepColdTargetBound guards against overloading a cold target
// (FAILBACK) when there are more entries than the requests that it can serve in a second:
// each entry sent one, and another one when it was restarted within that second.
func TestRestartedEntriesKeepColdTargetBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := entryNames(38)
		previous := make([]*fleetState, len(names))
		for i, name := range names {
			previous[i] = newColdState(name, names)
		}
		time.Sleep(2 * time.Second)
		sent := 0
		for _, fs := range previous {
			sent += fs.sendUntilRefused()
		}
		if sent == 0 {
			t.Error("requests to the cold target = 0, want at least 1")
		}
		for _, name := range names {
			sent += newColdState(name, names).sendUntilRefused()
		}
		if sent > coldBound {
			t.Errorf("%d requests to a cold target within a second, want at most %d", sent, coldBound)
		}
	})
}

// Guards against refusals while engines hold an older version only, because the origin was away: what
// may be given up is sent as long as it should begin within the bound, what may run once only is not.
func TestRequestsAreSentAsLongAsTheyShouldBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound, objective = 8 * time.Second, 400 * time.Millisecond
		fs := newStartedState(bound, 2)
		time.Sleep(bound)
		fs.applyOperatorRecords(announcementOf(3))
		announced := time.Now()
		for _, c := range []struct {
			before       time.Duration
			isRepeatable bool
			want         int64
		}{
			{upgrade.SendMargin + time.Millisecond, false, 2},
			{upgrade.SendMargin - time.Millisecond, false, 3},
			{upgrade.SendMargin - time.Millisecond, true, 2},
			{upgrade.BeginMargin + objective + time.Millisecond, true, 2},
			{upgrade.BeginMargin + objective - time.Millisecond, true, 3},
		} {
			time.Sleep(time.Until(announced.Add(bound - c.before)))
			if got := fs.oldestSendable(testService, objective, c.isRepeatable); got != c.want {
				t.Errorf("%v before the bound, repeatable %v: oldestSendable() = %d, want %d", c.before, c.isRepeatable, got, c.want)
			}
		}
		if got := fs.oldestSendable(testService, time.Hour, true); got != 3 {
			t.Errorf("first event due in an hour: oldestSendable() = %d, want 3", got)
		}
	})
}

// Guards against a target that stays ejected for good: a probe that ends without saying anything on its
// target must leave the target due for another one.
func TestProbeThatEndsEarlyIsRepeated(t *testing.T) {
	for name, end := range map[string]func(*attemptPair){
		"stale choice": func(p *attemptPair) {
			p.current.breakage = breakageStaleChoice
			p.call.attemptEnded(p.current, attempts.NotSent)
		},
		"outdated":    func(p *attemptPair) { p.giveUp(breakageOutdated) },
		"caller gone": func(p *attemptPair) { p.current.callerGone = true; p.call.attemptEnded(p.current, attempts.Lost) },
		"panic":       func(p *attemptPair) { p.endAll() },
		"outpaced":    func(p *attemptPair) { p.current.outpaced = true; p.call.attemptEnded(p.current, attempts.Lost) },
	} {
		c, _, _ := newHedgingCall(t, "127.0.0.1:1")
		probes := 0
		c.entry.fleet.withPool(testService, func(now time.Time, p *placement.Pool) {
			longAgo := now.Add(-time.Hour)
			p.Failed(longAgo, "target-0", true)
			p.Sent(now, "target-0")
			probes = p.EjectedCount(now)
		})
		p := &attemptPair{call: c, ctx: t.Context(), current: newExchange(c, placement.Choice{ID: "target-0"}), checks: make(chan struct{}, 1)}
		end(p)
		c.entry.fleet.withPool(testService, func(now time.Time, p *placement.Pool) {
			if n := p.EjectedCount(now); probes != 1 || n != 0 {
				t.Errorf("%s: %d probes under way, and the target ejected after it: %d; want 1 and 0", name, probes, n)
			}
		})
	}
}
