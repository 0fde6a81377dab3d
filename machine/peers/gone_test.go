package peers

import (
	"testing"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/standin/fleet"
)

// An entry that the store turned away asked only the peer that had told first of the
// newest manifest; when that did not answer it kept an older one, though all others
// had the newest.
func TestAnotherPeerIsAskedWhenTheFirstThatToldIsGone(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	openEntry(t, store, "entry-2", func(s *link.Stream) {
		_ = s.Send(contract.Message{Kind: contract.KindRecords, Records: &contract.Records{
			Topic:   platform.TopicOperators,
			Records: []contract.Record{{Offset: 5, Key: "config", Value: []byte("newest")}},
			Known:   true,
		}})
	})
	asking := openEntry(t, store, "entry-1", func(*link.Stream) {})
	news := catchUp(t, asking, "entry-2", "entry-3", 5)
	if key := <-news; key != "config" {
		t.Errorf("told %s", key)
	}
}
