// Package feed follows a keyed topic of the platform's store. A Feed holds the newest
// record of each key in a Replica. It reads records from the store and merges records
// that peers send: they help while the store refuses the process's calls, and they save
// many processes from reading a large record over the same link.
//
// A Replica never regresses: a record replaces only a record with a lower offset, whether
// it comes from the store or from a peer.
package feed

import "mimosastand.example/mimosastand/contract"

// Replica holds the newest record of each key, including the tombstones of deleted keys.
// It is not safe for concurrent use.
type Replica struct {
	records map[string]contract.Record
	// newestOffset is the highest offset that has been applied or is known to change
	// nothing; -1 at first.
	newestOffset int64
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{records: map[string]contract.Record{}, newestOffset: -1}
}

// NewestOffset returns the offset up to which the topic is held, or -1 if it is not held.
func (r *Replica) NewestOffset() int64 { return r.newestOffset }

// Advance records that all records up to an offset are held or would change nothing.
func (r *Replica) Advance(offset int64) { r.newestOffset = max(r.newestOffset, offset) }

// Apply applies records and returns those that changed the replica, in order. A tombstone
// of a key that was not held is stored but not returned.
func (r *Replica) Apply(records []contract.Record) []contract.Record {
	var changed []contract.Record
	for _, record := range records {
		held, ok := r.records[record.Key]
		if ok && record.Offset <= held.Offset {
			continue
		}
		r.records[record.Key] = record
		r.newestOffset = max(r.newestOffset, record.Offset)
		if ok || len(record.Value) > 0 {
			changed = append(changed, record)
		}
	}
	return changed
}

// Reset applies a snapshot of the complete topic at the offset end and returns the
// records that changed. A held key that is missing from the snapshot was deleted before
// end, unless its record has the offset end or a higher one; it gets a tombstone with the
// offset end-1.
func (r *Replica) Reset(records []contract.Record, end int64) []contract.Record {
	changed := r.Apply(records)
	present := map[string]bool{}
	for _, record := range records {
		present[record.Key] = true
	}
	for key, held := range r.records {
		if present[key] || held.Offset >= end || len(held.Value) == 0 {
			continue
		}
		tombstone := contract.Record{Offset: end - 1, Key: key}
		r.records[key] = tombstone
		changed = append(changed, tombstone)
	}
	r.Advance(end - 1)
	return changed
}

// RecordsAfter returns the records with an offset above the given one, tombstones
// included.
func (r *Replica) RecordsAfter(offset int64) []contract.Record {
	var list []contract.Record
	for _, record := range r.records {
		if record.Offset > offset {
			list = append(list, record)
		}
	}
	return list
}
