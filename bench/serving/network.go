package serving

import (
	"time"

	"mimosastand.example/mimosastand/bench/serving/fake"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
)

// apply carries out an effect of an entry.
func (w *world) apply(h *host, e dispatch.Effect) {
	switch e := e.(type) {
	case dispatch.SendStart:
		w.result.attempts++
		w.send(h, e.Exchange, e.Target, contract.Message{Kind: contract.KindStart, Start: &e.Start})
	case dispatch.SendQuery:
		if e.NewConnection {
			delete(h.silent, e.Target)
		}
		if !e.IgnoreReplies {
			w.send(h, e.Exchange, e.Target, contract.Message{Kind: contract.KindQuery, Query: &e.Query})
		}
	case dispatch.SendCancel:
		w.send(h, e.Exchange, e.Target, contract.Message{Kind: contract.KindCancel, Cancel: &contract.Cancel{Attempt: e.Attempt}})
		delete(h.open, e.Exchange)
	case dispatch.EndExchange:
		delete(h.open, e.Exchange)
	case dispatch.Deliver:
		w.delivered(e)
	case dispatch.Finish:
		w.finished(e)
	case dispatch.SetPeers:
		h.peers = len(e.Peers)
	case dispatch.Count:
		w.result.count(e)
	}
}

// send carries a message to a target.
func (w *world) send(h *host, exchange uint64, id contract.MachineID, m contract.Message) {
	h.open[exchange] = id
	t := w.targets[id]
	if t.Down() {
		w.queue.After(w.delay(h, t), func() {
			w.step(h, dispatch.ExchangeBroken{Exchange: exchange, Reason: contract.ReasonLinkDown, Unsent: m.Kind == contract.KindStart})
		})
		return
	}
	if h.silent[id] {
		return
	}
	run := t.Incarnation()
	w.queue.After(w.delay(h, t), func() {
		if t.Incarnation() == run && !t.Down() {
			w.arriveAt(t, route{h, exchange}, m)
		}
	})
}

func (w *world) arriveAt(t *target, from route, m contract.Message) {
	switch m.Kind {
	case contract.KindStart:
		w.follows[m.Start.Attempt] = from
		w.reply(t, from, t.Start(w.now(), machineOf(from.host), *m.Start))
	case contract.KindQuery:
		w.follows[m.Query.Attempt] = from
		for _, answer := range t.Query(w.now(), *m.Query) {
			w.reply(t, from, answer)
		}
	case contract.KindCancel:
		t.Cancel(m.Cancel.Attempt)
	}
	w.wakeTarget(t)
}

// wakeTarget runs a target when it next has something to say.
func (w *world) wakeTarget(t *target) {
	at, ok := t.Next()
	if !ok || !t.wake.IsZero() && !at.Before(t.wake) {
		return
	}
	t.wake = at
	w.queue.After(max(0, at.Sub(w.now())), func() {
		if !t.wake.Equal(at) {
			return
		}
		t.wake = time.Time{}
		for _, out := range t.Tick(w.now()) {
			w.output(t, out)
		}
		w.wakeTarget(t)
	})
}

func (w *world) output(t *target, out fake.Output) {
	if to, ok := w.follows[out.Attempt]; ok {
		w.reply(t, to, out.Message)
	}
}

func (w *world) reply(t *target, to route, m contract.Message) {
	if to.host.silent[t.Machine] {
		return
	}
	w.queue.After(w.delay(to.host, t), func() {
		w.step(to.host, dispatch.MessageReceived{Exchange: to.exchange, Message: m})
	})
}

// kill ends a target's process; a new one starts after down.
func (w *world) kill(t *target, down time.Duration) {
	t.Kill()
	for _, h := range w.hosts {
		w.breakLink(h, t, contract.ReasonLinkDown)
	}
	w.queue.After(down, func() {
		t.Restart(w.now())
		for _, h := range w.hosts {
			w.step(h, dispatch.LinkUp{Machine: t.Machine})
		}
	})
}

// breakLink ends a connection and all exchanges on it.
func (w *world) breakLink(h *host, t *target, reason contract.Reason) {
	w.step(h, dispatch.LinkDown{Machine: t.Machine, Reason: reason})
	for _, exchange := range h.exchangesAt(t.Machine) {
		w.step(h, dispatch.ExchangeBroken{Exchange: exchange, Reason: reason})
	}
}

func (h *host) exchangesAt(id contract.MachineID) []uint64 {
	var list []uint64
	for exchange, at := range h.open {
		if at == id {
			list = append(list, exchange)
		}
	}
	sortUint64(list)
	return list
}

// silence makes the connection between an entry and a target carry nothing
// more; it is found out by its heartbeats and replaced.
func (w *world) silence(h *host, t *target) {
	h.silent[t.Machine] = true
	w.queue.After(silentAfter, func() {
		delete(h.silent, t.Machine)
		w.breakLink(h, t, contract.ReasonLinkSilent)
		w.queue.After(redialTime, func() { w.step(h, dispatch.LinkUp{Machine: t.Machine}) })
	})
}

// setZone takes a zone out or back in; each process learns of it with a lag of
// its own.
func (w *world) setZone(zone contract.ZoneName, out bool) {
	w.offset++
	next := map[contract.ZoneName]bool{}
	for name, was := range w.out {
		next[name] = was
	}
	next[zone] = out
	w.out = next
	view := w.size.view(w.offset, next)
	for _, h := range w.hosts {
		w.queue.After(w.lag(), func() { w.step(h, dispatch.SettingsChanged{View: view}) })
	}
	ordered := time.Time{}
	if out {
		ordered = w.now()
	}
	for _, t := range w.order {
		if t.place.Zone == zone {
			t.Order(ordered)
			w.queue.After(w.lag(), func() { t.SetOut(out) })
		}
	}
}

func (w *world) lag() time.Duration {
	return time.Duration(w.rng.Int64N(int64(settingsLag)))
}
