package weights

import (
	"time"

	"mimosastand.example/mimosastand/weights/swarm"
)

// Result holds what one run showed.
type Result struct {
	// Time is until the last living host held the whole version; Done tells
	// whether that happened before the limit.
	Time time.Duration
	Done bool
	// Ratio is Time over the bound.
	Ratio float64
	// OriginCopies is what the origin sent, RegionCopies what the busiest link
	// between regions carried and RegionTotal all of them, in copies.
	OriginCopies, RegionCopies, RegionTotal float64
	// Control is the mean of the bytes that a host sent besides chunks.
	Control float64
	Notes   map[swarm.NoteKind]int
}

// Bound is the least time to N replicas as the operators' target defines it:
// the larger of a copy over the narrowest link that must carry it and a copy
// over a machine's link. With several regions the link between two of them
// counts as one that must carry a copy.
func Bound(p Params) time.Duration {
	narrow := min(p.Machine, p.Origin)
	if p.Regions > 1 {
		narrow = min(narrow, p.Region)
	}
	return time.Duration(float64(p.CopyBytes) / narrow * float64(time.Second))
}

// MeshBound is the least time when a region draws over all links that lead to
// it at once.
func MeshBound(p Params) time.Duration {
	narrow := min(p.Machine, p.Origin)
	if p.Regions > 1 {
		narrow = min(narrow, float64(p.Regions-1)*p.Region)
	}
	return time.Duration(float64(p.CopyBytes) / narrow * float64(time.Second))
}

func (w *wire) result() Result {
	r := Result{Done: w.allDone(), Time: w.clock.now, Notes: map[swarm.NoteKind]int{}}
	last := time.Duration(0)
	for _, h := range w.hosts {
		if !h.dead {
			last = max(last, h.finished)
		}
		r.Control += float64(h.control) / float64(len(w.hosts))
		for k, n := range h.notes {
			r.Notes[k] += n
		}
	}
	if r.Done {
		r.Time = last
	}
	copies := func(bytes int64) float64 { return float64(bytes) / float64(w.p.CopyBytes) }
	r.Ratio = r.Time.Seconds() / Bound(w.p).Seconds()
	r.OriginCopies = copies(w.origin.carried)
	for _, row := range w.between {
		for _, l := range row {
			if l != nil {
				r.RegionCopies = max(r.RegionCopies, copies(l.carried))
				r.RegionTotal += copies(l.carried)
			}
		}
	}
	return r
}

// startSpread is the time over which targets learn of a new version.
const startSpread = time.Second

// RunSwarm distributes one version with the state machines of weights/swarm.
func RunSwarm(p Params) Result {
	w := newWire(p)
	for _, h := range w.hosts {
		h.startSwarm(1)
		w.clock.after(time.Duration(w.rng.Float64()*float64(startSpread)), h.want)
	}
	w.scheduleDeaths()
	w.clock.run(p.Limit, w.allDone)
	return w.result()
}

// scheduleDeaths kills the wanted share of hosts at times spread over the bound.
func (w *wire) scheduleDeaths() {
	count := int(w.p.Killed*float64(len(w.hosts)) + 0.5)
	if w.p.Killed > 0 {
		count = max(count, 1)
	}
	order := w.rng.Perm(len(w.hosts))
	for _, i := range order[:count] {
		at := startSpread + time.Duration(w.rng.Float64()*float64(Bound(w.p)))
		w.clock.after(at, w.hosts[i].kill)
	}
}
