package poison_test

import (
	"time"

	"mimosastand.example/mimosastand/zone/poison"
)

// arrive has a request arrive at an entry that has started.
func (f *fleet) arrive(r *request) {
	e := f.entries[f.rng.IntN(len(f.entries))]
	for !e.started {
		e = f.entries[f.rng.IntN(len(f.entries))]
	}
	f.atEntry(0, e, func() { f.send(e, r) })
}

// send has an entry send a request to an engine, unless it refuses it.
func (f *fleet) send(e *fleetEntry, r *request) {
	engine := f.engines[f.rng.IntN(len(f.engines))]
	for range 5 * len(f.engines) {
		if engine.up {
			break
		}
		engine = f.engines[f.rng.IntN(len(f.engines))]
	}
	if !engine.up {
		return
	}
	decision, _ := e.tracker.Check(f.now, r.parts, e.shares.IsTurn)
	f.count(r, decision)
	if decision == poison.Refused {
		f.failed(r)
		return
	}
	r.sent++
	a := &attempt{request: r, entry: e, engine: engine, sentAt: f.now, probe: decision == poison.Probe}
	engine.running[a] = true
	begin := f.between(f.times.begin[0], f.times.begin[1])
	f.atEntry(begin-min(begin, checkInterval), e, func() { f.giveUp(a) })
	f.after(begin, func() { f.begin(a) })
}

// checkInterval is how long before its beginning an entry looks last whether an attempt is to be
// given up.
const checkInterval = 50 * time.Millisecond

// giveUp ends an attempt that is refused by now.
func (f *fleet) giveUp(a *attempt) {
	if a.probe || !a.engine.running[a] || !a.entry.tracker.ShouldGiveUp(a.parts) {
		return
	}
	delete(a.engine.running, a)
	f.results.givenUp++
	if len(a.bad) == 0 {
		f.results.refuseSound(a.request)
	}
}

// failed has the caller of a sound request that was not served send it again at once.
func (f *fleet) failed(r *request) {
	if len(r.bad) > 0 || r.repeats == 0 {
		return
	}
	r.repeats--
	r.sent = 0
	f.after(2*time.Millisecond, func() { f.arrive(r) })
}

func (f *fleet) count(r *request, d poison.Decision) {
	switch {
	case d == poison.Refused && len(r.bad) == 0:
		f.results.refuseSound(r)
	case d == poison.Refused:
		f.results.refusedBad = append(f.results.refusedBad, f.now)
	case len(r.bad) > 0:
		f.results.badSent = append(f.results.badSent, f.now)
		f.results.sentBy[r.whole] = append(f.results.sentBy[r.whole], f.now)
	}
	if d == poison.Probe {
		f.results.probes = append(f.results.probes, f.now)
	}
}

// begin has an engine write the first event of an answer.
func (f *fleet) begin(a *attempt) {
	if !a.engine.running[a] {
		return
	}
	a.begun = a.begun || a.sent == 1
	length := f.between(f.times.length[0], f.times.length[1])
	if f.crashesEngine(a) {
		born, delay := a.engine.born, f.between(f.times.crash[0], f.times.crash[1])
		length = max(length, delay+time.Millisecond)
		f.after(delay, func() {
			if a.engine.born == born {
				f.results.crashesBy[a.whole] = append(f.results.crashesBy[a.whole], f.now)
				f.crash(a.engine)
			}
		})
	}
	f.after(min(length, poison.ProvenAfter), func() { f.prove(a) })
	f.after(length, func() { delete(a.engine.running, a) })
}

func (f *fleet) crashesEngine(a *attempt) bool {
	if f.crashesAll(f.elapsed()) {
		return true
	}
	for _, p := range a.bad {
		if f.isBad(p, f.elapsed()) {
			return true
		}
	}
	return false
}

func (f *fleet) prove(a *attempt) {
	if !a.engine.running[a] {
		return
	}
	a.proven, a.served = true, true
	if len(a.bad) > 0 {
		f.results.badServed = append(f.results.badServed, f.now)
	}
	f.atEntry(0, a.entry, func() { a.entry.tracker.Proven(f.now, a.parts, a.sentAt) })
}

// crash ends an engine, which starts again later. Its attempts break off.
func (f *fleet) crash(engine *fleetEngine) {
	if !engine.up {
		return
	}
	f.results.crashes = append(f.results.crashes, f.now)
	key := engine.crashKey()
	var broken []*attempt
	for a := range engine.running {
		broken = append(broken, a)
	}
	sortAttempts(broken)
	engine.up, engine.running = false, map[*attempt]bool{}
	engine.born++
	f.after(restartTime, func() { engine.up = true })
	for _, a := range broken {
		if !a.proven {
			f.atEntry(0, a.entry, func() { f.breakOff(a, key) })
		}
	}
}

// breakOff has an entry notice that an unproven attempt has broken off, and later that its
// engine has ended.
func (f *fleet) breakOff(a *attempt, crash uint64) {
	o := poison.Observation{Crash: crash, Request: a.parts, SentAt: a.sentAt, BrokenAt: f.now}
	f.atEntry(f.between(50*time.Millisecond, 500*time.Millisecond), a.entry, func() { a.entry.tracker.Observe(f.now, o) })
	if a.sent < maxAttempts && a.entry.tracker.MayRetry(a.parts) {
		f.atEntry(10*time.Millisecond, a.entry, func() { f.send(a.entry, a.request) })
		return
	}
	f.failed(a.request)
}
