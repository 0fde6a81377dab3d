package answers

import (
	"container/heap"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Append adds a copy of a frame to a running answer. When the answer is over its limit,
// frames before number consumed are dropped; Append reports false if that does
// not make room, and the caller tries again after more has been consumed.
func (s *Store) Append(r *Record, f Frame, consumed uint64) bool {
	size := len(f.Data) + partBytes
	if r.memory()+size > s.limits.MaxAnswerBytes {
		s.trim(r, consumed)
	}
	if len(r.frames) > 0 && r.memory()+size > s.limits.MaxAnswerBytes && s.off&offBackPressure == 0 {
		return false
	}
	s.evict(size)
	if s.bytes+size > s.limits.MaxBytes {
		s.trim(r, consumed)
	}
	if len(r.frames) > 0 && s.bytes+size > s.limits.MaxBytes {
		return false
	}
	r.add(f)
	s.bytes += size
	return true
}

// trim drops frames before number consumed.
func (s *Store) trim(r *Record, consumed uint64) {
	s.bytes -= r.memory()
	r.drop(consumed)
	s.bytes += r.memory()
}

// evict drops the oldest finished answers until size more bytes fit.
func (s *Store) evict(size int) {
	for len(s.finished) > 0 && s.bytes+size > s.limits.MaxBytes && s.off&offEvict == 0 {
		s.forgetOldest()
	}
}

// forgetOldest gives up the oldest finished answer and its record. What stays
// is that the attempt started.
func (s *Store) forgetOldest() {
	r := s.finished[0]
	s.finished[0] = nil
	s.finished = s.finished[1:]
	s.release(r)
	if s.off&offPast == 0 {
		s.past.add(r.id, r.expires, r.state == contract.AttemptOutcomeUnknown)
	}
	if r.state == contract.AttemptDone {
		r.state = contract.AttemptAnswerDropped
	}
	heap.Remove(&s.expiry, r.index)
	s.remove(r)
}

// release gives up the frames of a record.
func (s *Store) release(r *Record) {
	s.bytes -= r.memory()
	r.drop(r.FrameCount())
	r.frames, r.data = nil, nil
}

// Finish closes an answer. An outcome other than done makes the attempt broken.
func (s *Store) Finish(now time.Time, r *Record, end contract.End) {
	end.Attempt = r.id
	end.Frames = r.FrameCount()
	end.Length = r.length
	r.end, r.ended = end, now
	r.clip()
	r.state = contract.AttemptOutcomeUnknown
	r.reason = end.Reason
	if end.Outcome == contract.OutcomeDone {
		r.state = contract.AttemptDone
	}
	s.evict(0)
	s.finished = append(s.finished, r)
}
