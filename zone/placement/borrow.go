package placement

import (
	"math"
	"time"

	"mimosastand.example/mimosastand/zone/ratemeter"
	"mimosastand.example/mimosastand/zone/roster"
)

const (
	// borrowDeviations is the room that a target must have beyond its expected load until an
	// entry uses a slot of others, in standard deviations of how its load may have changed
	// since it was known. With less, engines are overfilled at loads near their capacity.
	borrowDeviations = 1.5
	// borrowPenalty is added to the cost of a target on which the attempt would use a slot of
	// others: the prediction for it rests on older information.
	borrowPenalty = 30 * time.Millisecond
	// ownersFillTime is how long the owners of the slots of a target that has become usable
	// are given to fill them. The loads reported until then do not show what they will use.
	ownersFillTime = 400 * time.Millisecond
)

// borrowing estimates how many of the slots that their owners do not use the other entries take.
type borrowing struct {
	// meanFill is the mean share of the slots in use at the targets with known load, and open
	// the number of targets with room, both as of the last update.
	meanFill float64
	open     int
	// borrows counts the attempts of this entry on slots of others.
	borrows ratemeter.Meter
}

// update estimates anew how many slots are free.
func (b *borrowing) update(now time.Time, p *Pool, req Requirements) {
	fill, known := 0.0, 0
	b.open = 0
	for _, m := range p.members {
		at, ok := p.loadKnownAt(now, m)
		if !ok || p.exclusionOf(now, m, req) != NotExcluded {
			continue
		}
		slots := float64(NewLatencyModel(p.service, m.Slots).slots)
		fill += p.knownLoad(now, m) / slots
		known++
		if p.loadToBorrow(now, m, at)+1 <= slots {
			b.open++
		}
	}
	b.meanFill = min(fill/float64(max(known, 1)), 1)
}

// sent counts an attempt if it uses a slot of others.
func (b *borrowing) sent(now time.Time, ownInFlight, owned int) {
	if ownInFlight > owned {
		b.borrows.Add(now, 1)
	}
}

// roomToBorrow returns whether an attempt may use a slot of others at a target. All entries are taken
// to send as many such attempts as this one to the targets with room, unseen since the load was known.
func (p *Pool) roomToBorrow(now time.Time, m *roster.Member) room {
	r := room{load: p.knownLoad(now, m), borrows: true}
	at, isKnown := p.loadKnownAt(now, m)
	if !isKnown {
		// An entry that knows no others has no slots and no loads, and must begin somewhere.
		r.hasRoom = len(p.slots.entries) < minSharingEntries && p.loadOf(m.ID).ownInFlight == 0
		return r
	}
	if usable := m.UsableSince(); !usable.IsZero() && at.Sub(usable) < ownersFillTime {
		return r
	}
	model := NewLatencyModel(p.service, m.Slots)
	unseen := min(now.Sub(at), model.RequestDuration()).Seconds()
	rate := p.borrowing.borrows.Level(now) / ratemeter.Window.Seconds() * float64(max(p.entries-1, 0))
	load := p.loadToBorrow(now, m, at) + rate*unseen/float64(max(p.borrowing.open, 1))
	r.hasRoom = load+1 <= float64(model.slots)
	return r
}

// loadToBorrow estimates the load of a target whose load was known as of a time, with the margin for
// using a slot of others there. A load below the mean is expected to return to it while the requests
// that caused it end: all entries would otherwise choose the targets that were the emptiest.
func (p *Pool) loadToBorrow(now time.Time, m *roster.Member, at time.Time) float64 {
	model := NewLatencyModel(p.service, m.Slots)
	slots := float64(model.slots)
	turnover := min(float64(now.Sub(at))/float64(model.RequestDuration()), 1)
	load := p.knownLoad(now, m)
	load += turnover * max(p.borrowing.meanFill*slots-load, 0)
	return load + borrowDeviations*math.Sqrt(slots*turnover)
}

// loadKnownAt returns as of when the load of a target is known that all entries cause.
func (p *Pool) loadKnownAt(now time.Time, m *roster.Member) (at time.Time, ok bool) {
	if p.flightsComplete {
		return now.Add(-peerLoadLag), true
	}
	if _, at, ok := m.ReportedLoad(now); ok && now.Sub(at) < processReportMaxAge {
		return at, true
	}
	l := p.loadOf(m.ID)
	return l.reportedAt, now.Sub(l.reportedAt) < reportMaxAge
}
