package dispatch

import (
	"fmt"

	"mimosastand.example/mimosastand/contract"
)

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

func (w *world) send(exchange uint64, target contract.MachineID, m contract.Message) {
	w.via[exchange] = target
	run := w.targets[target].Incarnation()
	w.packets = append(w.packets, packet{exchange: exchange, target: target, run: run, message: m})
}

func (w *world) reply(p packet, m contract.Message) {
	w.packets = append(w.packets, packet{exchange: p.exchange, target: p.target, toEntry: true, message: m})
}

// refusal is what an overloaded target says that promised room.
func (w *world) refusal(id contract.AttemptID) contract.Message {
	return contract.Message{Kind: contract.KindRefuse, Refuse: &contract.Refuse{Attempt: id, Reason: contract.ReasonTargetFull}}
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
		w.step(MessageReceived{Exchange: p.exchange, Message: p.message})
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
	w.step(ExchangeBroken{Exchange: broken, Reason: contract.ReasonLinkDown})
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
		w.step(MessageReceived{Exchange: p.exchange, Message: w.garbage()})
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
