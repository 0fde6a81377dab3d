package direct

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/weightcache"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/weights/pieces"
	"mimosastand.example/mimosastand/weights/upgrade"
	"mimosastand.example/mimosastand/zone/roster"
)

// emptyCandidate returns a candidate of which the digests are known and no piece.
func emptyCandidate(t *testing.T, version int64) *candidate {
	t.Helper()
	set, err := pieces.NewSet(pieceDigests(version), stagedPieces)
	if err != nil {
		t.Fatal(err)
	}
	return &candidate{version: weightcache.Version{Model: testModel, Number: version}, set: set}
}

// addPiece adds a piece of a candidate.
func addPiece(t *testing.T, c *candidate, i int) {
	t.Helper()
	if _, err := c.set.Add(i, versionPiece(c.version.Number, i)); err != nil {
		t.Fatal(err)
	}
}

// Guards against a link of a target that two versions share, so that both are late, and against an engine that
// loads a version and is taken out again a moment later for the next one. Versions 2 and 3 are announced 2 s
// apart; of version 2 nothing is here when version 3 begins to arrive.
func TestNewerVersionIsFetchedFirstAndLoadedDirectly(t *testing.T) {
	r := newTargetOf(t, newLoadingEngine(t)).reconciler
	now := time.Now()
	r.target.announced.ApplyPeerAges(r.target.bootClock(), []contract.AnnouncedVersion{
		{Model: testModel, Version: 2, AgeMS: 2000, Witnessed: true}, {Model: testModel, Version: 3, Witnessed: true},
	}, 0)
	r.recordReport(platform.Report{Born: 1, Model: roster.Model{Version: 1, Layers: testLayers}}, true)
	older, newer := emptyCandidate(t, 2), emptyCandidate(t, 3)
	r.candidates = []*candidate{older, newer}
	r.arbitrate(now)
	if !older.transfer.IsWaiting() || newer.transfer.IsWaiting() {
		t.Errorf("both begin: older waits = %v, newer waits = %v, want true, false", older.transfer.IsWaiting(), newer.transfer.IsWaiting())
	}
	now = now.Add(2 * time.Second)
	if r.arbitrate(now); older.transfer.IsWaiting() {
		t.Error("the newer version does not arrive: the older one waits, want it to go on")
	}
	for i := range stagedPieces {
		addPiece(t, older, i)
	}
	for i := range stagedPieces - 1 {
		addPiece(t, newer, i)
		now = now.Add(pollInterval)
		r.arbitrate(now)
	}
	engine := upgrade.EngineState{Now: now, Loaded: 1, BehindSince: now.Add(-4 * time.Second), Bound: 20 * time.Second}
	r.mu.Lock()
	if !r.skipsForNewer(older, engine) {
		t.Error("one piece of the newer version is missing: the older one is loaded, want it skipped")
	}
	engine.Now = now.Add(5 * time.Second)
	if r.skipsForNewer(older, engine) {
		t.Error("the newer version has stopped to arrive: the older one is skipped, want it loaded")
	}
	r.mu.Unlock()
	addPiece(t, newer, stagedPieces-1)
	if got := r.nextCandidate(); got != newer {
		t.Errorf("nextCandidate() = %+v, want version 3", got)
	}
	if r.arbitrate(now); newer.transfer.IsWaiting() {
		t.Error("the newer version waits although it is complete")
	}
}

// Guards against engines that get no requests for longer: a loaded version that is not proved must not wait
// for a newer one, and a deployment whose versions come one at a time must not wait at all.
func TestFetchDoesNotWaitWithoutNeed(t *testing.T) {
	r := newTargetOf(t, newLoadingEngine(t)).reconciler
	now := time.Now()
	r.target.announced.ApplyPeerAges(r.target.bootClock(), []contract.AnnouncedVersion{
		{Model: testModel, Version: 2, AgeMS: 2000, Witnessed: true}, {Model: testModel, Version: 3, Witnessed: true},
	}, 0)
	r.recordReport(platform.Report{Born: 1, Model: roster.Model{Version: 2, Layers: testLayers}}, true)
	if r.loadedVersion() != 2 {
		t.Fatalf("loadedVersion() = %d, want 2", r.loadedVersion())
	}
	loaded, newer, single := emptyCandidate(t, 2), emptyCandidate(t, 3), emptyCandidate(t, 1)
	for name, candidates := range map[string][]*candidate{
		"loaded version and a newer one": {loaded, newer}, "one version, not known to be announced": {single}, "one version": {newer},
	} {
		r.candidates = candidates
		r.arbitrate(now)
		for _, c := range candidates {
			if c.transfer.IsWaiting() {
				t.Errorf("%s: version %s waits, want none to", name, c.version)
			}
		}
	}
}
