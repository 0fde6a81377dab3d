package spread

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/settings/checkpoint"
	"mimosastand.example/mimosastand/settings/record"
	"mimosastand.example/mimosastand/settings/replay"
)

// recovery collects all that the log still holds, when the records that follow
// the process's own are gone and no peer has them.
type recovery struct {
	// since is when the loss was noticed.
	since time.Time
	// reading is set while records are collected.
	reading bool
	// bounds is set once the oldest kept offset is known.
	bounds  bool
	after   contract.Offset
	records []durable.Record
}

func (r *recovery) active() bool {
	return r.reading
}

func (r *recovery) begin() {
	r.reading, r.bounds, r.records = true, false, nil
}

// nextAfter returns where to read next; at first beyond the end, for the bounds.
func (r *recovery) nextAfter() contract.Offset {
	if !r.bounds {
		return endOfLog
	}
	return r.after
}

// collect takes one read and reports whether all records are here.
func (r *recovery) collect(ev LogRead) bool {
	if !r.bounds {
		r.bounds = true
		r.after = ev.Batch.Oldest - 1
		return ev.Batch.Newest < ev.Batch.Oldest
	}
	r.records = append(r.records, ev.Batch.Records...)
	if n := len(ev.Batch.Records); n > 0 {
		r.after = ev.Batch.Records[n-1].Offset
	}
	return r.after >= ev.Batch.Newest || len(ev.Batch.Records) == 0
}

// rebuild replays the records from the first checkpoint that the later ones
// confirm: one more refused than confirmed and the next candidate is tried. With
// majority off the first checkpoint is taken as it is.
func rebuild(records []durable.Record, majority bool) (*replay.State, bool) {
	for i, r := range records {
		state, ok := restore(r)
		if !ok {
			continue
		}
		refused := 0
		for _, next := range records[i+1:] {
			d, err := state.Apply(next.Offset, next.Data)
			if err != nil {
				return nil, false
			}
			refused += vote(d.Outcome)
		}
		if refused <= 0 || !majority {
			return state, true
		}
	}
	return nil, false
}

func vote(o replay.Outcome) int {
	switch o {
	case replay.CheckpointRefused:
		return 1
	case replay.CheckpointConfirmed:
		return -1
	default:
		return 0
	}
}

// restore returns the state after a checkpoint record.
func restore(r durable.Record) (*replay.State, bool) {
	decoded, err := record.Decode(r.Data)
	if err != nil || len(decoded.Checkpoint) == 0 {
		return nil, false
	}
	snapshot, err := checkpoint.Decode(decoded.Checkpoint)
	if err != nil {
		return nil, false
	}
	return replay.Restore(snapshot, r.Offset), true
}

func encodeCheckpoint(s *replay.State) ([]byte, error) {
	data, _, err := checkpoint.Encode(s.Snapshot())
	return data, err
}

func checkpointRecord(s *replay.State) ([]byte, error) {
	data, err := encodeCheckpoint(s)
	if err != nil {
		return nil, err
	}
	return record.Encode(record.Record{Checkpoint: data})
}

// checkpointSpread is the time over which the tailing processes spread their
// checkpoints.
const checkpointSpread = 10 * time.Second

// checkpointClock tells when a checkpoint is due.
type checkpointClock struct {
	// at is when the next one is due by time.
	at      time.Time
	records int
	writing bool
}

func (c *checkpointClock) reset(now time.Time, every time.Duration) {
	c.at, c.records = now.Add(every), 0
}

// soon brings the next one forward.
func (c *checkpointClock) soon(at time.Time) {
	if at.Before(c.at) {
		c.at = at
	}
}

func (c *checkpointClock) due(now time.Time) bool {
	return !c.writing && !now.Before(c.at)
}

// Appended ends a write. The log's next records tell whether it was confirmed;
// if it was not, another is due after the pause.
func (c *checkpointClock) appended(now time.Time, pause time.Duration) {
	c.writing = false
	c.at = now.Add(pause)
}
