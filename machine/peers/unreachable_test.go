package peers

import (
	"testing"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/standin/fleet"
)

// Guards against depending on one peer: an entry refused by the store pulled only from
// the peer that had first reported the newest manifest, and when that did not answer, it
// kept an older manifest although all other peers had the newest.
func TestCatchupPullsFromAnotherPeerWhenReporterIsUnreachable(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	startEntry(t, store, "entry-2", func(s *link.Stream) {
		_ = s.Send(contract.Message{Kind: contract.KindRecords, Records: &contract.Records{
			Topic:   platform.TopicOperators,
			Records: []contract.Record{{Offset: 5, Key: "config", Value: []byte("newest")}},
			Synced:  true,
		}})
	})
	puller := startEntry(t, store, "entry-1", func(*link.Stream) {})
	changedKeys := startCatchup(t, puller, "entry-2", "entry-3", 5)
	if key := <-changedKeys; key != "config" {
		t.Errorf("changed key = %q, want \"config\"", key)
	}
}
