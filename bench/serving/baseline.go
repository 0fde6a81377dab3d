package serving

import (
	"sort"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/zone/hostlist"
)

const (
	baselineRetries = 3
	baselineTimeout = 10 * time.Second
)

// baseline goes round robin over the listed targets, retries three times
// whatever happened, and asks no one's leave.
type baseline struct {
	targets  map[contract.ServiceName][]contract.MachineID
	next     map[contract.ServiceName]int
	calls    map[contract.RequestID]*baselineCall
	attempts map[uint64]*baselineCall
	exchange uint64
	timeouts []*baselineCall
}

type baselineCall struct {
	request  dispatch.Request
	exchange uint64
	tries    int
	parts    uint64
	body     []byte
	due      time.Time
	deadline time.Time
}

func newBaseline() *baseline {
	return &baseline{
		targets: map[contract.ServiceName][]contract.MachineID{}, next: map[contract.ServiceName]int{},
		calls: map[contract.RequestID]*baselineCall{}, attempts: map[uint64]*baselineCall{},
	}
}

// Wake implements policy.
func (b *baseline) Wake() (time.Time, bool) {
	if len(b.timeouts) == 0 {
		return time.Time{}, false
	}
	return b.timeouts[0].due, true
}

// Step implements policy.
func (b *baseline) Step(now time.Time, ev dispatch.Event, out []dispatch.Effect) []dispatch.Effect {
	switch ev := ev.(type) {
	case dispatch.HostsChanged:
		b.hosts(ev.List)
	case dispatch.RequestArrived:
		c := &baselineCall{request: ev.Request, deadline: now.Add(ev.Request.Timeout)}
		b.calls[ev.Request.ID] = c
		return b.send(now, c, out)
	case dispatch.MessageReceived:
		return b.received(now, ev, out)
	case dispatch.ExchangeBroken:
		if c := b.attempts[ev.Exchange]; c != nil {
			return b.again(now, c, ev.Reason, out)
		}
	case dispatch.Tick:
		return b.tick(now, out)
	}
	return out
}

func (b *baseline) hosts(list hostlist.List) {
	b.targets = map[contract.ServiceName][]contract.MachineID{}
	for _, h := range list.Hosts {
		if h.Role == hostlist.Target {
			b.targets[h.Service] = append(b.targets[h.Service], h.Machine)
		}
	}
}

func (b *baseline) send(now time.Time, c *baselineCall, out []dispatch.Effect) []dispatch.Effect {
	list := b.targets[c.request.Service]
	b.next[c.request.Service]++
	b.exchange++
	c.tries++
	c.exchange = b.exchange
	c.due = now.Add(baselineTimeout)
	b.attempts[c.exchange] = c
	b.remind(c)
	return append(out, dispatch.SendStart{
		Exchange: c.exchange,
		Target:   list[b.next[c.request.Service]%len(list)],
		Start: contract.Start{
			Attempt: contract.AttemptID{Request: c.request.ID, N: uint32(c.tries)}, Service: c.request.Service,
			Remaining: c.deadline.Sub(now), Weights: weights, Tokens: c.request.Tokens, Idempotent: c.request.Idempotent,
		},
	})
}

func (b *baseline) remind(c *baselineCall) {
	b.forget(c)
	b.timeouts = append(b.timeouts, c)
	sort.SliceStable(b.timeouts, func(i, j int) bool { return b.timeouts[i].due.Before(b.timeouts[j].due) })
}

func (b *baseline) forget(c *baselineCall) {
	for i, other := range b.timeouts {
		if other == c {
			b.timeouts = append(b.timeouts[:i], b.timeouts[i+1:]...)
			return
		}
	}
}

func (b *baseline) received(now time.Time, ev dispatch.MessageReceived, out []dispatch.Effect) []dispatch.Effect {
	c := b.attempts[ev.Exchange]
	if c == nil {
		return out
	}
	switch ev.Message.Kind {
	case contract.KindChunk:
		if c.parts == 0 {
			b.forget(c)
		}
		at := c.parts
		c.parts++
		if c.request.Kind == settings.KindModel {
			return append(out, dispatch.Deliver{Request: c.request.ID, At: at, Data: ev.Message.Chunk.Data})
		}
		c.body = append(c.body, ev.Message.Chunk.Data...)
	case contract.KindEnd:
		if ev.Message.End.Outcome != contract.OutcomeDone {
			return b.again(now, c, ev.Message.End.Reason, out)
		}
		return b.finish(c, contract.OutcomeDone, "", out)
	}
	return out
}

// again retries; a stream that has begun can only be ended.
func (b *baseline) again(now time.Time, c *baselineCall, reason contract.Reason, out []dispatch.Effect) []dispatch.Effect {
	delete(b.attempts, c.exchange)
	if c.parts > 0 || c.tries > baselineRetries || !now.Before(c.deadline) {
		return b.finish(c, contract.OutcomeUnknown, reason, out)
	}
	out = append(out, dispatch.Count{Counter: dispatch.CountRetry, Reason: reason})
	return b.send(now, c, out)
}

func (b *baseline) finish(c *baselineCall, outcome contract.Outcome, reason contract.Reason, out []dispatch.Effect) []dispatch.Effect {
	b.forget(c)
	delete(b.attempts, c.exchange)
	delete(b.calls, c.request.ID)
	f := dispatch.Finish{Request: c.request.ID, Outcome: outcome, Reason: reason, Attempts: c.tries}
	if outcome == contract.OutcomeDone {
		f.Answer = &dispatch.Answer{Body: c.body}
	}
	return append(out, f)
}

func (b *baseline) tick(now time.Time, out []dispatch.Effect) []dispatch.Effect {
	for len(b.timeouts) > 0 && !b.timeouts[0].due.After(now) {
		c := b.timeouts[0]
		b.timeouts = b.timeouts[1:]
		out = b.again(now, c, contract.ReasonLinkSilent, out)
	}
	return out
}
