package spread

import (
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/settings/checkpoint"
	"mimosastand.example/mimosastand/settings/record"
	"mimosastand.example/mimosastand/settings/replay"
)

// Bounds on the records kept for peers and for the history.
const (
	keptRecords    = 2048
	keptBytes      = 1 << 20
	servedRecords  = 512
	servedBytes    = 512 << 10
	recordOverhead = 96
)

// Entry is a record with what became of it.
type Entry struct {
	Record   durable.Record
	Decision replay.Decision
}

// recent holds the last records without gaps, within the bounds.
type recent struct {
	entries []Entry
	bytes   int
}

func newRecent() *recent {
	return &recent{}
}

// add appends the next record. A checkpoint is kept by its digest alone, since
// whoever asks for it has the state that it covers.
func (r *recent) add(rec durable.Record, d replay.Decision) {
	rec.Data = compact(rec.Data, d)
	r.entries = append(r.entries, Entry{Record: rec, Decision: d})
	r.bytes += len(rec.Data) + recordOverhead
	if len(r.entries) > keptRecords || r.bytes > keptBytes {
		r.drop()
	}
}

// drop removes the oldest quarter, so that few adds pay for the copy.
func (r *recent) drop() {
	n := max(1, len(r.entries)/4)
	for _, e := range r.entries[:n] {
		r.bytes -= len(e.Record.Data) + recordOverhead
	}
	r.entries = append([]Entry(nil), r.entries[n:]...)
}

func compact(data []byte, d replay.Decision) []byte {
	if d.Outcome != replay.CheckpointConfirmed && d.Outcome != replay.CheckpointRefused {
		return data
	}
	decoded, err := record.Decode(data)
	if err != nil || len(decoded.Checkpoint) == 0 {
		return data
	}
	digest, err := checkpoint.Digest(decoded.Checkpoint)
	if err != nil {
		return data
	}
	marked, err := record.Encode(record.Record{Mark: &digest})
	if err != nil {
		return data
	}
	return marked
}

// after returns a run of records that starts after an offset; false if they are
// no longer kept.
func (r *recent) after(offset contract.Offset) ([][]byte, bool) {
	if len(r.entries) == 0 || r.entries[0].Record.Offset > offset+1 {
		return nil, false
	}
	var records [][]byte
	size := 0
	start := int(offset + 1 - r.entries[0].Record.Offset)
	for _, e := range r.entries[start:] {
		size += len(e.Record.Data)
		if len(records) > 0 && (len(records) == servedRecords || size > servedBytes) {
			break
		}
		records = append(records, e.Record.Data)
	}
	return records, true
}
