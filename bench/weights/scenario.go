package weights

import (
	"time"

	"mimosastand.example/mimosastand/weights/swarm"
)

// Fleet is a run whose faults a scenario chooses. Hosts are numbered from 0;
// host i is in region i modulo the number of regions, the origin in region 0.
type Fleet struct {
	wire *wire
}

// NewFleet makes the hosts, which all want Version from the start.
func NewFleet(p Params) *Fleet {
	w := newWire(p)
	for _, h := range w.hosts {
		h.startSwarm(1)
		w.clock.after(time.Duration(w.rng.Float64()*float64(startSpread)), h.want)
	}
	return &Fleet{wire: w}
}

// At calls f at a time of the run.
func (f *Fleet) At(at time.Duration, do func()) { f.wire.clock.after(at-f.wire.clock.now, do) }

// Run works until every living host holds the wanted version, or until limit.
func (f *Fleet) Run(limit time.Duration) Result {
	f.wire.clock.run(limit, f.wire.allDone)
	return f.wire.result()
}

// Kill ends a host; peers and the host list notice.
func (f *Fleet) Kill(i int) { f.wire.hosts[i].kill() }

// Silence ends a host without anybody being told: its connections stay open and
// the host list keeps it.
func (f *Fleet) Silence(i int) {
	h := f.wire.hosts[i]
	h.dead, h.silent = true, true
	for _, tr := range h.serving {
		tr.ended = true
	}
}

// Replace starts a host anew, with nothing in its memory.
func (f *Fleet) Replace(i int) {
	h := f.wire.hosts[i]
	h.dead, h.silent, h.finished = false, false, 0
	clear(h.flights)
	clear(h.serving)
	h.startSwarm(h.epoch + 1)
	h.want()
	f.relist()
}

// relist gives every living host the present list of hosts.
func (f *Fleet) relist() {
	peers := f.wire.live()
	for _, h := range f.wire.hosts {
		h.step(swarm.PeersChanged{Peers: peers})
	}
}

// Lie makes all chunks that a host serves arrive corrupt.
func (f *Fleet) Lie(i int) { f.wire.hosts[i].liar = true }

// Boast makes a host advertise every chunk of the version to all others.
func (f *Fleet) Boast(i int) {
	h := f.wire.hosts[i]
	full := make([]byte, (f.wire.p.chunks()+7)/8)
	for c := range f.wire.p.chunks() {
		full[c/8] |= 1 << (c % 8)
	}
	for _, o := range f.wire.hosts {
		if o != h {
			o.step(swarm.HaveReceived{From: h.peer.Machine, Version: f.wire.version, Epoch: h.epoch, Bitmap: full})
		}
	}
}

// Slow gives a host an uplink of its first rate divided by by, however often it
// was slowed before.
func (f *Fleet) Slow(i int, by float64) { f.wire.hosts[i].up.rate = f.wire.p.Machine / by }

// Origin switches the origin on or off.
func (f *Fleet) Origin(up bool) { f.wire.originDown = !up }

// Cut separates a region from the others, or joins it again.
func (f *Fleet) Cut(region int, cut bool) { f.wire.cut[region] = cut }

// Change withdraws the wanted version and wants NextVersion instead.
func (f *Fleet) Change() {
	former := f.wire.version
	f.wire.version = NextVersion
	for _, h := range f.wire.hosts {
		h.finished = 0
		h.step(swarm.Withdraw{Version: former})
		h.want()
	}
}

// Budget gives every host the same budget.
func (f *Fleet) Budget(b swarm.Budget) {
	for _, h := range f.wire.hosts {
		h.step(b)
	}
}

// Finished counts the living hosts of a region that hold the wanted version.
func (f *Fleet) Finished(region int) int {
	n := 0
	for _, h := range f.wire.hosts {
		if !h.dead && h.region == region && h.finished > 0 {
			n++
		}
	}
	return n
}

// MostServed is the most chunks that any host served at once.
func (f *Fleet) MostServed() int {
	n := 0
	for _, h := range f.wire.hosts {
		n = max(n, h.mostServed)
	}
	return n
}

// Sent is how many bytes the hosts' uplinks carried.
func (f *Fleet) Sent() int64 {
	n := int64(0)
	for _, h := range f.wire.hosts {
		n += h.up.carried
	}
	return n
}
