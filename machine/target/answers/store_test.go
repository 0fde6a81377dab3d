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
	MaxBytes: 2*partBytes + 100, MaxAnswerBytes: partBytes + 40, MaxStarted: 5, MaxDroppedRecords: 9, MaxTombstones: 3,
	AnswerRetention: 10 * time.Second, RecordRetention: 20 * time.Second, RefusalRetention: 30 * time.Second, TombstoneRetention: 60 * time.Second,
}

const maxFrame = 45

func id(n int) contract.AttemptID {
	return contract.AttemptID{Request: contract.RequestID(fmt.Sprint(n)), N: 1}
}

func done() contract.End { return contract.End{Outcome: contract.OutcomeDone} }

func TestEvictedAnswerIsForgottenNotUnheard(t *testing.T) {
	s := New(testLimits)
	for i := range 3 {
		r := s.RecordStart(epoch, id(i), epoch)
		if !s.Append(r, Frame{Data: make([]byte, 40)}, 0) {
			t.Fatalf("answer %d does not fit", i)
		}
		s.Finish(epoch, r, done())
	}
	if got, _ := s.DroppedState(id(0)); got != contract.AttemptAnswerDropped {
		t.Errorf("evicted for bytes: %s", got)
	}
	s.Expire(epoch.Add(testLimits.AnswerRetention))
	if got, _ := s.DroppedState(id(2)); got != contract.AttemptAnswerDropped || s.Bytes() != 0 || s.StartedCount() != 0 {
		t.Errorf("evicted for time: %s, %d bytes", got, s.Bytes())
	}
	if !s.OtherAttemptStarted(contract.AttemptID{Request: "2", N: 2}) {
		t.Error("forgot that another attempt of the request started")
	}
	s.Expire(epoch.Add(testLimits.RecordRetention + 2*time.Second))
	if s.DroppedRequestCount() != 0 {
		t.Error("an attempt is remembered beyond its time")
	}
}

func TestLongAnswerWaitsForItsReader(t *testing.T) {
	s := New(testLimits)
	r := s.RecordStart(epoch, id(1), epoch)
	s.Append(r, Frame{Data: make([]byte, 40)}, 0)
	if s.Append(r, Frame{Data: make([]byte, 40)}, 0) {
		t.Error("answer grew beyond its limit without a reader")
	}
	if !s.Append(r, Frame{Data: make([]byte, 40)}, 1) || r.CanSendFrom(0) || !r.CanSendFrom(1) || r.FrameCount() != 2 {
		t.Errorf("first kept %d, frames %d", r.first, r.FrameCount())
	}
}

// TestTombstoneOutlivesTheBound checks that no tombstone is lost within its
// time, however many there are.
func TestTombstoneOutlivesTheBound(t *testing.T) {
	const many = 20_000
	s := New(testLimits)
	for i := range many {
		s.AddTombstone(epoch.Add(time.Duration(i)*time.Millisecond), id(i))
	}
	end := epoch.Add(testLimits.TombstoneRetention - 1)
	s.Expire(end)
	for i := range many {
		if _, buried := s.FindTombstone(end, id(i)); !buried {
			t.Fatalf("tombstone %d of %d is lost", i, many)
		}
	}
	wrong := 0
	for i := many; i < 2*many; i++ {
		if _, buried := s.FindTombstone(end, id(i)); buried {
			wrong++
		}
	}
	if wrong > many/100 {
		t.Errorf("%d of %d attempts without a tombstone are refused", wrong, many)
	}
}

// TestMechanisms checks that each promise holds with its mechanism and not
// without it.
func TestMechanisms(t *testing.T) {
	for name, c := range map[string]struct {
		off   mechanism
		holds func(s *Store) bool
	}{
		"tombstones beyond the bound": {offOverflow, func(s *Store) bool {
			for i := range 10 {
				s.AddRefusal(epoch, id(i), contract.ReasonTargetFull)
				s.AddTombstone(epoch, id(100+i))
			}
			_, refused := s.FindTombstone(epoch, id(9))
			_, asked := s.FindTombstone(epoch, id(109))
			return refused && asked
		}},
		"late copy after its answer is gone": {offPast, func(s *Store) bool {
			s.Finish(epoch, s.RecordStart(epoch, id(1), epoch), done())
			s.Expire(epoch.Add(testLimits.AnswerRetention))
			_, past := s.DroppedState(id(1))
			return past
		}},
		"memory of finished answers": {offEvict, func(s *Store) bool {
			for i := range 5 {
				r := s.RecordStart(epoch, id(i), epoch)
				s.Append(r, Frame{Data: make([]byte, 40)}, 0)
				s.Finish(epoch, r, done())
			}
			return s.Bytes() <= testLimits.MaxBytes
		}},
		"memory of a running answer": {offBackPressure, func(s *Store) bool {
			r := s.RecordStart(epoch, id(1), epoch)
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
				t.Error("the promise does not follow its mechanism")
			}
		})
	}
}

// TestBounds checks the counts and bytes of a store under random use.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := New(testLimits), epoch
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			use(t, s, now, id(rapid.IntRange(0, 12).Draw(t, "id")))
			s.Expire(now)
			checkBounds(t, s)
		}
	})
}

func use(t *rapid.T, s *Store, now time.Time, id contract.AttemptID) {
	r := s.Get(id)
	_, past := s.DroppedState(id)
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
		size := rapid.IntRange(0, maxFrame).Draw(t, "size")
		s.Append(r, Frame{Data: make([]byte, size)}, uint64(rapid.IntRange(0, 9).Draw(t, "consumed")))
	case r == nil && s.HasRoom(0) && !past:
		s.RecordStart(now, id, now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "s"))*time.Second))
	}
}

func checkBounds(t *rapid.T, s *Store) {
	bytes, started, tombstones, running := 0, 0, 0, 0
	for _, list := range s.requests {
		for _, r := range list {
			bytes += r.memory()
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
		t.Fatalf("counts %d %d %d, want %d %d %d", s.Bytes(), s.StartedCount(), s.TombstoneCount(), bytes, started, tombstones)
	}
	if s.StartedCount()+s.DroppedRequestCount() > testLimits.MaxDroppedRecords {
		t.Fatalf("%d past requests", s.DroppedRequestCount())
	}
	if bound := testLimits.MaxBytes + (running+1)*(maxFrame+partBytes); bytes > bound || started > testLimits.MaxStarted {
		t.Fatalf("%d bytes, %d started", bytes, started)
	}
}
