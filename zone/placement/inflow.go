package placement

import (
	"time"

	"mimosastand.example/mimosastand/zone/roster"
)

const (
	// inflowInterval is the least time between two estimates of what the other entries send.
	inflowInterval = 20 * time.Millisecond
	// rateWindow is the time over which this entry's own rate is averaged.
	rateWindow = time.Second
)

// inflow estimates what the other entries send to the targets. An entry learns that only with
// heartbeats, later than a target that has just become usable could be given more prompts than it
// reads in time. All entries choose by the same rules, so the others are taken to send to the same
// targets, in proportion to what they have in flight.
type inflow struct {
	// perOwn is how many attempts the others send for each of this entry, as estimated at at.
	perOwn float64
	at     time.Time
	// ownRate is the number of attempts that this entry sends in a second, as of lastSent.
	ownRate  float64
	lastSent time.Time
	// meanLoad is the mean load that the processes beside the usable targets reported, on paced services;
	// negative if none did.
	meanLoad float64
	// open holds the targets that had room at at.
	open map[roster.TargetID]bool
}

// sent records an attempt of this entry.
func (f *inflow) sent(now time.Time) {
	weight := 1.0
	if !f.lastSent.IsZero() {
		weight = min(float64(now.Sub(f.lastSent))/float64(rateWindow), 1)
	}
	f.ownRate = f.ownRate*(1-weight) + 1/rateWindow.Seconds()
	f.lastSent = now
}

// prefillTime returns the time to read a prompt of the usual size.
func (p *Pool) prefillTime() time.Duration { return NewLatencyModel(p.service, 0).prefillTime }

// addPrompts records that the target is to read prompts, each of which takes prefillTime.
func (l *targetLoad) addPrompts(now time.Time, prefillTime time.Duration, prompts float64) {
	if l.readUntil.Before(now) {
		l.readUntil = now
	}
	l.readUntil = l.readUntil.Add(time.Duration(prompts * float64(prefillTime)))
}

// updateInflow estimates anew what the other entries send, every inflowInterval.
func (p *Pool) updateInflow(now time.Time, req Requirements, limit time.Duration) {
	last := p.inflow.at
	if now.Sub(last) < inflowInterval {
		return
	}
	p.inflow.at = now
	p.inflow.perOwn = p.othersPerOwn(now)
	p.inflow.meanLoad = p.meanReportedLoad(now, req)
	if p.sharesSlots() {
		p.updateBorrowing(now, req)
	}
	// The owners of slots do not send at the same time (openSlots).
	if p.prefillTime() > 0 && !p.sharesSlots() {
		p.addInflow(now, last, p.openTargets(now, req, limit))
	}
}

// addInflow adds the prompts that the other entries are expected to have sent since the last time to
// the targets with room that had room then, or have become usable since.
func (p *Pool) addInflow(now, last time.Time, open []*roster.Member) {
	for _, m := range open {
		since := last
		if !p.inflow.open[m.ID] {
			since = m.UsableSince()
		}
		if elapsed := now.Sub(since); !since.IsZero() && elapsed < peerLoadLag {
			prompts := p.inflow.ownRate * p.inflow.perOwn / float64(len(open)) * elapsed.Seconds()
			p.loadOf(m.ID).addPrompts(since, p.prefillTime(), prompts)
		}
	}
	p.inflow.open = map[roster.TargetID]bool{}
	for _, m := range open {
		p.inflow.open[m.ID] = true
	}
}

// openTargets lists the targets with room for a request, as far as the entry knows what the others
// send to them.
func (p *Pool) openTargets(now time.Time, req Requirements, limit time.Duration) []*roster.Member {
	var open []*roster.Member
	for _, m := range p.members {
		if p.knowsLoad(m) && p.admit(now, m, req, limit, false).exclusion == NotExcluded {
			open = append(open, m)
		}
	}
	return open
}

// knowsLoad reports whether the entry knows what the others have in flight at a target: at all of
// them, or at those of its region.
func (p *Pool) knowsLoad(m *roster.Member) bool {
	return p.flightsComplete || p.distanceOf(m) != otherRegion
}

// othersPerOwn estimates how many attempts the other entries send for each of this entry. Without
// anything in flight each of them counts as sending as much as this one, and none ever counts for more.
func (p *Pool) othersPerOwn(now time.Time) float64 {
	own, others := 0.0, 0.0
	for _, m := range p.members {
		if !p.knowsLoad(m) {
			continue
		}
		l := p.loadOf(m.ID)
		own += float64(l.ownInFlight)
		if p.flightsComplete {
			others += l.peerInFlight
		} else if load, _, ok := m.ReportedLoad(now); ok {
			others += float64(max(load-l.ownInFlight, 0))
		}
	}
	most := float64(max(p.entries-1, 0))
	return min((others+most)/(own+1), most)
}
