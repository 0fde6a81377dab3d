package direct

import (
	"testing"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
)

// TestTransfersToPeersAreLimited guards against sending a large manifest to all 37 peers
// of a zone at once: the transfers share the link of the entry, and none ends in time.
func TestTransfersToPeersAreLimited(t *testing.T) {
	e := &Entry{
		operatorsFeed: feed.New(nil, feed.Options{Topic: platform.TopicOperators}),
		targetsFeed:   feed.New(nil, feed.Options{Topic: platform.TopicTargets}),
		transferSlots: make(chan struct{}, maxTransfers),
	}
	pull := contract.RecordsPull{Topic: platform.TopicOperators, After: -1}
	var lastDone func()
	for range maxTransfers {
		records, done, ok := e.recordsAfter(pull)
		if !ok || records.Busy {
			t.Fatalf("recordsAfter() with a free transfer slot = %+v, want ok and Busy = false", records)
		}
		lastDone = done
	}
	if records, _, _ := e.recordsAfter(pull); !records.Busy {
		t.Error("recordsAfter() without a free transfer slot: Busy = false, want true")
	}
	if records, _, ok := e.recordsAfter(contract.RecordsPull{Topic: platform.TopicTargets}); !ok || records.Busy {
		t.Error("recordsAfter() of the target list without a free transfer slot: Busy or not ok, want ok and Busy = false")
	}
	lastDone()
	if records, _, _ := e.recordsAfter(pull); records.Busy {
		t.Error("recordsAfter() after a transfer ended: Busy = true, want false")
	}
	if _, _, ok := e.recordsAfter(contract.RecordsPull{Topic: "other"}); ok {
		t.Error("recordsAfter() of an unknown topic: ok = true, want false")
	}
}
