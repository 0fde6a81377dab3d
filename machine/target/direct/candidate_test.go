package direct

import (
	"context"
	"testing"
)

// Guards against an order on pieces of two versions (WHOLE, inc2): the pieces of a version counted as
// staged although the staging of another one had replaced some of them before it stopped.
func TestPiecesThatWereReplacedInPartAreNotStaged(t *testing.T) {
	e := newLoadingEngine(t)
	target := newTargetOf(t, e)
	announce(t, target, 2)
	announce(t, target, 3)
	r := target.reconciler
	r.pollEngine(t.Context())
	older, newer := r.candidates[0], r.candidates[1]
	r.stagePieces(t.Context(), older)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	e.onPut = func(n, _ int) {
		if n == stagedPieces+stagedPieces/2 {
			cancel()
		}
	}
	r.stagePieces(ctx, newer)
	for _, c := range []*candidate{older, newer} {
		if at := r.staged.stagedAt(c, r.lastReport().Born); !at.IsZero() {
			t.Errorf("version %d counts as staged at %v, want not staged", c.version.Number, at)
		}
	}
	e.onPut = nil
	r.stagePieces(t.Context(), older)
	for i := range stagedPieces {
		data, err := r.engine.StagedPiece(t.Context(), testModel, i)
		if err != nil || older.set.Verify(i, data) != nil {
			t.Errorf("piece %d after version 2 is staged again is %q, error %v", i, data, err)
		}
	}
}

// Guards against an order on pieces of two versions (WHOLE, inc2): a version that was staged still counted
// as staged after a piece of the loaded version had been repaired in the same staging area.
func TestPiecesThatARepairReplacedAreNotStaged(t *testing.T) {
	e := newLoadingEngine(t)
	target := newTargetOf(t, e)
	announce(t, target, 2)
	announce(t, target, 3)
	r := target.reconciler
	r.pollEngine(t.Context())
	loaded, next := r.candidates[0], r.candidates[1]
	r.stagePieces(t.Context(), next)
	if err := r.verifyStaged(t.Context(), loaded, 0); err != nil {
		t.Fatal(err)
	}
	r.mu.Lock()
	at := r.staged.stagedAt(next, r.report.Born)
	r.mu.Unlock()
	if !at.IsZero() {
		t.Errorf("version 3 counts as staged at %v although piece 0 is that of version 2", at)
	}
}

// Guards against engines that get no requests until the newest version has come: the version that they have
// loaded was dropped for newer ones before it was proved, or the process that proves it began later.
func TestLoadedVersionIsProvedAlthoughNewerOnesAreAnnounced(t *testing.T) {
	for name, isKnown := range map[string]bool{"its pieces are held": true, "the process is new": false} {
		t.Run(name, func(t *testing.T) {
			e := newLoadingEngine(t)
			target := newLinkedTargetOf(t, e, &piecesServer{digests: pieceDigests(2)})
			target.reconciler.reconcile(t.Context())
			if isKnown {
				announce(t, target, 2)
			}
			e.loadSound(2)
			target.reconciler.pollEngine(t.Context())
			for version := range int64(maxCandidates) {
				announceVersion(target, 3+version)
				v, origin, _ := target.desiredVersion()
				target.reconciler.updateCandidates(t.Context(), v, origin)
			}
			reconcileUntil(t, target, e, 2)
		})
	}
}
