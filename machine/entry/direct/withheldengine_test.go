package direct

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/zone/roster"
)

// statusExpiry is longer than a report of an engine counts.
const statusExpiry = 4 * time.Second

// list applies the entry of the target list by which an engine holds a version, none if it is 0.
func (fs *fleetState) list(offset int64, version int) {
	layers := `null`
	if version > 0 {
		layers = fmt.Sprintf(`{"from":0,"to":4,"version":%d}`, version)
	}
	record := listingWith(`[]`, layers)
	record.Offset = offset
	fs.applyTargetRecords(feed.Update{Records: []contract.Record{record}})
}

// Guards against answers from weights that are not known to be sound (WHOLE, inc2): an entry without a
// current report of an engine went by the target list, which shows only what the engine has loaded.
func TestListedWeightsThatWereNotReportedGetNoRequests(t *testing.T) {
	relayed := func(version int64, changing bool) contract.Heartbeat {
		return contract.Heartbeat{Machine: "entry-2", TargetReports: []contract.TargetReport{{
			Target: uint64(roster.ReportKeyOf("x:1", 1)), Version: version, Ready: true, Changing: changing}}}
	}
	for name, c := range map[string]struct {
		play func(fs *fleetState)
		want bool
	}{
		"held when the entry started": {func(fs *fleetState) { fs.list(1, 3) }, true},
		"reported long ago": {func(fs *fleetState) {
			fs.list(1, 3)
			fs.applyHeartbeat(relayed(3, false))
			time.Sleep(statusExpiry)
		}, true},
		"reported before it was listed": {func(fs *fleetState) {
			fs.list(1, 2)
			fs.applyHeartbeat(relayed(3, false))
			time.Sleep(statusExpiry)
			fs.list(2, 3)
		}, true},
		"loaded, never reported": {func(fs *fleetState) {
			fs.list(1, 2)
			fs.list(2, 3)
		}, false},
		"an earlier version was reported": {func(fs *fleetState) {
			fs.list(1, 2)
			fs.applyHeartbeat(relayed(2, false))
			time.Sleep(statusExpiry)
			fs.list(2, 3)
		}, false},
		"given up and loaded again": {func(fs *fleetState) {
			fs.list(1, 3)
			fs.applyHeartbeat(relayed(3, false))
			time.Sleep(statusExpiry)
			fs.list(2, 0)
			fs.list(3, 3)
		}, false},
		"its process died before the proof": {func(fs *fleetState) {
			fs.list(1, 3)
			fs.applyHeartbeat(contract.Heartbeat{Machine: "target-1", Engine: &contract.EngineStatus{
				Address: "x:1", Born: 1, Up: true, Version: 3, Changing: true}})
			time.Sleep(statusExpiry)
		}, false},
		"reported as sound in the end": {func(fs *fleetState) {
			fs.list(1, 2)
			fs.applyHeartbeat(relayed(2, true))
			time.Sleep(time.Second)
			fs.list(2, 3)
			fs.applyHeartbeat(relayed(3, false))
			time.Sleep(statusExpiry)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fs := newStartedState(time.Hour, 3)
				c.play(fs)
				if got := fs.isPlaced(); got != c.want {
					t.Errorf("a request is sent = %v, want %v", got, c.want)
				}
			})
		})
	}
}

// Guards against answers from weights that are not known to be sound (WHOLE, inc2): an entry of another
// region that has just started knew nothing of the engines that get no requests.
func TestStartedEntryOfAnotherRegionLearnsOfWithheldEngines(t *testing.T) {
	near, far := newStartedState(time.Hour, 3), newStartedState(time.Hour, 3)
	near.list(1, 3)
	far.list(1, 3)
	engine := contract.EngineStatus{Address: "x:1", Born: 1, Up: true, Version: 3, Changing: true, HasLoad: true}
	near.applyHeartbeat(contract.Heartbeat{Machine: "target-1", Engine: &engine})
	far.applyHeartbeat(contract.Heartbeat{Machine: "entry-1", TargetReports: near.reportsFor("another region")})
	if far.isPlaced() {
		t.Error("a request is sent to an engine that gets none, want that it is not")
	}
}

// Guards against requests to an engine that gets none (WHOLE, inc2): an older report on it that came by a
// longer way counted as the newer one.
func TestOlderRelayedReportDoesNotPutEngineToUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, other := newStartedState(time.Hour, 3), newStartedState(time.Hour, 3)
		near.list(1, 3)
		engine := contract.EngineStatus{Address: "x:1", Born: 1, Up: true, Version: 3, Number: 1}
		other.list(1, 3)
		other.applyHeartbeat(contract.Heartbeat{Machine: "target-1", Engine: &engine})
		sent := contract.Heartbeat{Machine: "entry-2", TargetReports: other.reportsFor("r")}
		time.Sleep(100 * time.Millisecond)
		engine.Changing, engine.Number = true, 2
		near.applyHeartbeat(contract.Heartbeat{Machine: "target-1", Engine: &engine})
		time.Sleep(200 * time.Millisecond)
		near.applyHeartbeat(sent)
		if near.isPlaced() {
			t.Error("a request is sent to an engine that gets none, want that it is not")
		}
	})
}
