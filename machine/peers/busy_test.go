package peers

import (
	"sync/atomic"
	"testing"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/standin/fleet"
)

// Guards against giving up a busy peer: one that could not serve 37 pulls at once was
// given up, and the store was read instead, over the link between regions.
func TestCatchupRetriesBusyPeer(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	const busyReplies = 3
	var pulls atomic.Int64
	startEntry(t, store, "entry-2", func(s *link.Stream) {
		records := contract.Records{Topic: platform.TopicOperators, Busy: true}
		if pulls.Add(1) > busyReplies {
			records = contract.Records{
				Topic:   platform.TopicOperators,
				Records: []contract.Record{{Offset: 5, Key: "config", Value: []byte("large")}},
				Synced:  true,
				Newest:  5,
			}
		}
		_ = s.Send(contract.Message{Kind: contract.KindRecords, Records: &records})
	})
	puller := startEntry(t, store, "entry-1", func(*link.Stream) {})
	changedKeys := startCatchup(t, puller, "entry-2", "entry-2", 5)
	if key := <-changedKeys; key != "config" {
		t.Errorf("changed key = %q, want \"config\"", key)
	}
	if n := pulls.Load(); n != busyReplies+1 {
		t.Errorf("pulls = %d, want %d", n, busyReplies+1)
	}
}
