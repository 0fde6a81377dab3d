package weights

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"mimosastand.example/mimosastand/weights/swarm"
)

// startSwarm gives a host its state machine.
func (h *host) startSwarm(epoch uint64) {
	cfg := h.wire.p.Swarm
	cfg.Self = h.peer
	cfg.Epoch = epoch
	cfg.OriginRegion = regionName(0)
	h.epoch = epoch
	h.swarm = swarm.New(cfg, rand.New(rand.NewPCG(h.wire.rng.Uint64(), epoch)))
	if h.wire.p.Prepare != nil {
		h.wire.p.Prepare(h.swarm)
	}
	h.step(swarm.PeersChanged{Peers: h.wire.live()})
}

// want asks a host's state machine for the version.
func (h *host) want() {
	h.step(swarm.DesiredVersion{Version: h.wire.version, Chunks: h.wire.p.chunks(), ChunkBytes: h.wire.p.ChunkBytes})
}

// live lists the hosts that are alive.
func (w *wire) live() []swarm.Peer {
	var out []swarm.Peer
	for _, h := range w.hosts {
		if !h.dead {
			out = append(out, h.peer)
		}
	}
	return out
}

// step hands one event to the state machine and carries out the effects.
func (h *host) step(ev swarm.Event) {
	if h.dead {
		return
	}
	effects, next := h.decide(ev)
	for _, e := range effects {
		h.carryOut(e)
	}
	if next != h.tick {
		h.tick = next
		h.scheduleTick(next)
	}
}

// decide runs the state machine, and takes the time if asked to.
func (h *host) decide(ev swarm.Event) ([]swarm.Effect, time.Duration) {
	w := h.wire
	if !w.clocked {
		return h.swarm.Step(w.clock.now, ev), h.swarm.Next()
	}
	start := time.Now()
	effects, next := h.swarm.Step(w.clock.now, ev), h.swarm.Next()
	w.stepTime += time.Since(start)
	w.steps++
	return effects, next
}

func (h *host) scheduleTick(at time.Duration) {
	const horizon = 1 << 60
	if at > horizon {
		return
	}
	h.wire.clock.push(event{at: at, f: func() {
		if h.tick == at {
			h.tick = 0
			h.step(swarm.Tick{})
		}
	}})
}

func (h *host) carryOut(e swarm.Effect) {
	switch e := e.(type) {
	case swarm.Request:
		h.request(e.Download)
	case swarm.CancelRequest:
		h.cancel(e.Download)
	case swarm.Serve:
		h.serve(e)
	case swarm.Refuse:
		h.refuse(e)
	case swarm.SendHave:
		h.sendHave(e)
	case swarm.SetRates:
		h.pace.rate = e.Upload
		for i := range h.regional {
			h.regional[i].rate = e.Region
		}
	case swarm.VersionComplete:
		if e.Version == h.wire.version {
			h.finished = h.wire.clock.now
		}
	case swarm.Note:
		h.notes[e.Kind]++
	}
}

func (h *host) request(d swarm.Download) {
	w := h.wire
	if d.From == "" {
		if w.originDown || !w.reaches(nil, h) {
			h.flights[d] = nil
			w.clock.after(dialFailure, func() { h.failed(d, swarm.FailureLink) })
			return
		}
		tr := w.transfer(nil, h, w.chunkSize(d.Index), nil, func(ok bool) { h.received(d, ok) })
		h.flights[d] = tr
		w.clock.after(w.delay(nil, h), tr.start)
		return
	}
	from := w.index[d.From]
	h.flights[d] = nil
	h.control += requestBytes
	w.clock.after(w.delay(h, from), func() {
		if from.silent {
			return
		}
		if from.dead || !w.reaches(from, h) {
			w.clock.after(dialFailure, func() { h.failed(d, swarm.FailureLink) })
			return
		}
		from.step(swarm.RequestReceived{Upload: swarm.Upload{Version: d.Version, Index: d.Index, To: h.peer.Machine}})
	})
}

func (h *host) cancel(d swarm.Download) {
	tr := h.flights[d]
	delete(h.flights, d)
	if d.From == "" {
		if tr != nil {
			tr.ended = true
		}
		return
	}
	from := h.wire.index[d.From]
	h.wire.clock.after(h.wire.delay(h, from), func() {
		from.stopServing(swarm.Upload{Version: d.Version, Index: d.Index, To: h.peer.Machine})
	})
}

func (h *host) stopServing(up swarm.Upload) {
	if tr := h.serving[up]; tr != nil {
		tr.ended = true
		delete(h.serving, up)
	}
	h.step(swarm.UploadEnded{Upload: up})
}

func (h *host) serve(e swarm.Serve) {
	w := h.wire
	to := w.index[e.To]
	d := swarm.Download{Version: e.Version, Index: e.Index, From: h.peer.Machine}
	pace := &h.pace
	if e.Remote {
		pace = &h.regional[to.region]
	}
	tr := w.transfer(h, to, w.chunkSize(e.Index), pace, func(ok bool) {
		delete(h.serving, e.Upload)
		to.received(d, ok)
		h.step(swarm.UploadEnded{Upload: e.Upload})
	})
	if e.Remote {
		tr.segment = min(tr.segment, w.p.RemoteSegment)
	}
	h.serving[e.Upload] = tr
	h.mostServed = max(h.mostServed, len(h.serving))
	tr.start()
}

// received hands a chunk that arrived whole to the state machine.
func (h *host) received(d swarm.Download, ok bool) {
	if _, asked := h.flights[d]; !asked || h.dead {
		return
	}
	delete(h.flights, d)
	switch {
	case !ok:
		h.step(swarm.ChunkFailed{Download: d, Cause: swarm.FailureLink})
	case h.wire.rng.Float64() < h.wire.p.Corrupt, d.From != "" && h.wire.index[d.From].liar:
		h.step(swarm.ChunkFailed{Download: d, Cause: swarm.FailureCorrupt})
	default:
		h.step(swarm.ChunkVerified{Download: d})
	}
}

func (h *host) failed(d swarm.Download, cause swarm.Failure) {
	if _, asked := h.flights[d]; asked {
		delete(h.flights, d)
		h.step(swarm.ChunkFailed{Download: d, Cause: cause})
	}
}

func (h *host) refuse(e swarm.Refuse) {
	to := h.wire.index[e.To]
	d := swarm.Download{Version: e.Version, Index: e.Index, From: h.peer.Machine}
	h.control += refuseBytes
	h.wire.clock.after(h.wire.delay(h, to), func() { to.failed(d, e.Cause) })
}

func (h *host) sendHave(e swarm.SendHave) {
	w := h.wire
	to := w.index[e.To]
	h.control += int64(haveBytes + len(e.Bitmap))
	ev := swarm.HaveReceived{From: h.peer.Machine, Version: e.Version, Epoch: e.Epoch, First: e.First, Bitmap: e.Bitmap}
	w.clock.after(w.delay(h, to), func() {
		if to.silent {
			return
		}
		if to.dead || !w.reaches(h, to) {
			w.clock.after(dialFailure, func() { h.step(swarm.HaveFailed{To: e.To, Version: e.Version}) })
			return
		}
		to.step(ev)
	})
}

// kill ends a host. Its peers notice after silentAfter, the list follows later.
func (h *host) kill() {
	h.dead = true
	w := h.wire
	h.abortServing()
	for _, tr := range h.flights {
		if tr != nil {
			tr.ended = true
		}
	}
	w.clock.after(silentAfter+listLag, func() {
		peers := w.live()
		for _, o := range w.hosts {
			o.step(swarm.PeersChanged{Peers: peers})
		}
	})
}

// abortServing lets the peers that were drawing from the host notice its death.
func (h *host) abortServing() {
	ups := slices.SortedFunc(maps.Keys(h.serving), func(a, b swarm.Upload) int {
		return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.To, b.To))
	})
	for _, up := range ups {
		h.serving[up].ended = true
		to := h.wire.index[up.To]
		d := swarm.Download{Version: up.Version, Index: up.Index, From: h.peer.Machine}
		h.wire.clock.after(silentAfter, func() { to.failed(d, swarm.FailureLink) })
	}
}
