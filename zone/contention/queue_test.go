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

// arrival is a request that arrives; refusedAfter is how long it waited if it was refused.
type arrival struct {
	Request
	at           time.Time
	refusedAfter time.Duration
	isRefused    bool
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
	a := &arrival{Request: r, at: s.now}
	noRoom := func(*Waiting[*arrival], int) Outcome { return NoRoom }
	_, verdict, displaced := s.queue.Arrive(s.now, r, a, slotRate, noRoom)
	if verdict == Refused {
		a.isRefused = true
	}
	for _, d := range displaced {
		d.Value.isRefused, d.Value.refusedAfter = true, s.now.Sub(d.Value.at)
	}
	return a
}

// free has a slot become free after slotTime.
func (s *single) free() {
	s.now = s.now.Add(slotTime)
	for _, w := range s.queue.order(s.now) {
		if w.StartBy.Before(s.now) {
			s.queue.Remove(w)
			w.Value.isRefused, w.Value.refusedAfter = true, s.now.Sub(w.Value.at)
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

// count returns how many started requests fulfil a condition.
func (s *single) count(f func(*arrival) bool) int {
	n := 0
	for _, a := range s.started {
		if f(a) {
			n++
		}
	}
	return n
}

// play has the same requests arrive before each of 200 slots.
func (s *single) play(arrive func()) {
	for range 200 {
		arrive()
		s.free()
	}
}

// Each mechanism of the queue guards against a fault that shows when it is taken out.
func TestEachMechanismIsNeeded(t *testing.T) {
	rank := func(n int) func(*arrival) bool { return func(a *arrival) bool { return a.Rank == n } }
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
			s.play(func() {
				s.arrive(Request{}, time.Second)
				s.arrive(Request{}, time.Second)
				s.arrive(Request{Late: true}, time.Second)
			})
			return s.count(func(a *arrival) bool { return a.Late }) < len(s.started)/10
		}},
		{"a rank starves", disableMinimumShare, func(s *single) bool {
			s.play(func() {
				s.arrive(Request{}, time.Second)
				s.arrive(Request{}, time.Second)
				s.arrive(Request{Rank: 1}, time.Second)
			})
			return float64(s.count(rank(1)))/200 < requiredShare*float64(len(s.started))/600
		}},
		{"a team gets less for others that send more", disableTeamShares, func(s *single) bool {
			s.play(func() {
				for range 4 {
					s.arrive(Request{Team: "large"}, time.Second)
				}
				s.arrive(Request{Team: "small"}, time.Second)
			})
			small := s.count(func(a *arrival) bool { return a.Team == "small" })
			return small < len(s.started)*4/10
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
