package contention

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/ratemeter"
)

const (
	// minimumShare is the least share of the requests of a rank or a team that is served,
	// relative to the share of all requests that is. The required share is 0.25; the measured
	// one lags behind by some starts.
	minimumShare = 0.3
	// lateDivisor gives the share of the starts that late requests get while any wait: one of
	// lateDivisor. An answer that is late is worth a tenth to a third of one in time.
	lateDivisor = 8
	// maxLateDebt is how many late starts, for which no request in time waited, count
	// towards that share.
	maxLateDebt = 4
	// minimumTolerance is by how many starts a group may be below its minimum share: a
	// group of which one start is due gets it when half of it is.
	minimumTolerance = 0.5
)

// flow counts the callers of a group that arrived, and their requests that were started.
type flow struct{ arrivals, starts ratemeter.Meter }

// shares measures what the ranks, the teams and the late requests of a service got recently.
type shares struct {
	all   flow
	ranks map[int]*flow
	teams map[contract.TeamName]*flow
	// inTime counts the arrivals in time of each rank.
	inTime map[int]*ratemeter.Meter
	// ends counts the attempts that ended.
	ends ratemeter.Meter
	// lateCredit grows with each start while late requests wait, and falls with each late start.
	lateCredit float64
}

func (s *shares) init() {
	if s.ranks == nil {
		s.ranks, s.teams, s.inTime = map[int]*flow{}, map[contract.TeamName]*flow{}, map[int]*ratemeter.Meter{}
	}
}

// of returns the flow of a group, which it creates if necessary.
func of[K comparable, V any](groups map[K]*V, k K) *V {
	f, ok := groups[k]
	if !ok {
		f = new(V)
		groups[k] = f
	}
	return f
}

// recordArrival counts a caller's first request.
func (s *shares) recordArrival(now time.Time, r Request) {
	s.init()
	if r.Late || r.Resent {
		return
	}
	for _, f := range []*flow{&s.all, of(s.ranks, r.Rank), of(s.teams, r.Team)} {
		f.arrivals.Add(now, 1)
	}
	of(s.inTime, r.Rank).Add(now, 1)
}

// recordStart counts a request that was started while late ones waited, or without any.
func (s *shares) recordStart(now time.Time, r Request, lateWaits bool) {
	s.init()
	for _, f := range []*flow{&s.all, of(s.ranks, r.Rank), of(s.teams, r.Team)} {
		f.starts.Add(now, 1)
	}
	if lateWaits {
		s.lateCredit = min(s.lateCredit+1.0/lateDivisor, 1)
	}
	if r.Late {
		s.lateCredit = max(s.lateCredit-1, -maxLateDebt)
	}
}

// isLateTurn reports whether the next start is that of a late request.
func (s *shares) isLateTurn() bool { return s.lateCredit >= 1 }

// isBelowMinimum reports whether the rank or the team of a request got less than its minimum share.
func (s *shares) isBelowMinimum(now time.Time, r Request) bool {
	arrivals := s.all.arrivals.Level(now)
	if arrivals <= 0 {
		return false
	}
	minimum := minimumShare * s.all.starts.Level(now) / arrivals
	isBelow := func(f *flow) bool {
		return f != nil && f.starts.Level(now)+minimumTolerance < minimum*f.arrivals.Level(now)
	}
	return isBelow(s.ranks[r.Rank]) || isBelow(s.teams[r.Team])
}

// ofTeam returns how many requests of a team were started recently.
func (s *shares) ofTeam(now time.Time, team contract.TeamName) float64 {
	f, ok := s.teams[team]
	if !ok {
		return 0
	}
	return f.starts.Level(now)
}

// perSecond returns the average amount per second of a meter. It rises to that over the time constant of
// the meter, so that the first amounts do not count as a high rate.
func perSecond(now time.Time, m *ratemeter.Meter) float64 {
	return m.Level(now) / ratemeter.Window.Seconds()
}

// freeRate returns the rate, in a second, at which slots become free for this entry. Attempts that
// ended show less than that if not all slots were in use, and more if slots of other entries were.
func (s *shares) freeRate(now time.Time, slotRate float64) float64 {
	return max(perSecond(now, &s.ends), slotRate)
}

// urgentRate returns how many requests of lower ranks arrive in time in a second.
func (s *shares) urgentRate(now time.Time, rank int) float64 {
	total := 0.0
	for r, m := range s.inTime {
		if r < rank {
			total += perSecond(now, m)
		}
	}
	return total
}

// isLeastUrgent reports whether a rank is the least urgent of those whose requests arrive in time, and more
// arrive than can be served.
func (s *shares) isLeastUrgent(now time.Time, rank int, slotRate float64) bool {
	if s.urgentRate(now, rank) == 0 || s.inTimeRate(now) < s.freeRate(now, slotRate) {
		return false
	}
	for r := range s.inTime {
		if r > rank {
			return false
		}
	}
	return true
}

// inTimeRate returns how many requests arrive in time in a second.
func (s *shares) inTimeRate(now time.Time) float64 {
	total := 0.0
	for _, m := range s.inTime {
		total += perSecond(now, m)
	}
	return total
}
