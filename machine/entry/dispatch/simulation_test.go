package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mimosastand.example/mimosastand/bench/serving/fake"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/zone/balancer"
)

// chooser makes the random choices of a simulation: it returns a number in [0, n).
type chooser func(n int) int

// simulation connects a state machine to fake targets over a network that loses, repeats,
// delays and misdirects messages, and checks the invariants.
type simulation struct {
	choose      chooser
	machine     *StateMachine
	now         time.Time
	targets     map[contract.MachineID]*fake.Target
	targetOrder []contract.MachineID
	packets     []packet
	// replyExchange holds the exchange on which the target replies about each attempt.
	replyExchange       map[contract.AttemptID]uint64
	exchangeTarget      map[uint64]contract.MachineID
	requests            map[contract.RequestID]Request
	streams             map[contract.RequestID][]Deliver
	finished            map[contract.RequestID]Finish
	lastIgnoredExchange uint64
	firstAttempts       int
	retries             int
	// refuseAll makes all targets refuse every attempt.
	refuseAll  bool
	violations []string
}

const simulatedTokens = 4

func newSimulation(choose chooser, disabled mechanism) *simulation {
	cfg := Config{Machine: "e1", Home: balancer.Place{Region: "khomas", Zone: "khomas-a"}}
	s := &simulation{
		choose: choose, machine: New(cfg, rand.New(rand.NewPCG(uint64(choose(1000)), 1))), now: epoch,
		targets: map[contract.MachineID]*fake.Target{}, replyExchange: map[contract.AttemptID]uint64{},
		exchangeTarget: map[uint64]contract.MachineID{}, requests: map[contract.RequestID]Request{},
		streams: map[contract.RequestID][]Deliver{}, finished: map[contract.RequestID]Finish{}, lastIgnoredExchange: 1 << 40,
	}
	s.machine.disabled = disabled
	s.step(HostsChanged{List: parseHosts(1, "t1 target khomas-a registry\nt2 target khomas-a registry\n"+
		"d1 target khomas-a drafts\nd2 target khomas-a drafts\nd3 target khomas-a drafts")})
	s.step(SettingsChanged{View: testView(1)})
	for _, id := range []contract.MachineID{"t1", "t2", "d1", "d2", "d3"} {
		c := fake.Config{Machine: id, Warm: 3, Cold: 1, ColdFor: time.Second, First: 50 * time.Millisecond, Gap: 20 * time.Millisecond}
		c.Model = id[0] == 'd'
		c.Digest = newDigest
		if id == "d3" {
			c.Digest = oldDigest
		}
		s.targets[id] = fake.New(s.now.Add(-time.Minute), c)
		s.targetOrder = append(s.targetOrder, id)
		s.step(LinkUp{Machine: id})
		s.sendHeartbeat(id)
	}
	return s
}

func (s *simulation) sendHeartbeat(id contract.MachineID) {
	t := s.targets[id]
	if t.Down() {
		return
	}
	load := t.Load(s.now, "e1")
	s.step(Heartbeat{Heartbeat: contract.Heartbeat{Machine: id, Incarnation: t.Incarnation(), Load: &load}})
}

func (s *simulation) step(ev Event) {
	for _, e := range s.machine.Step(s.now, ev, nil) {
		s.apply(e)
	}
}

func (s *simulation) apply(e Effect) {
	switch e := e.(type) {
	case SendStart:
		if e.Start.Remaining <= 0 {
			s.reportViolation("%s: sent after its deadline", e.Start.Attempt)
		}
		if e.Start.Attempt.N == 1 {
			s.firstAttempts++
		}
		s.send(e.Exchange, e.Target, contract.Message{Kind: contract.KindStart, Start: &e.Start})
	case SendQuery:
		if e.IgnoreReplies {
			s.lastIgnoredExchange++
			e.Exchange = s.lastIgnoredExchange
		}
		s.send(e.Exchange, e.Target, contract.Message{Kind: contract.KindQuery, Query: &e.Query})
	case SendCancel:
		s.send(e.Exchange, e.Target, contract.Message{Kind: contract.KindCancel, Cancel: &contract.Cancel{Attempt: e.Attempt}})
	case Deliver:
		s.recordPart(e)
	case Finish:
		s.recordFinish(e)
	case Count:
		if e.Counter == CountRetry {
			s.retries++
		}
	}
}

// sendRequest sends a random request.
func (s *simulation) sendRequest() {
	id := contract.RequestID(fmt.Sprintf("r%d", len(s.requests)+1))
	r := Request{
		ID: id, Service: "registry", Team: "north", Kind: settings.KindPlain, Tokens: simulatedTokens,
		Timeout: time.Duration(s.choose(20)) * time.Second, Idempotent: s.choose(2) == 0,
	}
	if s.choose(2) == 0 {
		r.Service, r.Kind = "drafts", settings.KindModel
	}
	s.requests[id] = r
	s.step(RequestArrived{Request: r})
}

// advance lets time pass for the targets and the state machine.
func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, id := range s.targetOrder {
		t := s.targets[id]
		for next, ok := t.Next(); ok && !next.After(s.now); next, ok = t.Next() {
			for _, out := range t.Tick(s.now) {
				exchange := s.replyExchange[out.Attempt]
				s.reply(packet{exchange: exchange, target: id}, out.Message)
			}
		}
		s.sendHeartbeat(id)
	}
	s.step(Tick{})
}

func (s *simulation) killOrRestart() {
	id := s.targetOrder[s.choose(len(s.targetOrder))]
	t := s.targets[id]
	if t.Down() {
		t.Restart(s.now)
		s.step(LinkUp{Machine: id})
		s.sendHeartbeat(id)
		return
	}
	t.Kill()
	s.step(LinkDown{Machine: id, Reason: contract.ReasonLinkDown})
	for exchange := uint64(1); exchange <= s.machine.lastExchange; exchange++ {
		if s.exchangeTarget[exchange] == id {
			s.step(ExchangeBroken{Exchange: exchange, Reason: contract.ReasonLinkDown})
		}
	}
}

// run makes random steps, lets all requests end, and checks the invariants.
func (s *simulation) run(steps int, withKills bool) {
	for range steps {
		switch s.choose(12) {
		case 0, 1:
			s.sendRequest()
		case 2:
			s.breakExchange()
		case 3:
			s.injectFault(s.choose(4))
		case 4:
			if withKills {
				s.killOrRestart()
			}
		case 5, 6:
			s.advance(time.Duration(s.choose(400)) * time.Millisecond)
		default:
			s.deliverPacket()
		}
	}
	for range 400 {
		s.advance(100 * time.Millisecond)
		for range 30 {
			s.deliverPacket()
		}
	}
	s.checkInvariants()
}
