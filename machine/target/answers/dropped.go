package answers

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
)

// droppedIndex remembers, in a few bytes each, the requests with an attempt that started
// in this process and whose record was dropped. It identifies a request by a hash of 64
// bits.
type droppedIndex struct {
	entries map[uint64]droppedEntry
	// insertionOrder holds the hashes of the requests, oldest first.
	insertionOrder []uint64
}

type droppedEntry struct {
	// n is the number of the newest attempt that started.
	n uint32
	// expires is when the entry may be removed, in seconds of Unix time.
	expires uint32
	// outcomeUnknown reports, for the attempt that was added last, whether it lacks a
	// complete answer; otherwise the answer was complete and has been dropped.
	outcomeUnknown bool
}

func newDroppedIndex() droppedIndex {
	return droppedIndex{entries: map[uint64]droppedEntry{}}
}

func (d *droppedIndex) add(id contract.AttemptID, expires time.Time, outcomeUnknown bool) {
	h := xxhash.Sum64String(string(id.Request))
	e := droppedEntry{n: id.N, expires: uint32(expires.Unix()) + 1, outcomeUnknown: outcomeUnknown}
	previous, exists := d.entries[h]
	if exists {
		e.n = max(e.n, previous.n)
		e.expires = max(e.expires, previous.expires)
	} else {
		d.insertionOrder = append(d.insertionOrder, h)
	}
	d.entries[h] = e
}

func (d *droppedIndex) get(request contract.RequestID) (droppedEntry, bool) {
	e, ok := d.entries[xxhash.Sum64String(string(request))]
	return e, ok
}

// expire removes expired entries in insertion order, up to the first one that has not
// expired.
func (d *droppedIndex) expire(now time.Time) {
	seconds := uint32(now.Unix())
	for len(d.insertionOrder) > 0 && d.entries[d.insertionOrder[0]].expires <= seconds {
		delete(d.entries, d.insertionOrder[0])
		d.insertionOrder = d.insertionOrder[1:]
	}
}

// nextExpiry returns when expire can next remove an entry, and false if there are no
// entries.
func (d *droppedIndex) nextExpiry() (time.Time, bool) {
	if len(d.insertionOrder) == 0 {
		return time.Time{}, false
	}
	return time.Unix(int64(d.entries[d.insertionOrder[0]].expires), 0), true
}
