package direct

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/machine/peers"
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

// Guards against all entries of a large zone reading a large manifest from the store at the same
// time, at their start or when those that wait at the store do not deliver it, and against entries
// that never do. Without peers the last of 44 reads it 2 s after its start.
func TestEntriesTakeTurnsToReadLargeManifests(t *testing.T) {
	const zone, lastStart = 44, 2 * time.Second
	reading := map[time.Duration]int{}
	for place := range zone {
		delay := time.Duration(startTurn(place)) * startTurnInterval
		reading[delay]++
		if delay > lastStart {
			t.Errorf("entry %d reads %v after its start, want %v at most", place, delay, lastStart)
		}
	}
	if reading[0] != operatorReadersPerZone || reading[startTurnInterval] != 2 || reading[2*startTurnInterval] != 4 {
		t.Errorf("entries that read by the time since their start = %v, want 2 at once, then 2, 4, 8 and so on", reading)
	}
	for rank := range zone {
		if got := followerGracePeriod(rank, peers.LargeTopicBytes-1); got != operatorsFollowerGracePeriod {
			t.Errorf("grace period of entry %d for small manifests = %v, want %v", rank, got, operatorsFollowerGracePeriod)
		}
	}
	first, next := followerGracePeriod(operatorReadersPerZone, peers.LargeTopicBytes), followerGracePeriod(4, peers.LargeTopicBytes)
	if first != operatorsFollowerGracePeriod || next <= first {
		t.Errorf("grace periods of the ranks 2 and 4 = %v, %v, want %v and more", first, next, operatorsFollowerGracePeriod)
	}
}
