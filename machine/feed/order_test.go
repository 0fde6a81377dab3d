package feed

import (
	"slices"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Guards against an older record that stays in force at a process although its feed holds the newer one: one
// came from the store and the other from a peer, and the older one was handed on last. The process would refuse
// a peer that has restarted, or send requests to a target that leaves, until the record changes again.
func TestChangesAreHandedOnInTheirOrder(t *testing.T) {
	const standstill = 100 * time.Millisecond
	olderRead, handedOn := make(chan struct{}), make(chan string, 2)
	f := newSilentFeed(func(update Update) {
		for _, r := range update.Records {
			if string(r.Value) == "older" {
				close(olderRead)
				// The process stands still before it has applied the record.
				time.Sleep(standstill)
			}
			handedOn <- string(r.Value)
		}
	})
	merge := func(offset int64, value string) {
		record := contract.Record{Offset: offset, Key: "k", Value: []byte(value)}
		f.Merge(contract.Records{Records: []contract.Record{record}, Synced: true, Newest: offset})
	}
	go merge(0, "older")
	<-olderRead
	go merge(1, "newer")
	got, want := []string{<-handedOn, <-handedOn}, []string{"older", "newer"}
	if !slices.Equal(got, want) {
		t.Errorf("records handed on: %v, want %v", got, want)
	}
}
