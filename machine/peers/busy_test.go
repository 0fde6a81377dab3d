package peers

import (
	"sync/atomic"
	"testing"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/standin/fleet"
)

// A peer that tells others at the moment is asked again: one that could not answer 37
// at once was given up, and the store read instead, over the link between regions.
func TestABusyPeerIsAskedAgain(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	const refusals = 3
	var pulls atomic.Int64
	openEntry(t, store, "entry-2", func(s *link.Stream) {
		records := contract.Records{Topic: platform.TopicOperators, Busy: true}
		if pulls.Add(1) > refusals {
			records = contract.Records{
				Topic:   platform.TopicOperators,
				Records: []contract.Record{{Offset: 5, Key: "config", Value: []byte("large")}},
				Known:   true,
				Newest:  5,
			}
		}
		_ = s.Send(contract.Message{Kind: contract.KindRecords, Records: &records})
	})
	asking := openEntry(t, store, "entry-1", func(*link.Stream) {})
	news := catchUp(t, asking, "entry-2", "entry-2", 5)
	if key := <-news; key != "config" {
		t.Errorf("told %s", key)
	}
	if n := pulls.Load(); n != refusals+1 {
		t.Errorf("asked %d times, want %d", n, refusals+1)
	}
}
