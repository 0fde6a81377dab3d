package dispatch

import (
	"fmt"

	"mimosastand.example/mimosastand/contract"
)

// packet is a message in transit on an exchange, in either direction.
type packet struct {
	exchange uint64
	target   contract.MachineID
	toEntry  bool
	// incarnation is the incarnation of the target when the message was sent. A message
	// to another incarnation is lost, since the connection ends with the process.
	incarnation contract.Incarnation
	message     contract.Message
}

func (s *simulation) send(exchange uint64, target contract.MachineID, m contract.Message) {
	s.exchangeTarget[exchange] = target
	incarnation := s.targets[target].Incarnation()
	s.packets = append(s.packets, packet{exchange: exchange, target: target, incarnation: incarnation, message: m})
}

func (s *simulation) reply(p packet, m contract.Message) {
	s.packets = append(s.packets, packet{exchange: p.exchange, target: p.target, toEntry: true, message: m})
}

// newRefusal returns the refusal of an overloaded target whose load report showed room.
func (s *simulation) newRefusal(id contract.AttemptID) contract.Message {
	return contract.Message{Kind: contract.KindRefuse, Refuse: &contract.Refuse{Attempt: id, Reason: contract.ReasonTargetFull}}
}

// deliverPacket delivers the oldest packet of a randomly chosen exchange.
func (s *simulation) deliverPacket() {
	if len(s.packets) == 0 {
		return
	}
	exchange := s.packets[s.choose(len(s.packets))].exchange
	for i, p := range s.packets {
		if p.exchange == exchange {
			s.packets = append(s.packets[:i], s.packets[i+1:]...)
			s.receive(p)
			return
		}
	}
}

func (s *simulation) receive(p packet) {
	if p.toEntry {
		s.step(MessageReceived{Exchange: p.exchange, Message: p.message})
		return
	}
	t := s.targets[p.target]
	if t.Down() || p.incarnation != t.Incarnation() {
		return
	}
	switch p.message.Kind {
	case contract.KindStart:
		s.replyExchange[p.message.Start.Attempt] = p.exchange
		if s.refuseAll {
			s.reply(p, s.newRefusal(p.message.Start.Attempt))
			return
		}
		s.reply(p, t.Start(s.now, "e1", *p.message.Start))
	case contract.KindQuery:
		if p.message.Query.Resend {
			s.replyExchange[p.message.Query.Attempt] = p.exchange
		}
		for _, m := range t.Query(s.now, *p.message.Query) {
			s.reply(p, m)
		}
	case contract.KindCancel:
		t.Cancel(p.message.Cancel.Attempt)
	}
}

// breakExchange breaks a randomly chosen exchange. Packets in transit to the target may
// still arrive.
func (s *simulation) breakExchange() {
	if len(s.packets) == 0 {
		return
	}
	broken := s.packets[s.choose(len(s.packets))].exchange
	dropsOutgoing := s.choose(2) == 0
	remaining := s.packets[:0]
	for _, p := range s.packets {
		if p.exchange != broken || !p.toEntry && !dropsOutgoing {
			remaining = append(remaining, p)
		}
	}
	s.packets = remaining
	s.step(ExchangeBroken{Exchange: broken, Reason: contract.ReasonLinkDown})
}

// injectFault silently loses, repeats or misdirects one packet, or delivers a message
// that no target sent.
func (s *simulation) injectFault(kind int) {
	if len(s.packets) == 0 {
		return
	}
	i := s.choose(len(s.packets))
	p := s.packets[i]
	switch kind {
	case 0:
		s.packets = append(s.packets[:i], s.packets[i+1:]...)
	case 1:
		s.packets = append(s.packets, p)
	case 2:
		if p.toEntry {
			p.exchange = s.packets[s.choose(len(s.packets))].exchange
			s.receive(p)
		}
	case 3:
		s.step(MessageReceived{Exchange: p.exchange, Message: s.invalidMessage()})
	}
}

// invalidMessage returns a message that no target sends: one about an unknown attempt,
// out of sequence, of a wrong kind, or without the field that its kind requires.
func (s *simulation) invalidMessage() contract.Message {
	id := contract.AttemptID{Request: contract.RequestID(fmt.Sprintf("r%d", s.choose(20))), N: uint32(s.choose(3))}
	switch s.choose(4) {
	case 0:
		return contract.Message{Kind: contract.Kind(s.choose(40))}
	case 1:
		return contract.Message{Kind: contract.KindChunk, Chunk: &contract.Chunk{Attempt: id, Seq: 1 << 60, At: ^uint64(0)}}
	case 2:
		return contract.Message{Kind: contract.KindQuery, Query: &contract.Query{Attempt: id}}
	default:
		return contract.Message{Kind: contract.KindAccept, Accept: &contract.Accept{Attempt: id, Load: contract.Load{Seq: 1 << 40, Credits: 9}}}
	}
}
