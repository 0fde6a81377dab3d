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
	// sortedMembers lists the members in the order of their IDs.
	sortedMembers []*member
	rules         map[Place]Rules
	spillAllowed  bool
	budget        spillBudget
	ejection      *ejection.Tracker
	// disabled is the set of mechanisms that a test has switched off.
	disabled mechanism
}

// mechanism is a bit set of the parts of the pool that tests can switch off.
type mechanism uint16

const (
	offEvacuation mechanism = 1 << iota
	offLeaving
	offCredits
	offRamp
	offInFlightCorrection
	offSpillBudget
	offReportOrder
	offPrefixBound
	offHeadroom
	offVersions
	offEjection
)

// NewPool returns an empty pool for an entry that runs at home.
func NewPool(home Place, rng *rand.Rand) *Pool {
	p := &Pool{
		home:     home,
		rng:      rng,
		members:  map[contract.MachineID]*member{},
		rules:    map[Place]Rules{},
		ejection: ejection.NewTracker(rng),
	}
	p.budget.setEntryCount(1)
	return p
}

// SetMembers replaces the list of targets. The state of a target that stays in the list
// is retained.
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
	p.sortedMembers = p.sortedMembers[:0]
	for _, m := range p.members {
		p.sortedMembers = append(p.sortedMembers, m)
	}
	sort.Slice(p.sortedMembers, func(i, j int) bool { return p.sortedMembers[i].Machine < p.sortedMembers[j].Machine })
}

// setMember adds a target or updates its listed data.
func (p *Pool) setMember(entry Member) {
	m, ok := p.members[entry.Machine]
	if !ok {
		m = &member{hash: xxhash.Sum64String(string(entry.Machine))}
		p.members[entry.Machine] = m
	}
	m.Member = entry
	m.tier = tierOf(p.home, entry.Place)
}

// SetEntryCount sets how many entries share the links between the home region and other
// regions.
func (p *Pool) SetEntryCount(n int) {
	p.budget.setEntryCount(n)
}

// SetRules replaces the settings. rules holds those of every place with members, and
// spill is whether work may go to other regions. The targets of a zone that is no longer
// evacuated begin their slow start.
func (p *Pool) SetRules(now time.Time, rules map[Place]Rules, spill bool) {
	for _, m := range p.sortedMembers {
		if p.rules[m.Place].Evacuated && !rules[m.Place].Evacuated {
			m.rampStart = now
		}
	}
	p.rules = rules
	p.spillAllowed = spill
}

// redialWindow is the time within which a lost link that works again counts as replaced.
const redialWindow = 2 * time.Second

// LinkUp records that the link to a target works. A returning target begins its slow
// start, unless the link was only replaced.
func (p *Pool) LinkUp(now time.Time, id contract.MachineID, returning bool) {
	m, ok := p.members[id]
	if !ok || m.up {
		return
	}
	m.up = true
	replaced := !m.downAt.IsZero() && now.Sub(m.downAt) < redialWindow
	if returning && !replaced {
		m.rampStart = now
	}
}

// LinkDown records that the link to a target is lost.
func (p *Pool) LinkDown(now time.Time, id contract.MachineID) {
	m, ok := p.members[id]
	if !ok {
		return
	}
	if m.up {
		m.downAt = now
	}
	m.up = false
	m.loadKnown = false
}

// ReportResult is the result of processing a load report.
type ReportResult uint8

const (
	// Accepted means that the report was applied, or contained no load.
	Accepted ReportResult = iota
	// Outdated means that the report is of an earlier incarnation or out of sequence.
	Outdated
	// Unlisted means that the pool does not contain the target.
	Unlisted
	// Contradictory means that the values in the report contradict each other or are
	// implausibly large.
	Contradictory
)

// maxUnits bounds the counts in a plausible report.
const maxUnits = 1 << 20

// Report records the load that a target reported. Incarnation 0 stands for the current
// one. A load with Seq 0 stands for no load and is ignored.
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
	if p.disabled&offReportOrder == 0 && !m.isNewer(incarnation, load.Seq) {
		return Outdated
	}
	if incarnation > m.incarnation {
		if m.incarnation != 0 {
			m.rampStart = now
		}
		m.incarnation = incarnation
	}
	m.load = load
	m.loadKnown = true
	m.reportedAt = now
	return Accepted
}

// isNewer reports whether a report is newer than the current load of the target.
func (m *member) isNewer(incarnation contract.Incarnation, seq uint64) bool {
	if incarnation != 0 && incarnation != m.incarnation {
		return incarnation > m.incarnation
	}
	return !m.loadKnown || seq > m.load.Seq
}

// Incarnation returns the incarnation of the target that last reported; 0 if none has.
func (p *Pool) Incarnation(id contract.MachineID) contract.Incarnation {
	if m, ok := p.members[id]; ok {
		return m.incarnation
	}
	return 0
}

// ReportedAfter reports whether the target's current load was received after the given
// time.
func (p *Pool) ReportedAfter(id contract.MachineID, after time.Time) bool {
	m, ok := p.members[id]
	return ok && m.reportedAt.After(after)
}

// HasRoom reports whether a target has credits and capacity left, irrespective of its
// slow start.
func (p *Pool) HasRoom(now time.Time, id contract.MachineID) bool {
	m, ok := p.members[id]
	return ok && p.hasRoom(now, m, false)
}

// IsListed reports whether the pool contains the target.
func (p *Pool) IsListed(id contract.MachineID) bool {
	_, ok := p.members[id]
	return ok
}
