package contention

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// single is an entry whose slots become free one after the other, every slotTime, while requests
// arrive.
type single struct {
	queue Queue[*arrival]
	now   time.Time
	// started lists the requests in the order in which they started.
	started []*arrival
}

// arrival is a request that arrives.
type arrival struct {
	Request
	isRefused bool
}

const slotTime = 100 * time.Millisecond

func newSingle(disabled mechanism) *single {
	s := &single{now: time.Unix(1000, 0)}
	s.queue.disabled = disabled
	return s
}

func slotRate() float64 { return 1 / slotTime.Seconds() }

// arrive has a request arrive that must start within a time, while all slots are in use.
func (s *single) arrive(r Request, within time.Duration) *arrival {
	r.StartBy = s.now.Add(within)
	r.Class = string(r.Team)
	a := &arrival{Request: r}
	noRoom := func(*Waiting[*arrival], int) Outcome { return NoRoom }
	_, verdict, displaced := s.queue.Arrive(s.now, r, a, slotRate, noRoom)
	a.isRefused = verdict == Refused
	for _, d := range displaced {
		d.Value.isRefused = true
	}
	return a
}

// free has a slot become free after slotTime.
func (s *single) free() {
	s.now = s.now.Add(slotTime)
	for _, w := range s.queue.order(s.now) {
		if w.StartBy.Before(s.now) {
			s.queue.Remove(w)
			w.Value.isRefused = true
		}
	}
	s.queue.RecordEnd(s.now)
	isFree := true
	s.queue.Dispatch(s.now, slotRate, func(w *Waiting[*arrival], _ int) Outcome {
		if !isFree {
			return NoRoom
		}
		isFree = false
		s.started = append(s.started, w.Value)
		return Started
	})
}

// play has the same requests arrive before each of 200 slots, and returns the share of the starts
// that fulfil a condition.
func (s *single) play(requests []Request, condition func(*arrival) bool) float64 {
	for range 200 {
		for _, r := range requests {
			s.arrive(r, time.Second)
		}
		s.free()
	}
	n := 0.0
	for _, a := range s.started {
		if condition(a) {
			n++
		}
	}
	return n / float64(len(s.started))
}

// Each mechanism of the queue guards against a fault that shows when it is taken out.
func TestEachMechanismIsNeeded(t *testing.T) {
	for _, c := range []struct {
		fault     string
		mechanism mechanism
		// isFaulty plays requests and reports whether the fault shows.
		isFaulty func(*single) bool
	}{
		{"less urgent requests start first", disableRanks, func(s *single) bool {
			s.arrive(Request{Rank: 1}, time.Second)
			s.arrive(Request{}, time.Second)
			s.free()
			return s.started[0].Rank > 0
		}},
		{"requests wait that cannot start in time", disableAdmission, func(s *single) bool {
			for range 20 {
				s.arrive(Request{}, 3*slotTime)
			}
			return s.queue.Len() > 7
		}},
		{"requests wait on that a more urgent one has kept from starting in time", disableDisplacement, func(s *single) bool {
			low := s.arrive(Request{Rank: 1}, 3*slotTime)
			for range 12 {
				s.arrive(Request{}, 20*slotTime)
			}
			return !low.isRefused
		}},
		{"returning callers starve", disableLateShare, func(s *single) bool {
			return s.play([]Request{{}, {}, {Late: true}}, func(a *arrival) bool { return a.Late }) < 0.1
		}},
		{"a rank starves", disableMinimumShare, func(s *single) bool {
			return s.play([]Request{{}, {}, {Rank: 1}}, func(a *arrival) bool { return a.Rank == 1 }) < requiredShare/3
		}},
		{"a team gets less for others that send more", disableTeamShares, func(s *single) bool {
			large := Request{Team: "large"}
			return s.play([]Request{large, large, large, large, {Team: "small"}}, func(a *arrival) bool { return a.Team == "small" }) < 0.4
		}},
		{"late requests take the last free slot", disableSpare, func(s *single) bool {
			w := &Waiting[*arrival]{Request: Request{Late: true}}
			return s.queue.spareFor(s.now, w, slotRate()) == 0
		}},
	} {
		if c.isFaulty(newSingle(0)) {
			t.Errorf("%s", c.fault)
		}
		if !c.isFaulty(newSingle(c.mechanism)) {
			t.Errorf("with the mechanism taken out, want: %s", c.fault)
		}
	}
}

// Guards against a request for which no target has room keeping those from starting that other targets
// may serve, and against requests that were sent before waiting behind new ones.
func TestDispatchSkipsFullClasses(t *testing.T) {
	s := newSingle(0)
	for _, team := range []contract.TeamName{"full", "full", "free"} {
		s.arrive(Request{Team: team}, time.Second)
	}
	s.arrive(Request{Rank: 5, Resent: true, Team: "resent"}, 0)
	var tried []contract.TeamName
	s.queue.Dispatch(s.now, slotRate, func(w *Waiting[*arrival], _ int) Outcome {
		tried = append(tried, w.Team)
		if w.Team == "full" {
			return NoRoom
		}
		return Started
	})
	if len(tried) != 3 || tried[0] != "resent" || s.queue.Len() != 2 {
		t.Errorf("tried %v with %d left waiting, want resent first and each class once", tried, s.queue.Len())
	}
}
