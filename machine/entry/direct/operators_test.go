package direct

import (
	"testing"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
)

// An entry that sends a large manifest to the 37 peers of a zone at once, over its own
// link, has none of them told in time.
func TestAnEntryTellsAFewPeersAtATime(t *testing.T) {
	e := &Entry{
		operators: feed.New(nil, feed.Options{Topic: platform.TopicOperators}),
		targets:   feed.New(nil, feed.Options{Topic: platform.TopicTargets}),
		pulls:     make(chan struct{}, maxPulls),
	}
	pull := contract.RecordsPull{Topic: platform.TopicOperators, After: -1}
	var done func()
	for range maxPulls {
		records, sent, ok := e.recordsFor(pull)
		if !ok || records.Busy {
			t.Fatalf("busy too early: %+v", records)
		}
		done = sent
	}
	if records, _, _ := e.recordsFor(pull); !records.Busy {
		t.Error("a peer more is told")
	}
	if records, _, ok := e.recordsFor(contract.RecordsPull{Topic: platform.TopicTargets}); !ok || records.Busy {
		t.Error("the list of targets waits for manifests")
	}
	done()
	if records, _, _ := e.recordsFor(pull); records.Busy {
		t.Error("still busy after an answer was sent")
	}
	if _, _, ok := e.recordsFor(contract.RecordsPull{Topic: "other"}); ok {
		t.Error("an unknown topic is answered")
	}
}
