// Package feed follows a keyed topic of the platform's store. A Feed holds the newest
// record of each key in a Replica. It reads records from the store and merges records
// that peers send: they help while the store refuses the process's calls, and they save
// many processes from reading a large record over the same link.
//
// A Replica never regresses: a record replaces only a record with a lower position, whether
// it comes from the store or from a peer. If the store comes back from an older copy, the
// records that it lost stay until they are written again (docs/design/store-restore.md).
package feed

import "mimosastand.example/mimosastand/contract"

// Replica holds the newest record of each key, including the tombstones of deleted keys.
// It is not safe for concurrent use.
type Replica struct {
	records map[string]contract.Record
	// era is the era of the store in which the topic is held, previousEra the one in which
	// it was held before.
	era, previousEra int64
	// newestOffset is the highest position that has been applied or is known to change
	// nothing; -1 at first.
	newestOffset int64
	// deletionsFrom is the position from which on all deletions are known. A snapshot has no trace
	// of the keys that were deleted before it.
	deletionsFrom int64
	// compare orders two records of a key by their contents; nil if they have no order.
	compare CompareFunc
	// log is what was read of the topic lately.
	log recordLog
	// lost holds the keys whose record the store lost when it came back from an older
	// copy, with the position of the older record that it had instead; notStored if it had
	// none, maybeStored if that is not known.
	lost map[string]int64
}

const (
	notStored   = -1
	maybeStored = -2
)

// CompareFunc orders two values of a key by their contents. It returns a negative number if a
// is older than b, and ok as false if the contents have no order.
type CompareFunc func(key string, a, b []byte) (order int, ok bool)

// NewReplica returns an empty replica. compare may be nil.
func NewReplica(compare CompareFunc) *Replica {
	return &Replica{records: map[string]contract.Record{}, newestOffset: -1, compare: compare, log: newRecordLog(), lost: map[string]int64{}}
}

// NewestOffset returns the position up to which the topic is held, or -1 if it is not held.
func (r *Replica) NewestOffset() int64 { return r.newestOffset }

// Era returns the era of the store in which the topic is held.
func (r *Replica) Era() int64 { return r.era }

// LostCount returns the number of keys whose record the store has lost.
func (r *Replica) LostCount() int { return len(r.lost) }

// Stored returns the record of a key that the store has, as far as is known.
func (r *Replica) Stored(key string) (contract.Record, bool) {
	record, ok := r.records[key]
	_, isLost := r.lost[key]
	return record, ok && !isLost && len(record.Value) > 0
}

// Newest returns the newest record of a key, which may be a tombstone or lost by the store.
func (r *Replica) Newest(key string) (contract.Record, bool) {
	record, ok := r.records[key]
	return record, ok
}

// Advance records that all records up to a position are held or would change nothing.
func (r *Replica) Advance(offset int64) {
	r.newestOffset = max(r.newestOffset, offset)
	r.era = max(r.era, contract.PositionEra(offset))
}

// Apply applies records and returns those that changed the replica, in order. A tombstone
// of a key that was not held is stored but not returned, and neither is a record that the
// store has instead of one that it lost.
func (r *Replica) Apply(records []contract.Record) []contract.Record {
	var changed []contract.Record
	for _, record := range records {
		held, ok := r.records[record.Key]
		isOlder := ok && record.Offset <= held.Offset || r.wasDeleted(record) || r.isOlderThanLost(record)
		r.remember(record)
		if isOlder {
			continue
		}
		r.Advance(record.Offset)
		r.records[record.Key] = record
		_, wasLost := r.lost[record.Key]
		delete(r.lost, record.Key)
		if contract.PositionEra(record.Offset) < r.era {
			// A peer holds this record, which the store lost.
			r.lost[record.Key] = maybeStored
		}
		if wasLost && string(record.Value) == string(held.Value) {
			// The lost record was written again.
			continue
		}
		if ok || len(record.Value) > 0 {
			changed = append(changed, record)
		}
	}
	return changed
}

// wasDeleted reports whether a record is of a key that did not exist in the snapshot that was read last,
// and older than that: it comes from a peer that had not read the deletion yet.
func (r *Replica) wasDeleted(record contract.Record) bool {
	if record.Offset >= r.deletionsFrom || contract.PositionEra(record.Offset) != contract.PositionEra(r.deletionsFrom) {
		return false
	}
	held, ok := r.records[record.Key]
	return !ok || len(held.Value) == 0 && held.Offset != notStored
}

// remember notes a record of the current era as read at its offset. The offsets of
// tombstones may be those of snapshots.
func (r *Replica) remember(record contract.Record) {
	if len(record.Value) > 0 && contract.PositionEra(record.Offset) == r.era {
		r.log.add(record)
	}
}

// isOlderThanLost reports whether a record is what the store has instead of a record that
// it lost.
func (r *Replica) isOlderThanLost(record contract.Record) bool {
	_, isLost := r.lost[record.Key]
	return isLost && r.isOlder(record, r.records[record.Key])
}

// Reset applies a snapshot of the complete topic at the position end, of an era, and returns
// the records that changed; one that a peer sent may have tombstones. A held key that is missing from the snapshot was deleted before
// end, unless its record has the position end or a higher one, or is lost; it gets a
// tombstone with the position end-1.
func (r *Replica) Reset(records []contract.Record, era, end int64) []contract.Record {
	present := map[string]bool{}
	for _, record := range records {
		present[record.Key] = len(record.Value) > 0
	}
	isNewEra := era > r.era && r.newestOffset >= 0
	if era > r.era {
		r.previousEra, r.era = r.era, era
	}
	if isNewEra {
		records = r.enterEra(records)
	}
	changed := r.Apply(records)
	for key, held := range r.records {
		_, isLost := r.lost[key]
		if present[key] || isLost || held.Offset >= end || len(held.Value) == 0 {
			continue
		}
		tombstone := contract.Record{Offset: end - 1, Key: key}
		r.records[key] = tombstone
		changed = append(changed, tombstone)
	}
	r.Advance(end - 1)
	r.deletionsFrom = max(r.deletionsFrom, end)
	return changed
}

// enterEra compares the first snapshot of the current era with what is held, and notes what
// the store has lost. It returns the records of the snapshot that are news: they were
// written in this era, or were not read before.
func (r *Replica) enterEra(snapshot []contract.Record) (news []contract.Record) {
	stored := map[string]bool{}
	for _, record := range snapshot {
		held, ok := r.records[record.Key]
		inEra := contract.PositionEra(record.Offset) == r.era
		stored[record.Key] = inEra
		switch {
		case ok && inEra && isSame(record, held):
			r.records[record.Key] = record
			delete(r.lost, record.Key)
		case ok && inEra && r.isOlder(record, held):
			r.lost[record.Key] = record.Offset
		default:
			news = append(news, record)
		}
	}
	for key, held := range r.records {
		if !stored[key] && len(held.Value) > 0 {
			r.lost[key] = notStored
		}
	}
	return news
}

// isSame reports whether a record of another era is the one that is held.
func isSame(record, held contract.Record) bool {
	return contract.PositionOffset(record.Offset) == contract.PositionOffset(held.Offset) && string(record.Value) == string(held.Value)
}

// isOlder reports whether a record is an older one than the record held, which the store
// lost, and was not written since. Without an order of the contents, what was not read
// before counts as older if its offset is not above that of the record that is known to be
// older, or of the one held.
func (r *Replica) isOlder(record, held contract.Record) bool {
	if held.Offset < 0 || string(record.Value) == string(held.Value) {
		return false
	}
	if r.compare != nil && len(record.Value) > 0 && len(held.Value) > 0 {
		if order, ok := r.compare(record.Key, record.Value, held.Value); ok {
			return order < 0
		}
	}
	offset := contract.PositionOffset(record.Offset)
	same, known := r.log.matches(offset, r.previousEra, record)
	switch older, isLost := r.lost[record.Key]; {
	case isLost && older == notStored:
		return same
	case isLost && older != maybeStored:
		return offset <= contract.PositionOffset(older) && (same || !known)
	default:
		return offset < contract.PositionOffset(held.Offset) && (same || !known)
	}
}

// ForgetLost makes the store's state count for the records that it lost: the next snapshot
// replaces them.
func (r *Replica) ForgetLost() {
	for key := range r.lost {
		held := r.records[key]
		held.Offset = notStored
		r.records[key] = held
	}
	clear(r.lost)
}

// RecordsAfter returns the records with a position above the given one, tombstones included, or those
// of all keys if not KnowsDeletionsAfter the position.
func (r *Replica) RecordsAfter(offset int64) []contract.Record {
	isPartial := r.KnowsDeletionsAfter(offset)
	var list []contract.Record
	for _, record := range r.records {
		if record.Offset > offset || !isPartial {
			list = append(list, record)
		}
	}
	return list
}

// KnowsDeletionsAfter reports whether the replica has a tombstone of each key that was deleted after a
// position. It does not if the position is of an older era than the one held.
func (r *Replica) KnowsDeletionsAfter(offset int64) bool {
	return offset+1 >= r.deletionsFrom && contract.PositionEra(offset) >= r.era
}
