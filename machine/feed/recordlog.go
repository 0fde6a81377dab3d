package feed

import (
	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
)

// recordLogSize bounds the records of a topic that are remembered: more than are written
// in the seconds by which a copy of the store is older.
const recordLogSize = 4096

// recordLog remembers which record was read last at each offset.
type recordLog struct {
	entries map[int64]loggedRecord
	// offsets lists the offsets in the order in which they were first read.
	offsets []int64
}

// loggedRecord is a hash of a record, and the era of the store in which it was read.
type loggedRecord struct {
	hash uint64
	era  int64
}

func newRecordLog() recordLog { return recordLog{entries: map[int64]loggedRecord{}} }

// add remembers a record, and forgets the oldest one if there are too many.
func (l *recordLog) add(record contract.Record) {
	offset := contract.PositionOffset(record.Offset)
	if _, known := l.entries[offset]; !known {
		l.offsets = append(l.offsets, offset)
	}
	l.entries[offset] = loggedRecord{hash: hashOf(record), era: contract.PositionEra(record.Offset)}
	if len(l.offsets) > recordLogSize {
		delete(l.entries, l.offsets[0])
		l.offsets = l.offsets[1:]
	}
}

// matches reports whether the record that was read at an offset is the given one. known is
// false if none was read there in the era since or later: in between, another one may have
// been written there.
func (l *recordLog) matches(offset, since int64, record contract.Record) (same, known bool) {
	entry, ok := l.entries[offset]
	same = ok && entry.hash == hashOf(record)
	return same, same || ok && entry.era >= since
}

func hashOf(record contract.Record) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(record.Key)
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(record.Value)
	return hash.Sum64()
}
