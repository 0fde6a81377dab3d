package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/ejection"
	"mimosastand.example/mimosastand/zone/roster"
)

const (
	// coldWindow is the span over which a cold target's requests are counted.
	coldWindow = time.Second
	// settleTime is how long a target's refusal for room is believed.
	settleTime = 120 * time.Millisecond
	// reportedLife is how long a load that a target told of itself is believed.
	reportedLife = 300 * time.Millisecond
	// otherZone and otherRegion are what a target elsewhere costs, as a delay.
	otherZone   = 2 * time.Millisecond
	otherRegion = 20 * time.Millisecond
	// silentMachine is what a target costs whose process has fallen silent.
	silentMachine = 150 * time.Millisecond
	// spread is the random part of a target's cost, so that entries which know
	// the same do not all choose the same.
	spread = 8 * time.Millisecond
	// herdWindow is the time within which an entry does not know what the others have
	// sent: about the interval of their heartbeats.
	herdWindow = 250 * time.Millisecond
	// roomBeyondSlots is how many requests may wait at a target.
	roomBeyondSlots = 1
)

// Place is where a process runs.
type Place struct {
	Region contract.RegionName
	Zone   contract.ZoneName
}

// Want describes an attempt to be placed.
type Requirements struct {
	// Allowed reports whether a region may serve the request.
	RegionAllowed func(contract.RegionName) bool
	// MinVersion is the oldest version of weights that may begin; 0 for any.
	MinVersion int64
	// Pinned is the only version that may go on with a begun stream; 0 for any.
	Pinned int64
	// Tried lists the targets that the request has been sent to.
	Tried []roster.TargetID
}

// Choice is where an attempt goes.
type Choice struct {
	ID      roster.TargetID
	Address string
	// Version is that of the target's weights as far as known, Oldest the oldest one
	// that was allowed; 0 for any.
	Version, MinVersion int64
	// First predicts the time to the first event, from a load of Load requests.
	FirstEventDelay time.Duration
	Load            int
	// ListedAge is how old the target's entry in the list is.
	ListedAge time.Duration
	// ToldAge is how long ago the process beside the target told of it; negative if
	// it never did.
	StatusAge time.Duration
}

// Refusal tells why there is no choice.
type Refusal uint8

const (
	// Placed means that there is a choice.
	Placed Refusal = iota
	// Full means that all targets have as much as they bear.
	Full
	// Cold means that the entry's share of cold targets is used up.
	ColdShareUsed
	// None means that no target may serve the request at present.
	NoTarget
)

// load is what the pool knows of a target beyond the roster.
type load struct {
	own    int
	others float64
	// reported is what the target said at reportedAt, sent counts what this entry
	// has sent since.
	reported   int
	reportedAt time.Time
	sent       int
	fullUntil  time.Time
	// heard is for how long the process had run when the target last sent anything.
	heard time.Duration
	// sends are the times of the attempts within coldWindow.
	sends []time.Time
}

// Pool holds the targets of one service.
type Pool struct {
	home     Place
	rng      *rand.Rand
	regions  map[contract.ZoneName]contract.RegionName
	service  *catalog.Service
	members  []*roster.Member
	loads    map[roster.TargetID]*load
	ejection *ejection.Tracker
	out      map[contract.ZoneName]bool
	// cold divides what a target may get in coldWindow.
	cold ColdShares
	// entries is the number of entries that send to the targets.
	entries int
}

// NewPool returns an empty pool as seen from home. regions maps each zone.
func NewPool(home Place, regions map[contract.ZoneName]contract.RegionName, rng *rand.Rand) *Pool {
	return &Pool{
		home:     home,
		rng:      rng,
		regions:  regions,
		loads:    map[roster.TargetID]*load{},
		ejection: ejection.NewTracker(rng),
	}
}

// SetService replaces what operators declare of the service.
func (p *Pool) SetService(s *catalog.Service) { p.service = s }

// SetMembers replaces the targets.
func (p *Pool) SetMembers(members []*roster.Member) {
	p.members = members
	listed := map[roster.TargetID]bool{}
	for _, m := range members {
		listed[m.ID] = true
	}
	for id, l := range p.loads {
		if !listed[id] && l.own == 0 {
			delete(p.loads, id)
			p.ejection.Forget(contract.MachineID(id))
		}
	}
}

// SetEvacuated replaces the zones whose targets get nothing new.
func (p *Pool) SetEvacuated(zones map[contract.ZoneName]bool) { p.out = zones }

// SetEntries tells how many entries send to the targets, this one included.
func (p *Pool) SetEntryCount(n int) { p.entries = n }

// SetColdShares bounds what one target gets from this entry in a second.
func (p *Pool) SetColdShares(s ColdShares) { p.cold = s }

// SetOthers replaces what the other entries have in flight at a target.
func (p *Pool) SetPeerLoad(id roster.TargetID, n float64) { p.load(id).others = n }

func (p *Pool) load(id roster.TargetID) *load {
	l, ok := p.loads[id]
	if !ok {
		l = &load{}
		p.loads[id] = l
	}
	return l
}

// estimate is the number of requests at a target now. What this entry has just
// sent there the others may have sent as well, since they know the same: an engine
// that comes back empty would else get the next requests of all entries.
func (p *Pool) estimate(now time.Time, m *roster.Member) float64 {
	l := p.load(m.ID)
	lasts := NewLatencyModel(p.service, m.Slots).RequestDuration()
	n := float64(l.own) + l.others
	if now.Sub(l.reportedAt) < min(reportedLife, lasts) {
		n = max(n, float64(l.reported+l.sent))
	}
	unknown := l.since(now.Add(-min(herdWindow, lasts)))
	return n + float64(unknown*max(p.entries-1, 0))
}

// since counts the attempts sent after a time.
func (l *load) since(start time.Time) int {
	n := 0
	for i := len(l.sends) - 1; i >= 0 && l.sends[i].After(start); i-- {
		n++
	}
	return n
}

// usable reports whether a target may get the attempt however little it has to do.
func (p *Pool) usable(now time.Time, m *roster.Member, want Requirements) bool {
	return p.bar(now, m, want) == NotExcluded
}

// bar is the rule that leaves a target out however little it has to do.
func (p *Pool) bar(now time.Time, m *roster.Member, want Requirements) Exclusion {
	switch {
	case m.Leaving:
		return ExcludedLeaving
	case p.out[m.Zone]:
		return ExcludedEvacuated
	case want.RegionAllowed != nil && !want.RegionAllowed(p.regions[m.Zone]):
		return ExcludedRegion
	}
	if p.service != nil && p.service.Engine != nil {
		if bar := p.weightsBar(now, m, want); bar != NotExcluded {
			return bar
		}
	}
	if slices.Contains(want.Tried, m.ID) {
		return ExcludedTried
	}
	return NotExcluded
}

// weightsBar is the rule by which a model engine's weights leave it out.
func (p *Pool) weightsBar(now time.Time, m *roster.Member, want Requirements) Exclusion {
	if s, ok := m.Status(now); ok && s.Changing {
		return ExcludedChanging
	}
	version := m.Version(now)
	if want.Pinned != 0 && version != want.Pinned {
		return ExcludedVersion
	}
	if version <= 0 || version < want.MinVersion {
		return ExcludedVersion
	}
	return NotExcluded
}

// Pick chooses a target for an attempt whose first event is due within limit.
func (p *Pool) Pick(now time.Time, want Requirements, limit time.Duration) (Choice, Refusal) {
	refusal := NoTarget
	var best *roster.Member
	var bestCost time.Duration
	var choice Choice
	for pass := 0; pass < 2 && best == nil; pass++ {
		for _, m := range p.members {
			if !p.usable(now, m, want) {
				continue
			}
			why, first := p.room(now, m, limit, pass > 0)
			if why != Placed {
				if refusal == NoTarget || why == Full {
					refusal = why
				}
				continue
			}
			cost := first + p.distance(now, m) + time.Duration(p.rng.Int64N(int64(spread)))
			if best == nil || cost < bestCost {
				best, bestCost = m, cost
				choice = p.choice(now, m, want)
			}
		}
		if refusal == Full {
			break
		}
	}
	if best == nil {
		return Choice{}, refusal
	}
	return choice, Placed
}

// room reports whether a target has room for an attempt and predicts its first
// event. With ejected set, targets that were taken out are asked as well.
func (p *Pool) room(now time.Time, m *roster.Member, limit time.Duration, ejected bool) (Refusal, time.Duration) {
	verdict := p.ejection.Verdict(now, contract.MachineID(m.ID))
	// A target that was taken out is not tried with a request while its machine is
	// silent as well.
	if !ejected && (verdict == ejection.Ejected || verdict == ejection.Probe && m.IsSilent(now)) {
		return NoTarget, 0
	}
	l := p.load(m.ID)
	if !p.bearsCold(now, m, l) {
		return ColdShareUsed, 0
	}
	pace := NewLatencyModel(p.service, m.Slots)
	n := p.estimate(now, m)
	first := pace.FirstEventDelay(n)
	if now.Before(l.fullUntil) || n >= float64(pace.slots+roomBeyondSlots) || first > limit {
		return Full, first
	}
	return Placed, first
}

// bearsCold reports whether this entry's share of a target has room for an attempt.
func (p *Pool) bearsCold(now time.Time, m *roster.Member, l *load) bool {
	if p.cold.TotalLimit <= 0 {
		return true
	}
	share := p.cold.WarmLimit()
	if now.Before(m.ColdUntil) {
		share = p.cold.ColdLimit(now, m.ID)
	}
	l.trim(now)
	return len(l.sends) < share
}

func (l *load) trim(now time.Time) {
	for len(l.sends) > 0 && now.Sub(l.sends[0]) > coldWindow {
		l.sends = l.sends[1:]
	}
}

// distance is what a target costs beside its load, as a delay.
func (p *Pool) distance(now time.Time, m *roster.Member) time.Duration {
	d := time.Duration(0)
	switch {
	case m.Zone == p.home.Zone:
	case p.regions[m.Zone] == p.home.Region:
		d = otherZone
	default:
		d = otherRegion
	}
	if m.IsSilent(now) {
		d += silentMachine
	}
	return d
}

// Soonest predicts when a target will have room for one more request; ok is
// false if no target may serve it.
func (p *Pool) PredictWait(now time.Time, want Requirements, limit time.Duration) (wait time.Duration, ok bool) {
	for _, m := range p.members {
		if !p.usable(now, m, want) {
			continue
		}
		over := NewLatencyModel(p.service, m.Slots).FirstEventDelay(p.estimate(now, m)) - limit
		if !ok || over < wait {
			wait, ok = over, true
		}
	}
	return max(wait, 0), ok
}

// Out is the number of targets that are taken out for failures or silence.
func (p *Pool) EjectedCount(now time.Time) int {
	n := 0
	for _, m := range p.members {
		if p.ejection.Verdict(now, contract.MachineID(m.ID)) == ejection.Ejected {
			n++
		}
	}
	return n
}
