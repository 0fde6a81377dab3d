package answers

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosastand.example/mimosastand/contract"
)

var epoch = time.Unix(1_000_000, 0)

var testLimits = Limits{
	MaxBytes: 2*frameOverheadBytes + 100, MaxAnswerBytes: frameOverheadBytes + 40, MaxStarted: 5, MaxDroppedRecords: 9, MaxTombstones: 3,
	AnswerRetention: 10 * time.Second, RecordRetention: 20 * time.Second, RefusalRetention: 30 * time.Second, TombstoneRetention: 60 * time.Second,
}

const maxFrameBytes = 45

func attemptID(n int) contract.AttemptID {
	return contract.AttemptID{Request: contract.RequestID(fmt.Sprint(n)), N: 1}
}

func doneEnd() contract.End { return contract.End{Outcome: contract.OutcomeDone} }

func TestDroppedAnswerKeepsAttemptKnown(t *testing.T) {
	s := New(testLimits)
	for i := range 3 {
		r := s.RecordStart(epoch, attemptID(i), epoch)
		if !s.Append(r, Frame{Data: make([]byte, 40)}, 0) {
			t.Fatalf("Append() to answer %d = false, want true", i)
		}
		s.Finish(epoch, r, doneEnd())
	}
	if got, _ := s.DroppedState(attemptID(0)); got != contract.AttemptAnswerDropped {
		t.Errorf("state after eviction by size = %s, want the state of a dropped answer", got)
	}
	s.Expire(epoch.Add(testLimits.AnswerRetention))
	if got, _ := s.DroppedState(attemptID(2)); got != contract.AttemptAnswerDropped || s.Bytes() != 0 || s.StartedCount() != 0 {
		t.Errorf("after the answer retention: state %s, %d bytes; want the state of a dropped answer, 0 bytes and no started records", got, s.Bytes())
	}
	if !s.OtherAttemptStarted(contract.AttemptID{Request: "2", N: 2}) {
		t.Error("OtherAttemptStarted() = false, want true: another attempt of the request started")
	}
	s.Expire(epoch.Add(testLimits.RecordRetention + 2*time.Second))
	if s.DroppedRequestCount() != 0 {
		t.Error("DroppedRequestCount() is above 0 after the record retention, want 0")
	}
}

func TestAppendWaitsForConsumer(t *testing.T) {
	s := New(testLimits)
	r := s.RecordStart(epoch, attemptID(1), epoch)
	s.Append(r, Frame{Data: make([]byte, 40)}, 0)
	if s.Append(r, Frame{Data: make([]byte, 40)}, 0) {
		t.Error("Append() beyond the limit of an answer = true without consumed frames, want false")
	}
	if !s.Append(r, Frame{Data: make([]byte, 40)}, 1) || r.CanSendFrom(0) || !r.CanSendFrom(1) || r.FrameCount() != 2 {
		t.Errorf("first stored frame %d of %d, want frame 1 of 2 after frame 0 was consumed", r.firstFrame, r.FrameCount())
	}
}

// TestTombstonesBeyondBoundAreRetained checks that no tombstone is lost within its
// retention, however many there are.
func TestTombstonesBeyondBoundAreRetained(t *testing.T) {
	const tombstones = 20_000
	s := New(testLimits)
	for i := range tombstones {
		s.AddTombstone(epoch.Add(time.Duration(i)*time.Millisecond), attemptID(i))
	}
	end := epoch.Add(testLimits.TombstoneRetention - 1)
	s.Expire(end)
	for i := range tombstones {
		if _, found := s.FindTombstone(end, attemptID(i)); !found {
			t.Fatalf("FindTombstone() found no tombstone %d of %d within its retention", i, tombstones)
		}
	}
	falsePositives := 0
	for i := tombstones; i < 2*tombstones; i++ {
		if _, found := s.FindTombstone(end, attemptID(i)); found {
			falsePositives++
		}
	}
	if falsePositives > tombstones/100 {
		t.Errorf("FindTombstone() found one for %d of %d attempts without a tombstone, want at most 1 %%", falsePositives, tombstones)
	}
}

// TestMechanisms checks that each property of the store holds, and that it no longer
// holds when its mechanism is switched off.
func TestMechanisms(t *testing.T) {
	for name, c := range map[string]struct {
		off   mechanism
		holds func(s *Store) bool
	}{
		"tombstones beyond the bound": {offOverflow, func(s *Store) bool {
			for i := range 10 {
				s.AddRefusal(epoch, attemptID(i), contract.ReasonTargetFull)
				s.AddTombstone(epoch, attemptID(100+i))
			}
			_, refused := s.FindTombstone(epoch, attemptID(9))
			_, requested := s.FindTombstone(epoch, attemptID(109))
			return refused && requested
		}},
		"late copy after its answer was dropped": {offDroppedIndex, func(s *Store) bool {
			s.Finish(epoch, s.RecordStart(epoch, attemptID(1), epoch), doneEnd())
			s.Expire(epoch.Add(testLimits.AnswerRetention))
			_, dropped := s.DroppedState(attemptID(1))
			return dropped
		}},
		"memory of finished answers": {offEvict, func(s *Store) bool {
			for i := range 5 {
				r := s.RecordStart(epoch, attemptID(i), epoch)
				s.Append(r, Frame{Data: make([]byte, 40)}, 0)
				s.Finish(epoch, r, doneEnd())
			}
			return s.Bytes() <= testLimits.MaxBytes
		}},
		"memory of a running answer": {offBackPressure, func(s *Store) bool {
			r := s.RecordStart(epoch, attemptID(1), epoch)
			for range 3 {
				s.Append(r, Frame{Data: make([]byte, 40)}, 0)
			}
			return s.Bytes() <= testLimits.MaxAnswerBytes
		}},
	} {
		t.Run(name, func(t *testing.T) {
			on, off := New(testLimits), New(testLimits)
			off.off = c.off
			if !c.holds(on) || c.holds(off) {
				t.Error("the property fails with its mechanism or holds without it, want it to depend on the mechanism")
			}
		})
	}
}

// TestStoreStaysWithinBounds checks the counts and the memory of a store under random
// use.
func TestStoreStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := New(testLimits), epoch
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			applyRandomOp(t, s, now, attemptID(rapid.IntRange(0, 12).Draw(t, "id")))
			s.Expire(now)
			checkBounds(t, s)
		}
	})
}

func applyRandomOp(t *rapid.T, s *Store, now time.Time, id contract.AttemptID) {
	r := s.Get(id)
	_, dropped := s.DroppedState(id)
	running := r != nil && r.State() == contract.AttemptRunning
	switch op := rapid.IntRange(0, 4).Draw(t, "op"); {
	case op == 0 && r == nil:
		s.AddRefusal(now, id, contract.ReasonTargetFull)
	case op == 1 && !running:
		s.AddTombstone(now, id)
	case op == 1 && running:
		s.Finish(now, r, contract.End{Outcome: contract.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))})
	case op == 2 && running:
		s.RevertStart(now, r, contract.ReasonBackendDown)
	case running:
		size := rapid.IntRange(0, maxFrameBytes).Draw(t, "size")
		s.Append(r, Frame{Data: make([]byte, size)}, uint64(rapid.IntRange(0, 9).Draw(t, "consumed")))
	case r == nil && s.HasRoom(0) && !dropped:
		s.RecordStart(now, id, now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "s"))*time.Second))
	}
}

func checkBounds(t *rapid.T, s *Store) {
	bytes, started, tombstones, running := 0, 0, 0, 0
	for _, list := range s.requests {
		for _, r := range list {
			bytes += r.memoryBytes()
			if r.State() == contract.AttemptRunning {
				running++
			}
			if r.HasStarted() {
				started++
			} else {
				tombstones++
			}
		}
	}
	if bytes != s.Bytes() || started != s.StartedCount() || tombstones != s.TombstoneCount() || len(s.expiry) != started+tombstones {
		t.Fatalf("bytes %d, started %d, tombstones %d, want %d, %d, %d and as many entries in the expiry heap as the last two together", s.Bytes(), s.StartedCount(), s.TombstoneCount(), bytes, started, tombstones)
	}
	if s.StartedCount()+s.DroppedRequestCount() > testLimits.MaxDroppedRecords {
		t.Fatalf("%d dropped requests and the started records exceed MaxDroppedRecords together", s.DroppedRequestCount())
	}
	if bound := testLimits.MaxBytes + (running+1)*(maxFrameBytes+frameOverheadBytes); bytes > bound || started > testLimits.MaxStarted {
		t.Fatalf("%d bytes and %d started records, want neither above its bound", bytes, started)
	}
}
