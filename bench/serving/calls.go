package serving

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"time"

	"mimosastand.example/mimosastand/bench/serving/fake"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
	"mimosastand.example/mimosastand/settings"
)

// call is one caller's request.
type call struct {
	request dispatch.Request
	host    *host
	sent    time.Time
	last    time.Time
	parts   uint64
	wrong   bool
}

// load is a stream of calls of one team.
type load struct {
	team contract.TeamName
	// models, plains and singles are calls a second.
	models, plains, singles float64
}

// start begins the calls of a team; they go on until the world's end.
func (w *world) start(l load) {
	w.stream(l.models, func() { w.modelCall(l.team) })
	w.stream(l.plains, func() { w.plainCall(l.team, w.size.plain) })
	w.stream(l.singles, func() { w.plainCall(l.team, w.size.single) })
}

// stream makes calls at random times with a mean rate.
func (w *world) stream(rate float64, call func()) {
	if rate <= 0 {
		return
	}
	gap := time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
	w.queue.After(gap, func() {
		if !w.result.closed {
			call()
			w.stream(rate, call)
		}
	})
}

func (w *world) modelCall(team contract.TeamName) {
	r := w.request(team, w.size.model, settings.KindModel)
	r.Tokens = uint32(max(5, min(400, w.rng.ExpFloat64()*meanTokens)))
	r.Idempotent = w.rng.IntN(2) == 0
	if w.rng.IntN(2) == 0 {
		const prefixes = 40
		r.PrefixHash = uint64(w.rng.IntN(prefixes) + 1)
	}
	w.submit(r)
}

func (w *world) plainCall(team contract.TeamName, service contract.ServiceName) {
	r := w.request(team, service, settings.KindPlain)
	r.Tokens = 16
	r.Idempotent = w.rng.IntN(2) == 0
	w.submit(r)
}

func (w *world) request(team contract.TeamName, service contract.ServiceName, kind settings.ServiceKind) dispatch.Request {
	return dispatch.Request{
		ID:      contract.RequestID(fmt.Sprintf("r%d", len(w.calls)+1)),
		Service: service, Team: team, Kind: kind, Timeout: 30 * time.Second,
	}
}

// submit brings a call to an entry that the platform's balancer draws blindly.
func (w *world) submit(r dispatch.Request) {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	c := &call{request: r, host: h, sent: w.now()}
	w.calls[r.ID] = c
	w.result.calls++
	w.queue.After(w.size.toCaller, func() { w.step(h, dispatch.RequestArrived{Request: r}) })
}

// delivered records a part of an answer as the caller sees it.
func (w *world) delivered(d dispatch.Deliver) {
	c := w.calls[d.Request]
	seen := w.now().Add(w.size.toCaller)
	if c.parts == 0 {
		w.result.first(c, seen.Sub(c.sent))
	} else {
		w.result.gap(seen.Sub(c.last))
	}
	if d.At != c.parts || !bytes.Equal(d.Data, fake.Part(d.Request, weights, d.At)) {
		c.wrong = true
	}
	c.parts++
	c.last = seen
}

func (w *world) finished(f dispatch.Finish) {
	c := w.calls[f.Request]
	switch {
	case f.Outcome != contract.OutcomeDone:
		w.result.refused(f, c.request.Service == w.size.single)
	case c.request.Kind == settings.KindModel && (c.wrong || c.parts != uint64(c.request.Tokens)):
		w.result.cut++
	default:
		w.result.whole++
	}
}

// end stops the calls, waits for the answers and adds up the targets.
func (w *world) end() *result {
	w.result.closed = true
	w.queue.RunFor(time.Minute)
	runs := map[contract.RequestID]int{}
	for _, t := range w.order {
		w.result.overBorne += t.OverBorne
		w.result.out += t.Out
		w.result.crashes += t.Crashes
		for id, n := range t.Runs {
			runs[id] += n
		}
	}
	for id, n := range runs {
		w.result.runs += n
		if n > 1 && !w.calls[id].request.Idempotent {
			w.result.doubled += n - 1
		}
	}
	return w.result
}

func sortUint64(list []uint64) {
	slices.Sort(list)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return math.NaN()
	}
	return a / b
}
