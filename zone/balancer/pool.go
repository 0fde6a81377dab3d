package balancer

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/ejection"
)

// Pool holds the targets of one service.
type Pool struct {
	home    Place
	rng     *rand.Rand
	members map[contract.MachineID]*member
	// order lists the members by machine.
	order    []*member
	rules    map[Place]Rules
	spill    bool
	budget   spillBudget
	ejection *ejection.Tracker
	off      mechanism
}

// mechanism names a part of the pool that tests switch off.
type mechanism uint16

const (
	offZoneGate mechanism = 1 << iota
	offLeaving
	offCredits
	offRamp
	offLagCorrection
	offSpillBudget
	offReportOrder
	offPrefixBound
	offHeadroom
	offVersions
	offEjection
)

// NewPool returns an empty pool as seen from home.
func NewPool(home Place, rng *rand.Rand) *Pool {
	p := &Pool{
		home:     home,
		rng:      rng,
		members:  map[contract.MachineID]*member{},
		rules:    map[Place]Rules{},
		ejection: ejection.NewTracker(rng),
	}
	p.budget.setPeers(1)
	return p
}

// SetMembers replaces the list of targets. What is known of a target that stays
// is kept.
func (p *Pool) SetMembers(now time.Time, list []Member) {
	listed := map[contract.MachineID]bool{}
	for _, entry := range list {
		listed[entry.Machine] = true
		p.setMember(entry)
	}
	for id := range p.members {
		if !listed[id] {
			delete(p.members, id)
			p.ejection.Forget(id)
		}
	}
	p.order = p.order[:0]
	for _, m := range p.members {
		p.order = append(p.order, m)
	}
	sort.Slice(p.order, func(i, j int) bool { return p.order[i].Machine < p.order[j].Machine })
}

func (p *Pool) setMember(entry Member) {
	m, ok := p.members[entry.Machine]
	if !ok {
		m = &member{hash: xxhash.Sum64String(string(entry.Machine))}
		p.members[entry.Machine] = m
	}
	m.Member = entry
	m.tier = tierOf(p.home, entry.Place)
}

// SetEntries tells how many entries share the home region's links.
func (p *Pool) SetEntryCount(n int) {
	p.budget.setPeers(n)
}

// SetRules replaces the settings, one for each place with members. Targets of a
// zone that comes back in begin their slow start.
func (p *Pool) SetRules(now time.Time, rules map[Place]Rules, spill bool) {
	for _, m := range p.order {
		if p.rules[m.Place].Evacuated && !rules[m.Place].Evacuated {
			m.ramp = now
		}
	}
	p.rules = rules
	p.spill = spill
}

// redialTime is the time within which a link that is back counts as replaced.
const redialTime = 2 * time.Second

// Up records that the link to a target works. The target begins its slow start
// if it is returning, unless the link was only replaced.
func (p *Pool) LinkUp(now time.Time, id contract.MachineID, returning bool) {
	m, ok := p.members[id]
	if !ok || m.up {
		return
	}
	m.up = true
	replaced := !m.downAt.IsZero() && now.Sub(m.downAt) < redialTime
	if returning && !replaced {
		m.ramp = now
	}
}

// Down records that the link to a target is lost.
func (p *Pool) LinkDown(now time.Time, id contract.MachineID) {
	m, ok := p.members[id]
	if !ok {
		return
	}
	if m.up {
		m.downAt = now
	}
	m.up = false
	m.known = false
}

// Fate tells what became of a report.
type ReportResult uint8

const (
	// Taken reports are in force.
	Accepted ReportResult = iota
	// Outdated reports are of an older incarnation or out of sequence.
	Outdated
	// Unlisted reports name a target that the pool does not hold.
	Unlisted
	// Contradictory reports contradict themselves.
	Contradictory
)

// maxUnits bounds the counts of a credible report.
const maxUnits = 1 << 20

// Report takes in a target's load. Incarnation 0 means the present one; a load
// with Seq 0 is none.
func (p *Pool) Report(now time.Time, id contract.MachineID, incarnation contract.Incarnation, load contract.Load) ReportResult {
	m, ok := p.members[id]
	if !ok {
		return Unlisted
	}
	if load.Seq == 0 {
		return Accepted
	}
	if load.Credits > 0 && load.Limit == 0 || max(load.Credits, load.Limit) > maxUnits || load.Running > maxUnits || load.Queued > maxUnits {
		return Contradictory
	}
	if p.off&offReportOrder == 0 && !m.newer(incarnation, load.Seq) {
		return Outdated
	}
	if incarnation > m.incarnation {
		if m.incarnation != 0 {
			m.ramp = now
		}
		m.incarnation = incarnation
	}
	m.load = load
	m.known = true
	m.reported = now
	return Accepted
}

func (m *member) newer(incarnation contract.Incarnation, seq uint64) bool {
	if incarnation != 0 && incarnation != m.incarnation {
		return incarnation > m.incarnation
	}
	return !m.known || seq > m.load.Seq
}

// Incarnation is the run of the target that the entry last heard of.
func (p *Pool) Incarnation(id contract.MachineID) contract.Incarnation {
	if m, ok := p.members[id]; ok {
		return m.incarnation
	}
	return 0
}

// ReportedAfter reports whether the target told its load after a time.
func (p *Pool) ReportedAfter(id contract.MachineID, after time.Time) bool {
	m, ok := p.members[id]
	return ok && m.reported.After(after)
}

// HasRoom reports whether the target's own load says that it takes more.
func (p *Pool) HasRoom(now time.Time, id contract.MachineID) bool {
	m, ok := p.members[id]
	return ok && p.hasRoom(now, m, false)
}

// Listed reports whether the pool holds the target.
func (p *Pool) IsListed(id contract.MachineID) bool {
	_, ok := p.members[id]
	return ok
}
