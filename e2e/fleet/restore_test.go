package fleet

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// restoreAge is how old the copy is from which the store comes back.
const restoreAge = 2 * time.Second

// Guards against missing what operators wrote after the store came back from an older copy:
// by the time at which the entry asks again, the offsets have passed its old position.
func TestEntryReadsWhatWasWrittenBeforeItsOldPosition(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e, _ := r.startEntry("entry-1", r.store.Address())
	time.Sleep(restoreAge)
	for i := range 20 {
		r.store.Evacuate(fmt.Sprint("zone-", i), true)
	}
	time.Sleep(time.Second)
	r.store.SetDown(true)
	r.store.Restore(restoreAge)
	r.apiKeys = []string{"key-2"}
	r.writeManifest()
	for i := range 60 {
		r.store.Evacuate(fmt.Sprint("zone-", i), true)
	}
	r.store.SetDown(false)
	r.eventuallyStatus(e, "the key that was revoked after the return is refused", http.StatusUnauthorized)
}

// Guards against going back to what the older copy has: an evacuation and a revoked key that
// the entry has acted on, and that the store lost, stay in force until they are written
// again, and after.
func TestLostOperatorRecordsStayInForce(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e, _ := r.startEntry("entry-1", r.store.Address())
	time.Sleep(restoreAge)
	r.apiKeys = []string{apiKey, "key-2"}
	r.writeManifest()
	r.store.Evacuate("a", true)
	r.eventuallyStatus(e, "the zone is evacuated", http.StatusServiceUnavailable)
	r.apiKeys = []string{"key-2"}
	r.writeManifest()
	r.eventuallyStatus(e, "the key is refused", http.StatusUnauthorized)
	r.store.SetDown(true)
	r.store.Restore(restoreAge)
	r.store.SetDown(false)
	withNewKey := func(h http.Header) { h.Set("Authorization", "Bearer key-2") }
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if got := r.call(e, http.MethodGet, "/look/x", "", nil); got.status != http.StatusUnauthorized {
			t.Fatalf("call with the revoked key = %+v, want status 401", got)
		}
		if got := r.call(e, http.MethodGet, "/look/x", "", withNewKey); got.status != http.StatusServiceUnavailable {
			t.Fatalf("call to the evacuated zone = %+v, want status 503", got)
		}
	}
}

// Guards against processes that nobody can find: the store lost the records by which peers
// link to them, and the pieces of weights that only entries hold then.
func TestLostMembersAndPiecesAreWrittenAgain(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	time.Sleep(restoreAge)
	start := time.Now()
	r.startEntry("entry-1", r.store.Address())
	r.startTarget("target-1", r.engines[0])
	r.startTarget("target-2", r.engines[1])
	r.store.AnnounceVersion(2)
	r.eventually("both engines have version 2", func() bool {
		return r.engines[0].Version() == 2 && r.engines[1].Version() == 2
	})
	r.eventually("the store has version 2", func() bool { return r.store.StoredPieces(2) == pieceCount })
	r.store.SetDown(true)
	r.store.Restore(time.Since(start))
	if at := r.store.MemberWrittenAt("entry-1"); !at.IsZero() || r.store.StoredPieces(2) > 0 {
		t.Fatalf("the older copy has a member written at %v and %d pieces, want none", at, r.store.StoredPieces(2))
	}
	r.store.SetDown(false)
	for _, machine := range []string{"entry-1", "target-1", "target-2"} {
		r.eventually(machine+" has published itself again", func() bool { return !r.store.MemberWrittenAt(machine).IsZero() })
	}
	r.eventually("the store has version 2 again", func() bool { return r.store.StoredPieces(2) == pieceCount })
}

// Guards against a process that cannot reach the store while it comes back from an older
// copy: it learns of what was written since from a peer.
func TestEntryWithoutStoreLearnsNewEraFromPeer(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	accessPoint := r.store.NewAccessPoint()
	t.Cleanup(accessPoint.Close)
	r.startEntry("entry-1", r.store.Address())
	isolated, _ := r.startEntry("entry-2", accessPoint.Address())
	// The entries are linked once each has read the other's record.
	time.Sleep(restoreAge)
	for i := range 20 {
		r.store.Evacuate(fmt.Sprint("zone-", i), true)
	}
	time.Sleep(time.Second)
	accessPoint.SetDown(true)
	r.store.Restore(time.Second)
	r.apiKeys = []string{"key-2"}
	r.writeManifest()
	r.eventually("the key is refused", func() bool {
		return r.call(isolated, http.MethodGet, "/look/x", "", nil).status == http.StatusUnauthorized
	})
}
