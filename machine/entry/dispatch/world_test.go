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

// chooser makes the choices of a run.
type chooser func(n int) int

// world joins a machine to fake targets over a network that loses, repeats,
// delays and misdirects messages, and checks the promises.
type world struct {
	choose  chooser
	machine *StateMachine
	now     time.Time
	targets map[contract.MachineID]*fake.Target
	order   []contract.MachineID
	packets []packet
	// follows is the exchange on which a target answers an attempt.
	follows  map[contract.AttemptID]uint64
	via      map[uint64]contract.MachineID
	requests map[contract.RequestID]Request
	streams  map[contract.RequestID][]Deliver
	finished map[contract.RequestID]Finish
	forgets  uint64
	first    int
	budgeted int
	// storm makes all targets refuse everything.
	storm  bool
	faults []string
}

const worldTokens = 4

func newWorld(choose chooser, off mechanism) *world {
	cfg := Config{Machine: "e1", Home: balancer.Place{Region: "khomas", Zone: "khomas-a"}}
	w := &world{
		choose: choose, machine: New(cfg, rand.New(rand.NewPCG(uint64(choose(1000)), 1))), now: epoch,
		targets: map[contract.MachineID]*fake.Target{}, follows: map[contract.AttemptID]uint64{},
		via: map[uint64]contract.MachineID{}, requests: map[contract.RequestID]Request{},
		streams: map[contract.RequestID][]Deliver{}, finished: map[contract.RequestID]Finish{}, forgets: 1 << 40,
	}
	w.machine.off = off
	w.step(HostsChanged{List: parseHosts(1, "t1 target khomas-a registry\nt2 target khomas-a registry\n"+
		"d1 target khomas-a drafts\nd2 target khomas-a drafts\nd3 target khomas-a drafts")})
	w.step(SettingsChanged{View: testView(1)})
	for _, id := range []contract.MachineID{"t1", "t2", "d1", "d2", "d3"} {
		c := fake.Config{Machine: id, Warm: 3, Cold: 1, ColdFor: time.Second, First: 50 * time.Millisecond, Gap: 20 * time.Millisecond}
		c.Model = id[0] == 'd'
		c.Digest = newDigest
		if id == "d3" {
			c.Digest = oldDigest
		}
		w.targets[id] = fake.New(w.now.Add(-time.Minute), c)
		w.order = append(w.order, id)
		w.step(LinkUp{Machine: id})
		w.beat(id)
	}
	return w
}

func (w *world) beat(id contract.MachineID) {
	t := w.targets[id]
	if t.Down() {
		return
	}
	load := t.Load(w.now, "e1")
	w.step(Heartbeat{Heartbeat: contract.Heartbeat{Machine: id, Incarnation: t.Incarnation(), Load: &load}})
}

func (w *world) step(ev Event) {
	for _, e := range w.machine.Step(w.now, ev, nil) {
		w.apply(e)
	}
}

func (w *world) apply(e Effect) {
	switch e := e.(type) {
	case SendStart:
		if e.Start.Remaining <= 0 {
			w.fault("%s sent after its deadline", e.Start.Attempt)
		}
		if e.Start.Attempt.N == 1 {
			w.first++
		}
		w.send(e.Exchange, e.Target, contract.Message{Kind: contract.KindStart, Start: &e.Start})
	case SendQuery:
		if e.IgnoreReplies {
			w.forgets++
			e.Exchange = w.forgets
		}
		w.send(e.Exchange, e.Target, contract.Message{Kind: contract.KindQuery, Query: &e.Query})
	case SendCancel:
		w.send(e.Exchange, e.Target, contract.Message{Kind: contract.KindCancel, Cancel: &contract.Cancel{Attempt: e.Attempt}})
	case Deliver:
		w.deliver(e)
	case Finish:
		w.finish(e)
	case Count:
		if e.Counter == CountRetry {
			w.budgeted++
		}
	}
}

// arrive brings a random request.
func (w *world) arrive() {
	id := contract.RequestID(fmt.Sprintf("r%d", len(w.requests)+1))
	r := Request{
		ID: id, Service: "registry", Team: "north", Kind: settings.KindPlain, Tokens: worldTokens,
		Timeout: time.Duration(w.choose(20)) * time.Second, Idempotent: w.choose(2) == 0,
	}
	if w.choose(2) == 0 {
		r.Service, r.Kind = "drafts", settings.KindModel
	}
	w.requests[id] = r
	w.step(RequestArrived{Request: r})
}

// advance lets targets work and timers run.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, id := range w.order {
		t := w.targets[id]
		for next, ok := t.Next(); ok && !next.After(w.now); next, ok = t.Next() {
			for _, out := range t.Tick(w.now) {
				exchange := w.follows[out.Attempt]
				w.reply(packet{exchange: exchange, target: id}, out.Message)
			}
		}
		w.beat(id)
	}
	w.step(Tick{})
}

func (w *world) kill() {
	id := w.order[w.choose(len(w.order))]
	t := w.targets[id]
	if t.Down() {
		t.Restart(w.now)
		w.step(LinkUp{Machine: id})
		w.beat(id)
		return
	}
	t.Kill()
	w.step(LinkDown{Machine: id, Reason: contract.ReasonLinkDown})
	for exchange := uint64(1); exchange <= w.machine.exchange; exchange++ {
		if w.via[exchange] == id {
			w.step(ExchangeBroken{Exchange: exchange, Reason: contract.ReasonLinkDown})
		}
	}
}

// run makes random moves and then lets everything come to its end.
func (w *world) run(moves int, deaths bool) {
	for range moves {
		switch w.choose(12) {
		case 0, 1:
			w.arrive()
		case 2:
			w.cut()
		case 3:
			w.spoil(w.choose(4))
		case 4:
			if deaths {
				w.kill()
			}
		case 5, 6:
			w.advance(time.Duration(w.choose(400)) * time.Millisecond)
		default:
			w.pass()
		}
	}
	for range 400 {
		w.advance(100 * time.Millisecond)
		for range 30 {
			w.pass()
		}
	}
	w.check()
}
