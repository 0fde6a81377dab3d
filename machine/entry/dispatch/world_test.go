package dispatch

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"time"

	"mimosastand.example/mimosastand/bench/serving/fake"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/retry"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/zone/balancer"
)

// chooser makes the choices of a run.
type chooser func(n int) int

// packet is a message under way on an exchange, in either direction.
type packet struct {
	exchange uint64
	target   contract.MachineID
	toEntry  bool
	// run is the target's incarnation when the message was sent; a connection
	// does not survive the process at its end.
	run     contract.Incarnation
	message contract.Message
}

// world joins a machine to fake targets over a network that loses, repeats,
// delays and misdirects messages, and checks the promises.
type world struct {
	choose  chooser
	machine *Machine
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
		if e.Forget {
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

func (w *world) send(exchange uint64, target contract.MachineID, m contract.Message) {
	w.via[exchange] = target
	run := w.targets[target].Incarnation()
	w.packets = append(w.packets, packet{exchange: exchange, target: target, run: run, message: m})
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// deliver checks that a stream has no gap, no repetition and one digest.
func (w *world) deliver(d Deliver) {
	had := w.streams[d.Request]
	if d.At != uint64(len(had)) {
		w.fault("%s: part at %d after %d parts", d.Request, d.At, len(had))
	}
	w.streams[d.Request] = append(had, d)
}

func (w *world) finish(f Finish) {
	if _, twice := w.finished[f.Request]; twice {
		w.fault("%s finished twice", f.Request)
	}
	w.finished[f.Request] = f
	if f.Outcome == contract.OutcomeDone {
		w.checkAnswer(w.requests[f.Request], f)
	}
}

func (w *world) checkAnswer(r Request, f Finish) {
	if r.Kind == settings.KindPlain {
		if !bytes.Equal(f.Answer.Body, fake.Part(r.ID, "", 0)) {
			w.fault("%s: answer %q is not its own", r.ID, f.Answer.Body)
		}
		return
	}
	if len(w.streams[r.ID]) != worldTokens {
		w.fault("%s: %d of %d tokens passed off as whole", r.ID, len(w.streams[r.ID]), worldTokens)
	}
	for _, d := range w.streams[r.ID] {
		if !bytes.Equal(d.Data, fake.Part(r.ID, f.Weights, d.At)) {
			w.fault("%s: part %d is not of %s", r.ID, d.At, f.Weights.Short())
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
	w.step(Arrive{Request: r})
}

// pass delivers the oldest packet of the exchange of a random packet.
func (w *world) pass() {
	if len(w.packets) == 0 {
		return
	}
	exchange := w.packets[w.choose(len(w.packets))].exchange
	for i, p := range w.packets {
		if p.exchange == exchange {
			w.packets = append(w.packets[:i], w.packets[i+1:]...)
			w.receive(p)
			return
		}
	}
}

func (w *world) receive(p packet) {
	if p.toEntry {
		w.step(Received{Exchange: p.exchange, Message: p.message})
		return
	}
	t := w.targets[p.target]
	if t.Down() || p.run != t.Incarnation() {
		return
	}
	switch p.message.Kind {
	case contract.KindStart:
		w.follows[p.message.Start.Attempt] = p.exchange
		if w.storm {
			w.reply(p, w.refusal(p.message.Start.Attempt))
			return
		}
		w.reply(p, t.Start(w.now, "e1", *p.message.Start))
	case contract.KindQuery:
		if p.message.Query.Resend {
			w.follows[p.message.Query.Attempt] = p.exchange
		}
		for _, m := range t.Query(w.now, *p.message.Query) {
			w.reply(p, m)
		}
	case contract.KindCancel:
		t.Cancel(p.message.Cancel.Attempt)
	}
}

// refusal is what an overloaded target says that promised room.
func (w *world) refusal(id contract.AttemptID) contract.Message {
	return contract.Message{Kind: contract.KindRefuse, Refuse: &contract.Refuse{Attempt: id, Reason: contract.ReasonTargetFull}}
}

func (w *world) reply(p packet, m contract.Message) {
	w.packets = append(w.packets, packet{exchange: p.exchange, target: p.target, toEntry: true, message: m})
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

// cut breaks the exchange of a random packet; what was under way to the target
// may still arrive.
func (w *world) cut() {
	if len(w.packets) == 0 {
		return
	}
	broken := w.packets[w.choose(len(w.packets))].exchange
	lost := w.choose(2) == 0
	left := w.packets[:0]
	for _, p := range w.packets {
		if p.exchange != broken || !p.toEntry && !lost {
			left = append(left, p)
		}
	}
	w.packets = left
	w.step(Broken{Exchange: broken, Reason: contract.ReasonLinkDown})
}

// spoil loses, repeats or misdirects one packet without a sign of it, or brings
// a message that nobody sent.
func (w *world) spoil(kind int) {
	if len(w.packets) == 0 {
		return
	}
	i := w.choose(len(w.packets))
	p := w.packets[i]
	switch kind {
	case 0:
		w.packets = append(w.packets[:i], w.packets[i+1:]...)
	case 1:
		w.packets = append(w.packets, p)
	case 2:
		if p.toEntry {
			p.exchange = w.packets[w.choose(len(w.packets))].exchange
			w.receive(p)
		}
	case 3:
		w.step(Received{Exchange: p.exchange, Message: w.garbage()})
	}
}

// garbage is a message that no target sends: about no attempt, out of sequence,
// or without the field that its kind names.
func (w *world) garbage() contract.Message {
	id := contract.AttemptID{Request: contract.RequestID(fmt.Sprintf("r%d", w.choose(20))), N: uint32(w.choose(3))}
	switch w.choose(4) {
	case 0:
		return contract.Message{Kind: contract.Kind(w.choose(40))}
	case 1:
		return contract.Message{Kind: contract.KindChunk, Chunk: &contract.Chunk{Attempt: id, Seq: 1 << 60, At: ^uint64(0)}}
	case 2:
		return contract.Message{Kind: contract.KindQuery, Query: &contract.Query{Attempt: id}}
	default:
		return contract.Message{Kind: contract.KindAccept, Accept: &contract.Accept{Attempt: id, Load: contract.Load{Seq: 1 << 40, Credits: 9}}}
	}
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
			w.step(Broken{Exchange: exchange, Reason: contract.ReasonLinkDown})
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

// check compares what the machine told with what the targets did.
func (w *world) check() {
	for id, r := range w.requests {
		f, ok := w.finished[id]
		if !ok {
			w.fault("%s has no answer", id)
			continue
		}
		runs := 0
		for _, t := range w.targets {
			runs += t.Runs[id]
		}
		if f.Outcome == contract.OutcomeNotRun && runs > 0 {
			w.fault("%s is told not run (%s) and ran", id, f.Reason)
		}
		if !r.Idempotent && runs > 1 {
			w.fault("%s ran %d times", id, runs)
		}
	}
	if allowed := 2*retry.Burst + 0.2*float64(w.first); float64(w.budgeted) > allowed {
		w.fault("%d retries for %d requests", w.budgeted, w.first)
	}
}

// unknowns counts requests that may not be repeated whose outcome is unknown
// although they had the time.
func (w *world) unknowns() int {
	n := 0
	for id, f := range w.finished {
		if f.Outcome == contract.OutcomeUnknown && f.Reason != contract.ReasonDeadline && !w.requests[id].Idempotent {
			n++
		}
	}
	return n
}
