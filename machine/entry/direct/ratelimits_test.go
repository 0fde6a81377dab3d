package direct

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
	standins "mimosastand.example/mimosastand/standin/fleet"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
	"mimosastand.example/mimosastand/zone/roster"
)

const (
	limitedService = contract.ServiceName("plain")
	// simulationStep is the time between two requests of each entry, answerDelay that from a
	// request to its answer, and reportInterval that between two heartbeats.
	simulationStep = 50 * time.Millisecond
	answerDelay    = 80 * time.Millisecond
	reportInterval = 250 * time.Millisecond
)

// fleetSizes are the numbers of entries that the tests play.
var fleetSizes = []int{3, 9, 40}

// simulatedTarget counts what reaches it and names a limit in each answer, if it has one.
type simulatedTarget struct {
	id       roster.TargetID
	born     int64
	limited  bool
	limit    float64
	arrivals []standins.Arrival
}

// setLimit sets the limit; a negative one lifts it.
func (s *simulatedTarget) setLimit(perSecond float64) { s.limited, s.limit = perSecond >= 0, perSecond }

// arrivalsSince returns the requests that arrived from a time on.
func (s *simulatedTarget) arrivalsSince(from time.Time) []standins.Arrival {
	return standins.ArrivalsSince(s.arrivals, from)
}

// mostArrivals returns the most requests that arrived within LimitWindow, from a time on.
func (s *simulatedTarget) mostArrivals(from time.Time) int {
	return standins.MostArrivals(s.arrivalsSince(from))
}

// limitSimulation is a fleet of entries, each of which has a request every simulationStep.
type limitSimulation struct {
	names   []contract.MachineID
	entries []*fleetState
	targets []*simulatedTarget
	// paused entries do nothing; isolated ones get no heartbeats and send none.
	paused, isolated map[int]bool
	// idle is set if there are no requests.
	idle bool
	// retries is set if no target runs a request, so that each is sent to a second one.
	retries bool
}

func newLimitSimulation(entries, targets int) *limitSimulation {
	s := &limitSimulation{names: entryNames(entries), paused: map[int]bool{}, isolated: map[int]bool{}}
	for i := range targets {
		s.targets = append(s.targets, &simulatedTarget{id: roster.TargetID(fmt.Sprintf("target-%d", i)), born: 1})
	}
	for i := range s.names {
		s.entries = append(s.entries, s.newEntry(i, s.names))
	}
	// What a former process has sent is unknown in the first seconds of a process.
	s.idle = true
	s.run(20 * time.Second)
	s.idle = false
	return s
}

// newEntry starts the process of an entry, which knows the given ones.
func (s *limitSimulation) newEntry(i int, known []contract.MachineID) *fleetState {
	fs := newEmptyState(config.Bounds{})
	fs.process.Machine = s.names[i]
	fs.applyOperatorRecords(feed.Update{Records: []contract.Record{{Offset: 1, Key: platform.KeyManifest, Value: []byte(
		`{"version":1,"services":[{"name":"plain"}]}`)}}})
	fs.setEntries(known)
	s.list(fs)
	return fs
}

// list gives an entry the target list.
func (s *limitSimulation) list(fs *fleetState) {
	update := feed.Update{}
	for i, t := range s.targets {
		update.Records = append(update.Records, contract.Record{Offset: int64(i + 1), Key: string(t.id), Value: fmt.Appendf(nil,
			`{"service":"plain","address":"10.0.0.%d:80","zone":"a","state":"ready","slots":100000,"seq_no":1,"born":%d}`, i+1, t.born)})
	}
	fs.applyTargetRecords(update)
}

// run lets time pass.
func (s *limitSimulation) run(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(simulationStep) {
		for i, fs := range s.entries {
			if s.paused[i] || s.idle {
				continue
			}
			first := s.send(fs, nil)
			if s.retries && first != "" {
				s.send(fs, []roster.TargetID{first})
			}
		}
		if time.Now().UnixMilli()%reportInterval.Milliseconds() == 0 {
			s.exchangeReports()
		}
	}
}

// send has an entry place an attempt of a request that the given targets have refused. It
// returns the target, or "" if there was none.
func (s *limitSimulation) send(fs *fleetState, tried []roster.TargetID) roster.TargetID {
	choice, refusal := fs.pickTarget(limitedService, placement.Requirements{Tried: tried}, time.Hour)
	if refusal != placement.Placed {
		return ""
	}
	index := slices.IndexFunc(s.targets, func(t *simulatedTarget) bool { return t.id == choice.ID })
	t, sentAt := s.targets[index], time.Now()
	t.arrivals = append(t.arrivals, standins.Arrival{At: sentAt})
	limited, limit := t.limited, t.limit
	time.AfterFunc(answerDelay, func() {
		if limited {
			fs.recordNamedLimit(choice, sentAt, limit)
		} else {
			fs.recordNoLimit(choice, sentAt)
		}
		fs.recordAttemptEnd(limitedService, choice.ID)
	})
	return choice.ID
}

// exchangeReports sends the heartbeats of all entries.
func (s *limitSimulation) exchangeReports() {
	for i, from := range s.entries {
		hb := contract.Heartbeat{Machine: s.names[i], RateLimits: from.rateLimitReports()}
		for j, to := range s.entries {
			if i != j && !s.isolated[i] && !s.isolated[j] && !s.paused[i] && !s.paused[j] {
				to.applyHeartbeat(hb)
			}
		}
	}
}

// Guards the bound on the sum over all entries of what a target gets that limits its rate
// (LIMIT, incident inc1-limit), whatever happens to single entries: each that held the limit
// for itself would multiply it.
func TestEntriesKeepSumWithinRateLimit(t *testing.T) {
	cases := []struct {
		name string
		play func(s *limitSimulation)
	}{
		{"steady", func(s *limitSimulation) { s.run(30 * time.Second) }},
		{"no request for a minute", func(s *limitSimulation) {
			s.idle = true
			s.run(time.Minute)
			s.idle = false
			s.run(30 * time.Second)
		}},
		{"entries restart in turn", func(s *limitSimulation) {
			for i := range 10 {
				index := i % len(s.entries)
				s.entries[index] = s.newEntry(index, s.names)
				s.run(3 * time.Second)
			}
		}},
		{"entries pause in turn", func(s *limitSimulation) {
			for i := range 6 {
				s.paused[i%len(s.entries)] = true
				s.run(5 * time.Second)
				s.paused[i%len(s.entries)] = false
				s.run(time.Second)
			}
		}},
		{"one entry cut off from its peers", func(s *limitSimulation) {
			s.isolated[0] = true
			s.run(30 * time.Second)
		}},
		{"all entries cut off from each other", func(s *limitSimulation) {
			for i := range s.entries {
				s.isolated[i] = true
			}
			s.run(time.Minute)
		}},
		{"all but one entry idle", func(s *limitSimulation) {
			for i := range s.entries[1:] {
				s.paused[i+1] = true
			}
			s.run(time.Minute)
		}},
		{"an entry joins that those cut off from the store do not know", func(s *limitSimulation) {
			s.names = append(s.names, "entry-joined")
			s.entries = append(s.entries, s.newEntry(len(s.names)-1, s.names))
			s.run(30 * time.Second)
		}},
	}
	for _, c := range cases {
		for _, entries := range fleetSizes {
			t.Run(fmt.Sprintf("%s/%d entries", c.name, entries), func(t *testing.T) {
				t.Parallel()
				for _, limit := range []float64{0, 0.5, 2, 100} {
					synctest.Test(t, func(t *testing.T) {
						s := newLimitSimulation(entries, 2)
						s.targets[0].setLimit(limit)
						named := time.Now()
						s.run(standins.LimitNotice)
						c.play(s)
						got, want := s.targets[0].mostArrivals(named.Add(standins.LimitNotice)), standins.AllowedArrivals(limit)
						if got > want {
							t.Errorf("limit %v: %d requests in %v, want at most %d", limit, got, standins.LimitWindow, want)
						}
						t.Logf("limit %v: got %d requests in %v, allowed %d", limit, got, standins.LimitWindow, want)
					})
				}
			})
		}
	}
}

// Guards against a limit that outlives its cause, or that is missed when it falls: with few
// or no requests to the target, few or no answers tell.
func TestEntriesFollowChangedRateLimit(t *testing.T) {
	const low, high = 0.5, 60.0
	// free is how many requests in standins.LimitWindow show that the target is not held to low.
	const free = 50
	cases := []struct {
		name string
		// before and after are the limits, negative for none; idle is set if no entry has
		// requests while the limit changes.
		before, after float64
		idle          bool
	}{
		{"falls", high, low, false},
		{"rises", low, high, false},
		{"is lifted", low, -1, false},
		{"falls while nobody asks", high, low, true},
		{"rises while nobody asks", low, high, true},
		{"is lifted while nobody asks", low, -1, true},
		{"is named again", -1, low, false},
	}
	for _, c := range cases {
		for _, entries := range fleetSizes {
			t.Run(fmt.Sprintf("%s/%d entries", c.name, entries), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					s := newLimitSimulation(entries, 2)
					target := s.targets[0]
					target.setLimit(c.before)
					s.run(10 * time.Second)
					s.idle = c.idle
					s.run(20 * time.Second)
					target.setLimit(c.after)
					s.run(20 * time.Second)
					s.idle = false
					s.run(standins.LimitNotice)
					from := time.Now()
					s.run(20 * time.Second)
					got := target.mostArrivals(from)
					if c.after == low && got > standins.AllowedArrivals(low) {
						t.Errorf("%d requests in %v, want at most %d", got, standins.LimitWindow, standins.AllowedArrivals(low))
					}
					if c.after != low && got < free {
						t.Errorf("%d requests in %v, want at least %d", got, standins.LimitWindow, free)
					}
					t.Logf("limit %v then %v: got %d requests in %v", c.before, c.after, got, standins.LimitWindow)
				})
			})
		}
	}
}

// Guards against a limit that passes to the engine that took the place of another, under the
// same name and address, and against reports of other entries that bring it back.
func TestRateLimitEndsWithIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitSimulation(3, 1)
		target := s.targets[0]
		target.setLimit(0.5)
		s.run(10 * time.Second)
		target.born, target.limited = 2, false
		for _, fs := range s.entries {
			s.list(fs)
		}
		replaced := time.Now()
		s.run(time.Second)
		if got, want := len(target.arrivalsSince(replaced)), 3*int(time.Second/simulationStep); got < want {
			t.Errorf("%d requests to the new engine in its first second, want all %d", got, want)
		}
	})
}

// Guards against requests that wait although the targets limit their rate: they are refused
// at once, with a time after which to come back, and no target gets more than it named.
func TestAllTargetsLimitedRefusesAtOnce(t *testing.T) {
	for _, entries := range fleetSizes {
		synctest.Test(t, func(t *testing.T) {
			const limit = 0.5
			s := newLimitSimulation(entries, 3)
			for _, target := range s.targets {
				target.setLimit(limit)
			}
			s.run(standins.LimitNotice)
			from := time.Now()
			s.run(20 * time.Second)
			for _, target := range s.targets {
				if got := target.mostArrivals(from); got > standins.AllowedArrivals(limit) || got == 0 {
					t.Errorf("%d entries: %s got %d requests in %v, want 1 to %d", entries, target.id, got, standins.LimitWindow, standins.AllowedArrivals(limit))
				}
			}
			fs := s.entries[0]
			for {
				if _, refusal := fs.pickTarget(limitedService, placement.Requirements{}, time.Hour); refusal != placement.Placed {
					break
				}
			}
			c := &call{
				entry: &Entry{fleet: fs}, service: limitedService, arrived: time.Now(), deadline: time.Now().Add(time.Minute),
				route: &catalog.Route{Objective: 10 * time.Second},
			}
			_, reason, retryAfter := c.placeAttempt(context.Background())
			if reason != contract.ReasonTargetLimit || retryAfter <= 0 || time.Since(c.arrived) > 0 {
				t.Errorf("%d entries: placeAttempt() = %q, return after %v, after %v, want target_limit, a time and no wait", entries, reason, retryAfter, time.Since(c.arrived))
			}
		})
	}
}

// Guards against retries that do not count: a request that a target did not run goes to
// another one, and what arrives there counts towards that one's limit.
func TestRetriesCountTowardsRateLimit(t *testing.T) {
	for _, entries := range fleetSizes {
		synctest.Test(t, func(t *testing.T) {
			const limit = 2
			s := newLimitSimulation(entries, 2)
			for _, target := range s.targets {
				target.setLimit(limit)
			}
			s.retries = true
			s.run(standins.LimitNotice)
			from := time.Now()
			s.run(20 * time.Second)
			for _, target := range s.targets {
				if got := target.mostArrivals(from); got > standins.AllowedArrivals(limit) {
					t.Errorf("%d entries: %s got %d requests in %v, want at most %d", entries, target.id, got, standins.LimitWindow, standins.AllowedArrivals(limit))
				}
			}
		})
	}
}
