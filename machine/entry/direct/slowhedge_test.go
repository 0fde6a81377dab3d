package direct

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log/handlers/memory"
	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/machine/entry/hedging"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
	"mimosastand.example/mimosastand/zone/poison"
	"mimosastand.example/mimosastand/zone/roster"
)

// slowObjective is the objective of the requests: a hedge is due after a quarter of it, since targets of
// the tests are predicted to begin sooner than that.
const slowObjective = 800 * time.Millisecond

// slowCall is a request of a paced service for a stream of two events, at the first of two targets.
type slowCall struct {
	*call
	t      *testing.T
	w      *httptest.ResponseRecorder
	logged *memory.Handler
	// connEnds has how the connections ended, by the order of the targets.
	connEnds [2]chan error
}

// newSlowCall returns a request to two targets, each of which answers with what its function writes to
// the connection.
func newSlowCall(t *testing.T, answers ...func(conn net.Conn)) *slowCall {
	t.Helper()
	s := &slowCall{t: t}
	var addresses []string
	for i, answer := range answers {
		s.connEnds[i] = make(chan error, 1)
		addresses = append(addresses, connTarget(t, func(conn net.Conn, _ *http.Request) {
			answer(conn)
			_, err := conn.Read(make([]byte, 1))
			s.connEnds[i] <- err
			_ = conn.Close()
		}))
	}
	s.call, s.w, s.logged = newHedgingCall(t, addresses...)
	s.route = &catalog.Route{Kind: catalog.Streaming, Resumable: true, MaxAttempts: 2, Objective: slowObjective}
	s.deadline = time.Now().Add(3 * time.Second)
	s.setHedging(1, true)
	return s
}

// setHedging reloads the settings with other extra work, and has the targets report a pace or not.
func (s *slowCall) setHedging(extraWork float64, paced bool) {
	s.entry.Reload(&config.Process{Fleet: &config.Fleet{Bounds: s.entry.fleet.bounds, Hedging: config.Hedging{ExtraWork: extraWork}}}, nil)
	s.entry.fleet.withPool(testService, func(now time.Time, p *placement.Pool) {
		const longAgo = time.Hour
		if !paced {
			now = now.Add(-longAgo)
		}
		p.PaceAnswered(now, "target-0", 100)
	})
	s.entry.fleet.recordPrompt(testService, 0)
}

// run sends the request to the first target, and checks that no attempt stays in flight. It returns how
// the last attempt ended, and the number of hedges.
func (s *slowCall) run() (outcome attempts.Outcome, hedges int) {
	s.t.Helper()
	var first placement.Choice
	s.entry.fleet.withPool(testService, func(now time.Time, p *placement.Pool) {
		first, _ = p.Pick(now, placement.Requirements{Tried: []roster.TargetID{"target-1"}}, time.Minute)
		p.Sent(now, first.ID)
	})
	s.arrived = time.Now()
	outcome, response := s.runAttempts(context.Background(), first)
	response.release()
	if flights := s.entry.fleet.ownFlights(); len(flights) != 0 {
		s.t.Errorf("%v in flight after the request, want nothing", flights)
	}
	for _, entry := range s.logged.Entries {
		if entry.Message == "hedge started" {
			hedges++
		}
	}
	return outcome, hedges
}

// check runs the request and compares its answer, the target that gave it and the number of hedges.
func (s *slowCall) check(name string, target roster.TargetID, hedges int) {
	s.t.Helper()
	outcome, got := s.run()
	if body := s.w.Body.String(); outcome != attempts.Completed || body != streamOf(name) || s.lastTarget != target || got != hedges {
		s.t.Errorf("outcome %v, %d hedges, body %q of %s; want Completed, %d and the stream of %s", outcome, got, body, s.lastTarget, hedges, target)
	}
}

// streamOf is the body of a stream of two events whose data is a name.
func streamOf(name string) string {
	return fmt.Sprintf("id: 1\ndata: %s\n\nid: 2\ndata: %s\n\n", name, name)
}

// streamAfter writes such a stream after a time.
func streamAfter(wait time.Duration, name string) func(net.Conn) {
	return func(conn net.Conn) {
		time.Sleep(wait)
		_, _ = io.WriteString(conn, answerText(http.StatusOK, "a", "Weight-Versions: 1\r\n", streamOf(name)))
	}
}

// isReset checks that the connection of an attempt was reset.
func (s *slowCall) isReset(target int) {
	s.t.Helper()
	if err := <-s.connEnds[target]; !errors.Is(err, syscall.ECONNRESET) {
		s.t.Errorf("the connection to target %d ended with %v, want a reset", target, err)
	}
}

// Guards against requests that wait for a slow target while another one is free, and against an ejection
// of the slow one: the hedge answers, and the first attempt is cancelled at once.
func TestHedgeReplacesSlowAttempt(t *testing.T) {
	t.Parallel()
	s := newSlowCall(t, func(net.Conn) {}, streamAfter(0, "two"))
	s.check("two", "target-1", 1)
	if took := time.Since(s.arrived); took > slowObjective {
		t.Errorf("the answer took %v, want at most the objective, %v", took, slowObjective)
	}
	s.isReset(0)
	s.entry.fleet.withPool(testService, func(now time.Time, p *placement.Pool) {
		if n := p.EjectedCount(now); n != 0 {
			t.Errorf("%d targets are ejected, want none", n)
		}
	})
	if s.attemptsSent != 2 || s.record.breakage != "" {
		t.Errorf("%d attempts sent, the last one broke off by %q; want 2 and a whole one", s.attemptsSent, s.record.breakage)
	}
}

// Guards against plain requests that wait for a slow target until it counts as silent.
func TestHedgeOfPlainRequest(t *testing.T) {
	t.Parallel()
	s := newSlowCall(t, func(net.Conn) {}, streamAfter(0, "two"))
	s.route = &catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2, Objective: slowObjective}
	s.check("two", "target-1", 1)
	s.isReset(0)
}

// Guards against pieces of two answers in one, and attempts that stay in flight, when both attempts
// answer at about the same time.
func TestCrossedAnswersOfHedge(t *testing.T) {
	t.Parallel()
	for i := range 12 {
		t.Run(fmt.Sprint("offset=", i), func(t *testing.T) {
			t.Parallel()
			// The hedge is sent after about 200 ms.
			s := newSlowCall(t, streamAfter(700*time.Millisecond, "one"), streamAfter(time.Duration(494+i)*time.Millisecond, "two"))
			if outcome, hedges := s.run(); outcome != attempts.Completed || hedges != 1 {
				t.Errorf("outcome %v, %d hedges, want Completed and 1", outcome, hedges)
			}
			if body := s.w.Body.String(); body != streamOf("one") && body != streamOf("two") {
				t.Errorf("body = %q, want the stream of one of the targets", body)
			}
		})
	}
}

// Guards against a request that ends with its hedge: the answer of the hedge is lost, or refused.
func TestFirstAttemptGoesOnWithoutHedge(t *testing.T) {
	t.Parallel()
	for name, second := range map[string]func(net.Conn){
		"lost":    func(net.Conn) {},
		"broken":  resetConn,
		"refused": func(conn net.Conn) { _, _ = io.WriteString(conn, answerText(503, "a", "Not-Executed: 1\r\n", "")) },
		"failed":  func(conn net.Conn) { _, _ = io.WriteString(conn, answerText(500, "a", "", "error")) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSlowCall(t, streamAfter(700*time.Millisecond, "one"), second)
			s.check("one", "target-0", 1)
			if name == "lost" {
				s.isReset(1)
			}
		})
	}
}

// Guards against extra work that nobody asked for, and against a hedge of what must not run twice, goes on
// with a stream on another version, or may crash a second target.
func TestAttemptsThatGetNoHedge(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*slowCall){
		"no extra work": func(s *slowCall) { s.setHedging(0, true) },
		"not paced":     func(s *slowCall) { s.setHedging(1, false) },
		"once only":     func(s *slowCall) { s.route.Resumable = false },
		"one attempt":   func(s *slowCall) { s.route.MaxAttempts = 1 },
		"retry budget": func(s *slowCall) {
			bounds := s.entry.fleet.bounds
			bounds.RetryBurst = 0
			s.entry.fleet.setBounds(bounds)
		},
		"other version": func(s *slowCall) {
			s.pinnedVersion = 1
			s.entry.fleet.applyTargetRecords(feed.Update{Records: []contract.Record{{Offset: 9, Key: "target-1", Value: []byte(
				`{"service":"models","address":"127.0.0.1:1","zone":"a","state":"ready","slots":8,"born":1,"seq_no":2,"stage":"both","layers":[{"from":0,"to":4,"version":2}]}`)}}})
		},
		"no free slot": func(s *slowCall) {
			s.entry.fleet.withPool(testService, func(_ time.Time, p *placement.Pool) { p.SetPeerLoad("target-1", 8) })
		},
		"may crash targets": func(s *slowCall) {
			s.suspect = poison.NewRequest(testService, nil)
			s.suspect.Whole = poison.WholeOf(testService, poison.Identity{URI: "/bad"})
			s.entry.fleet.recordCrash(poison.Observation{Crash: 1, Request: s.suspect, SentAt: time.Now().Add(-time.Second), BrokenAt: time.Now()})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSlowCall(t, streamAfter(500*time.Millisecond, "one"), streamAfter(0, "two"))
			change(s)
			s.check("one", "target-0", 0)
		})
	}
}

// Guards against a stream of two versions: engines change their weights between the two attempts, neither
// of which the caller has anything of.
func TestHedgeOnNewerVersionIsWhole(t *testing.T) {
	t.Parallel()
	s := newSlowCall(t, streamAfter(1500*time.Millisecond, "one"), func(conn net.Conn) {
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(conn, answerText(http.StatusOK, "a", "Weight-Versions: 2\r\n", streamOf("two")))
	})
	s.check("two", "target-1", 1)
	if version := s.w.Header().Get("Weight-Versions"); version != "2" || s.pinnedVersion != 2 {
		t.Errorf("version %s, pinned %d, want 2", version, s.pinnedVersion)
	}
}

// Guards against a request that ends with its first attempt, whose version ends while a hedge runs on a newer
// one: both together are all the attempts that the route allows. One that crashes targets ends with both.
func TestHedgeOutlivesVersionOfFirstAttempt(t *testing.T) {
	t.Parallel()
	for reason, wantDone := range map[breakage]bool{breakageOutdated: false, breakageCrashesTargets: true} {
		c, _, _ := newHedgingCall(t, "127.0.0.1:1", "127.0.0.1:2")
		p := &attemptPair{call: c, ctx: t.Context(), checks: make(chan struct{}, 1)}
		first, hedge := newExchange(c, placement.Choice{ID: "target-0", Version: 1}), newExchange(c, placement.Choice{ID: "target-1", Version: 2})
		p.current, p.hedge, hedge.outpaces = first, hedge, true
		for _, x := range []*exchange{first, hedge} {
			c.entry.fleet.withPool(testService, func(now time.Time, pool *placement.Pool) { pool.Sent(now, x.choice.ID) })
		}
		p.recordStart()
		if done := p.giveUp(reason); done != wantDone {
			t.Errorf("%s: giveUp() = %v, want %v", reason, done, wantDone)
		}
		if !wantDone && (p.current != hedge || p.hedge != nil || c.lastTarget != "target-1") {
			t.Errorf("%s: the attempt at %s goes on, want that of the hedge", reason, p.current.choice.ID)
		}
		p.endAll()
		if flights := c.entry.fleet.ownFlights(); !first.ended || len(flights) != 0 {
			t.Errorf("%s: first attempt ended: %v, %v in flight after the request; want its end and nothing", reason, first.ended, flights)
		}
	}
}

// Guards against a request that crashes every target: the first one crashes while the hedge runs, and the
// crash is recorded although the hedge answers.
func TestCrashBesideHedgeIsRecorded(t *testing.T) {
	t.Parallel()
	s := newSlowCall(t, func(conn net.Conn) {
		time.Sleep(700 * time.Millisecond)
		resetConn(conn)
	}, streamAfter(1000*time.Millisecond, "two"))
	s.check("two", "target-1", 1)
	if len(s.lostAttempts) != 1 || s.lostAttempts[0].choice.ID != "target-0" {
		t.Errorf("attempts that may have ended with a crash: %v, want that at target-0", s.lostAttempts)
	}
}

// Guards against a plain request whose objective has passed before the loop has it look at its attempt:
// the loop looks when the hedge is due, and again at its interval.
func TestLoopSignalsDueHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := newStartedState(time.Hour, 3)
		loop, other, p := newCheckLoop(fs), newWaitingPair(fs, 3), newWaitingPair(fs, 3)
		loop.watch(other)
		time.Sleep(checkInterval / 5)
		p.hedgeDue.Store(int64(fs.runTime() + 30*time.Millisecond))
		loop.watch(p)
		start := time.Now()
		for _, want := range []time.Duration{30 * time.Millisecond, 30*time.Millisecond + checkInterval} {
			<-p.checks
			if got := time.Since(start); got < want || got > want+minCheckInterval {
				t.Errorf("signal after %v, want it after %v", got, want)
			}
		}
		loop.unwatch(other)
		loop.unwatch(p)
		time.Sleep(2 * checkInterval)
	})
}

// Guards against more extra work than the limit allows when hedges are turned off and on again: those sent
// before must stay counted. 10 requests a second, of which a tenth may be sent twice.
func TestLimitOfExtraWorkOutlastsReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval, share, window = 100 * time.Millisecond, 0.1, 30 * time.Second
		fs := newStartedState(time.Hour, 1)
		fs.setBounds(config.Bounds{OldVersionGrace: time.Hour, RetryWindow: time.Millisecond, RetryBurst: 100})
		fs.setEntries([]contract.MachineID{"entry-1"})
		fs.applyTargetRecords(feed.Update{Records: []contract.Record{{Offset: 1, Key: "target-0", Value: []byte(
			`{"service":"models","address":"127.0.0.1:1","zone":"a","state":"ready","slots":8,"born":1,"seq_no":1,"stage":"both","layers":[{"from":0,"to":4,"version":1}]}`)}}})
		// hedgesAfter has requests arrive for d, and then returns how many hedges may start at once.
		hedgesAfter := func(d time.Duration) (hedges int) {
			for range int(d / interval) {
				time.Sleep(interval)
				fs.recordPrompt(testService, 0)
			}
			fs.recordPace(testService, "target-0", 100)
			attempt := hedging.Attempt{Predicted: 3 * time.Second, Objective: 4 * time.Second}
			for {
				time.Sleep(2 * time.Millisecond)
				choice, refusal := fs.pickHedge(testService, attempt, 0, placement.Requirements{}, 4*time.Second)
				if refusal != hedging.Allowed {
					return hedges
				}
				fs.recordAttemptEnd(testService, choice.ID)
				hedges++
			}
		}
		fs.setHedging(config.Hedging{ExtraWork: share})
		before := hedgesAfter(window - 5*time.Second)
		fs.setHedging(config.Hedging{})
		fs.setHedging(config.Hedging{ExtraWork: share})
		after := hedgesAfter(window - 10*time.Second)
		if most := share * float64(window/interval); before < 20 || float64(before+after) > most {
			t.Errorf("%d hedges, and %d after a reload, within %v; want at least 20 before it and at most %v in all", before, after, window, most)
		}
	})
}

// Guards against hedges that count with the usual size: the target counts as free for others although it
// has a large prompt to read.
func TestHedgeCountsWithSizeOfItsRequest(t *testing.T) {
	t.Parallel()
	s := newSlowCall(t, func(net.Conn) {}, func(net.Conn) {})
	s.entry.fleet.withPool(testService, func(_ time.Time, p *placement.Pool) {
		p.SetService(&catalog.Service{Engine: &catalog.Engine{Slots: 8, StepTime: time.Millisecond, Stride: 5, PrefillRate: 20000, PromptTokens: 500, AnswerTokens: 50}})
	})
	large := placement.Requirements{PromptTokens: 20000, AnswerTokens: 50, Tried: []roster.TargetID{"target-0"}}
	attempt := hedging.Attempt{Predicted: 3 * time.Second, Objective: 4 * time.Second}
	choice, refusal := s.entry.fleet.pickHedge(testService, attempt, 0, large, 4*time.Second)
	if refusal != hedging.Allowed {
		t.Fatalf("hedge not allowed: %q", refusal)
	}
	s.entry.fleet.withPool(testService, func(now time.Time, p *placement.Pool) {
		next, _ := p.Pick(now, placement.Requirements{Tried: []roster.TargetID{"target-0"}}, time.Minute)
		if next.ID != choice.ID || next.FirstEventDelay < 900*time.Millisecond {
			t.Errorf("a request behind the hedge at %s is predicted to begin after %v at %s, want about 1 s of reading before it", choice.ID, next.FirstEventDelay, next.ID)
		}
	})
}
