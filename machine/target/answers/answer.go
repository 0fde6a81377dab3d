package answers

import (
	"container/heap"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Append adds a copy of a frame to a running answer. If the answer exceeds its limit, the
// frames before number consumed are dropped. Append returns false if that does not make
// room; the caller tries again after more frames have been consumed.
func (s *Store) Append(r *Record, f Frame, consumed uint64) bool {
	size := len(f.Data) + frameOverheadBytes
	if r.memoryBytes()+size > s.limits.MaxAnswerBytes {
		s.trimFrames(r, consumed)
	}
	if len(r.frames) > 0 && r.memoryBytes()+size > s.limits.MaxAnswerBytes && s.off&offBackPressure == 0 {
		return false
	}
	s.evictFinished(size)
	if s.bytes+size > s.limits.MaxBytes {
		s.trimFrames(r, consumed)
	}
	if len(r.frames) > 0 && s.bytes+size > s.limits.MaxBytes {
		return false
	}
	r.appendFrame(f)
	s.bytes += size
	return true
}

// trimFrames drops the frames before number consumed.
func (s *Store) trimFrames(r *Record, consumed uint64) {
	s.bytes -= r.memoryBytes()
	r.dropFrames(consumed)
	s.bytes += r.memoryBytes()
}

// evictFinished drops the oldest finished answers until size more bytes fit.
func (s *Store) evictFinished(size int) {
	for len(s.finished) > 0 && s.bytes+size > s.limits.MaxBytes && s.off&offEvict == 0 {
		s.dropOldest()
	}
}

// dropOldest drops the oldest finished answer and its record. The index of dropped
// attempts still remembers that the attempt started.
func (s *Store) dropOldest() {
	r := s.finished[0]
	s.finished[0] = nil
	s.finished = s.finished[1:]
	s.releaseFrames(r)
	if s.off&offDroppedIndex == 0 {
		s.dropped.add(r.id, r.expiresAt, r.state == contract.AttemptOutcomeUnknown)
	}
	if r.state == contract.AttemptDone {
		r.state = contract.AttemptAnswerDropped
	}
	heap.Remove(&s.expiry, r.heapIndex)
	s.removeRecord(r)
}

// releaseFrames frees the frames of a record.
func (s *Store) releaseFrames(r *Record) {
	s.bytes -= r.memoryBytes()
	r.dropFrames(r.FrameCount())
	r.frames, r.data = nil, nil
}

// Finish ends an answer. Unless the outcome is done, the outcome of the attempt becomes
// unknown.
func (s *Store) Finish(now time.Time, r *Record, end contract.End) {
	end.Attempt = r.id
	end.Frames = r.FrameCount()
	end.Length = r.length
	r.end, r.endedAt = end, now
	r.clipCapacity()
	r.state = contract.AttemptOutcomeUnknown
	r.reason = end.Reason
	if end.Outcome == contract.OutcomeDone {
		r.state = contract.AttemptDone
	}
	s.evictFinished(0)
	s.finished = append(s.finished, r)
}
