package placement

import (
	"math"
	"time"

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
	// drawInterval is how long the draws last that decide which entries borrow slots of a target:
	// about as long as what they send there is not yet known to others.
	drawInterval = time.Second
	// ownersFillTime is how long the owners of the slots of a target that has become usable
	// are given to fill them. The loads reported until then do not show what they will use.
	ownersFillTime = 400 * time.Millisecond
)

// borrowing holds what decides whether the entry uses slots of others.
type borrowing struct {
	// meanFill is the mean share of the slots in use at the targets with known load as of the last
	// update.
	meanFill float64
	// draws holds a random number in [0, 1) for each target, drawn at drawnAt.
	draws   map[roster.TargetID]float64
	drawnAt time.Time
}

// updateBorrowing estimates anew how many slots are in use, and draws which targets this entry may borrow
// slots of.
func (p *Pool) updateBorrowing(now time.Time, req Requirements) {
	fill, known := 0.0, 0
	for _, m := range p.members {
		if _, ok := p.loadKnownAt(now, m); ok && p.exclusionOf(now, m, req) == NotExcluded {
			fill += p.knownLoad(now, m) / float64(NewLatencyModel(p.service, m.Slots).slots)
			known++
		}
	}
	b := &p.borrowing
	b.meanFill = min(fill/float64(max(known, 1)), 1)
	if b.draws == nil || now.Sub(b.drawnAt) >= drawInterval {
		b.draws, b.drawnAt = map[roster.TargetID]float64{}, now
		for _, m := range p.members {
			b.draws[m.ID] = p.rng.Float64()
		}
	}
}

// roomToBorrow returns whether an attempt may use a slot of others at a target. Entries know the same
// loads and want to borrow at the same time, when the load of all rises. Each one therefore uses no more
// than the room divided by the number of other entries; if that is less than one slot, the draws decide
// which of them borrow one.
func (p *Pool) roomToBorrow(now time.Time, m *roster.Member) room {
	r := room{load: p.knownLoad(now, m), borrows: true}
	isAlone := len(p.slots.entries) < minSharingEntries
	at, isKnown := p.loadKnownAt(now, m)
	if !isKnown {
		// An entry that knows no others owns no slots, and may know no loads yet.
		r.hasRoom = isAlone && p.loadOf(m.ID).ownInFlight == 0
		return r
	}
	if usable := m.UsableSince(); !isAlone && !usable.IsZero() && at.Sub(usable) < ownersFillTime {
		return r
	}
	free := float64(NewLatencyModel(p.service, m.Slots).slots) - p.loadToBorrow(now, m, at)
	draw, isDrawn := p.borrowing.draws[m.ID]
	borrowed := float64(max(p.loadOf(m.ID).ownInFlight-len(p.slots.of(m.ID)), 0))
	r.hasRoom = isDrawn && free >= 1 && (borrowed+draw)*float64(max(p.entries-1, 0)) < free
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
