package placement

import (
	"math/rand/v2"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/ejection"
	"mimosastand.example/mimosastand/zone/leaving"
	"mimosastand.example/mimosastand/zone/ratelimit"
	"mimosastand.example/mimosastand/zone/roster"
)

const (
	// coldWindow is the time window in which requests to a cold target are counted.
	coldWindow = time.Second
	// refusalMaxAge is how long a target counts as full after it refused an attempt.
	refusalMaxAge = 120 * time.Millisecond
	// reportMaxAge is how long the load that a target reported is used.
	reportMaxAge = 300 * time.Millisecond
	// processReportMaxAge is how long the load is used that the process beside a target
	// reported: heartbeats carry it, over several entries in a large fleet.
	processReportMaxAge = 1200 * time.Millisecond
	// otherZonePenalty is added to the cost of a target in another zone of the entry's
	// region, otherRegionPenalty to that of a target in another region. Costs are delays.
	otherZonePenalty   = 2 * time.Millisecond
	otherRegionPenalty = 20 * time.Millisecond
	// silentTargetPenalty is added to the cost of a target whose process is silent.
	silentTargetPenalty = 150 * time.Millisecond
	// costJitter bounds the random part of a target's cost. It keeps entries with the
	// same information from all choosing the same target.
	costJitter = 8 * time.Millisecond
	// peerLoadLag is how long it takes an entry to learn what the other entries have
	// sent: about the interval of their heartbeats.
	peerLoadLag = 250 * time.Millisecond
	// maxWaiting is how many requests may wait at a target.
	maxWaiting = 1
)

// Place is where a process runs.
type Place struct {
	Region contract.RegionName
	Zone   contract.ZoneName
}

// Requirements describes the targets that an attempt may be sent to.
type Requirements struct {
	// RegionAllowed reports whether a region may serve the request. If it is nil, every
	// region may.
	RegionAllowed func(contract.RegionName) bool
	// MinVersion is the oldest version of the weights that the attempt may run on; 0
	// means any.
	MinVersion int64
	// Pinned is the only version of the weights that may continue a stream that has
	// begun; 0 means any.
	Pinned int64
	// Tried lists the targets that the request has already been sent to.
	Tried []roster.TargetID
	// PromptTokens and AnswerTokens are the size of the prompt and the expected size of the answer; 0
	// if unknown, then the usual size is assumed. They count on paced and size-aware services only.
	PromptTokens, AnswerTokens float64
	// Remaining is the time until the caller's deadline, which the longer limit of a large prompt does not
	// exceed; 0 if unknown.
	Remaining time.Duration
	// isSpare is set for a further attempt beside one that is under way: it must not wait for a slot at the
	// target, and its limit is not extended for a large prompt.
	isSpare bool
	// Spare is how many of the entry's own slots must stay free for more urgent requests.
	Spare int
}

// IsOutdated reports whether only a version may continue the stream that is too old by now: no target will ever
// fulfil the requirements.
func (r Requirements) IsOutdated() bool { return r.Pinned != 0 && r.Pinned < r.MinVersion }

// Choice is a target for an attempt, with the data that the choice is based on.
type Choice struct {
	ID      roster.TargetID
	Address string
	// Born is when this incarnation of the target started, in Unix milliseconds.
	Born int64
	// Version is the last known version of the target's weights. MinVersion is the
	// oldest version that was allowed; 0 means any.
	Version, MinVersion int64
	// FirstEventDelay is the predicted time to the first event, at the estimated load
	// of Load requests.
	FirstEventDelay time.Duration
	Load            int
	// Pace is the pace in percent that FirstEventDelay assumes; 0 on services that are not paced.
	// Correction is the part of FirstEventDelay that follows from the errors of past predictions.
	Pace       float64
	Correction time.Duration
	// ListedAge is how long ago the target's entry in the target list was received.
	ListedAge time.Duration
	// StatusAge is how long ago the target's process last reported; it is negative if
	// the process has never reported.
	StatusAge time.Duration
}

// Refusal is the outcome of a choice: Placed, or the reason why no target was chosen. Of
// several reasons the lowest value is reported, that with the shortest wait.
type Refusal uint8

const (
	// Placed means that a target was chosen.
	Placed Refusal = iota
	// Full means that no target has room, and at least one that may serve the request
	// is full.
	Full
	// ColdShareUsed means that this entry has used up its share of the requests that
	// the targets may receive in a second.
	ColdShareUsed
	// RateShareUsed means that this entry has used up its share of the rates to which the
	// targets limit all entries.
	RateShareUsed
	// BackedOff means that the targets want no request from this entry for a while.
	BackedOff
	// NoTarget means that no target may serve the request at present.
	NoTarget
)

// targetLoad is what the pool records about a target in addition to the roster.
type targetLoad struct {
	// ownInFlight counts the attempts of this entry in flight, peerInFlight those of
	// the other entries.
	ownInFlight  int
	peerInFlight float64
	// reported is the load that the target reported at reportedAt. sentSince counts the
	// attempts that this entry has sent since then.
	reported   int
	reportedAt time.Time
	sentSince  int
	// fullUntil is until when the target counts as full after a refusal.
	fullUntil time.Time
	// misdirectedAt is when the target last said that it is not what this entry takes it for.
	misdirectedAt time.Time
	// backoff is until when the target wants no request from this entry.
	backoff backoff
	// lastReceived is how long the process had been running when something last arrived
	// from the target.
	lastReceived time.Duration
	// sends holds the times of the attempts sent within sendLogWindow.
	sends sendLog
	// ownPrompt and ownAnswer are the tokens of this entry's attempts in flight.
	ownPrompt, ownAnswer float64
	// pace is what was last learned of the target's pace.
	pace paceReport
	// readUntil is when the target is expected to have read the prompts of the attempts that this
	// entry has sent, and of those that the others are expected to have sent meanwhile.
	readUntil time.Time
}

// Pool holds the targets of one service.
type Pool struct {
	home      Place
	rng       *rand.Rand
	regions   map[contract.ZoneName]contract.RegionName
	service   *catalog.Service
	members   []*roster.Member
	loads     map[roster.TargetID]*targetLoad
	ejection  *ejection.Tracker
	evacuated map[contract.ZoneName]bool
	// coldShares limits what a target may receive from this entry in coldWindow.
	coldShares ColdShares
	// rateLimits holds the rates to which targets limit all entries; coldShares tells this
	// entry's share of them.
	rateLimits *ratelimit.Tracker
	// leaving holds the targets that have said that they leave.
	leaving *leaving.Tracker
	// runTime is for how long the process has been running.
	runTime time.Duration
	// entries is the number of entries that send to the targets, this one included.
	// flightsComplete is set if it is known what all of them have in flight.
	entries         int
	flightsComplete bool
	// inflow estimates what the other entries send.
	inflow inflow
	// sizeAware is set if the sizes of requests count although the service is not paced.
	sizeAware bool
	// pacedCandidates is how many targets at each distance a choice compares while the service is paced.
	pacedCandidates int
	// pace holds what was seen lately at all targets, correction what the errors of past
	// predictions teach.
	pace       paceSummary
	correction correction
	// slots holds the slots that this entry owns among the running entries, and coldSlots those
	// among all that were ever known; unused unless ShareSlots was called.
	slots, coldSlots slotShares
	// borrowing decides whether this entry uses slots of others.
	borrowing borrowing
}

// NewPool returns an empty pool for an entry that runs at home. regions maps each zone
// to its region.
func NewPool(home Place, regions map[contract.ZoneName]contract.RegionName, rng *rand.Rand) *Pool {
	return &Pool{
		home:       home,
		rng:        rng,
		regions:    regions,
		loads:      map[roster.TargetID]*targetLoad{},
		ejection:   ejection.NewTracker(rng),
		rateLimits: ratelimit.NewTracker(rng),
		leaving:    leaving.NewTracker(),

		pacedCandidates: pacedCandidatesPerDistance,
	}
}

// SetService replaces the declaration of the service.
func (p *Pool) SetService(s *catalog.Service) {
	p.service = s
	p.updateSlots()
}

// SetMembers replaces the targets. The records of targets that are no longer listed are
// dropped, unless this entry has attempts in flight there, has just sent one, or backs off: a target
// that is listed again must not get more than its share.
func (p *Pool) SetMembers(now time.Time, members []*roster.Member) {
	p.members = members
	p.updateSlots()
	listed := map[roster.TargetID]bool{}
	for _, m := range members {
		listed[m.ID] = true
	}
	for id, l := range p.loads {
		if !listed[id] && l.ownInFlight == 0 && l.backoff.until <= p.runTime && l.sends.countAfter(now.Add(-sendLogWindow)) == 0 {
			delete(p.loads, id)
			p.ejection.Forget(contract.MachineID(id))
		}
	}
}

// SetEvacuated replaces the set of evacuated zones, whose targets get no new attempts.
func (p *Pool) SetEvacuated(zones map[contract.ZoneName]bool) {
	p.evacuated = zones
	p.updateSlots()
}

// SetEntryCount sets the number of entries that send to the targets, this one included.
func (p *Pool) SetEntryCount(n int) { p.entries = n }

// SetFlightsComplete tells whether SetPeerLoad counts the attempts of all other entries. If it does
// not, the loads count that the processes beside the targets report.
func (p *Pool) SetFlightsComplete(complete bool) { p.flightsComplete = complete }

// SetColdShares sets the limits on what one target receives from this entry in a second,
// and how the entries divide the rates to which targets limit them.
func (p *Pool) SetColdShares(s ColdShares) { p.coldShares = s }

// SetRateLimits replaces the tracker of the targets' rate limits, which pools may share.
func (p *Pool) SetRateLimits(t *ratelimit.Tracker) { p.rateLimits = t }

// SetLeaving replaces the tracker of the targets that have said that they leave, which pools may
// share.
func (p *Pool) SetLeaving(t *leaving.Tracker) { p.leaving = t }

// SetPeerLoad sets the number of attempts that the other entries have in flight at a
// target.
func (p *Pool) SetPeerLoad(id roster.TargetID, n float64) { p.loadOf(id).peerInFlight = n }

// loadOf returns the record of a target, which it creates if necessary.
func (p *Pool) loadOf(id roster.TargetID) *targetLoad {
	l, ok := p.loads[id]
	if !ok {
		l = &targetLoad{}
		p.loads[id] = l
	}
	return l
}

// estimateLoad estimates the number of requests at a target now. For every attempt that this
// entry has just sent there, the others are expected to have sent theirs, since all entries
// decide on the same information. Otherwise an engine that returns idle would get the
// next requests of all entries at once.
func (p *Pool) estimateLoad(now time.Time, m *roster.Member) float64 {
	duration := NewLatencyModel(p.service, m.Slots).RequestDuration()
	recent := p.loadOf(m.ID).sends.countAfter(now.Add(-min(peerLoadLag, duration)))
	return p.knownLoad(now, m) + float64(recent)*p.inflow.perOwn
}

// knownLoad returns the number of requests at a target as far as this entry knows.
func (p *Pool) knownLoad(now time.Time, m *roster.Member) float64 {
	l := p.loadOf(m.ID)
	duration := NewLatencyModel(p.service, m.Slots).RequestDuration()
	n := float64(l.ownInFlight) + l.peerInFlight
	if now.Sub(l.reportedAt) < min(reportMaxAge, duration) {
		n = max(n, float64(l.reported+l.sentSince))
	}
	if load, at, ok := p.processLoad(now, m, duration); ok {
		n = max(n, load+float64(l.sends.countAfter(at)))
	}
	return n
}

// predictDelay predicts the time to the first event of an attempt that is sent now and finds load
// requests at the target. The prompts of those that were sent just before are read first.
func (p *Pool) predictDelay(now time.Time, m *roster.Member, load float64, req Requirements) time.Duration {
	unread := max(p.loadOf(m.ID).readUntil.Sub(now), 0)
	if p.isSizeAware(now) {
		return p.predictSized(now, m, load, unread, req)
	}
	return NewLatencyModel(p.service, m.Slots).FirstEventDelay(load) + unread
}

// candidatesPerDistance is how many targets at each distance a choice compares. Many entries choose
// at the same time on information of the same age: if each took the best of all targets, they
// would all take the same one.
const candidatesPerDistance = 2

// Pick chooses a target for an attempt whose first event is due within limit: the best of a few at
// each distance that may get it, which are drawn at random. Ejected targets are considered only if
// no other target has room or is full.
func (p *Pool) Pick(now time.Time, req Requirements, limit time.Duration) (Choice, Refusal) {
	p.updateInflow(now, req, limit)
	req = p.withoutSpare(now, req)
	outcome := NoTarget
	for _, includeEjected := range []bool{false, true} {
		best, refusal := p.pickAmong(now, req, limit, includeEjected)
		if best != nil {
			return p.choiceOf(now, best, req), Placed
		}
		if outcome = min(outcome, refusal); outcome == Full {
			break
		}
	}
	return Choice{}, outcome
}

// pickAmong is Pick with ejected targets considered only if includeEjected is set.
func (p *Pool) pickAmong(now time.Time, req Requirements, limit time.Duration, includeEjected bool) (best *roster.Member, outcome Refusal) {
	outcome = NoTarget
	var bestCost time.Duration
	var candidates [distanceCount]int
	most := p.candidateCount(now)
	for _, i := range p.rng.Perm(len(p.members)) {
		m := p.members[i]
		d := p.distanceOf(m)
		if candidates[d] >= most {
			continue
		}
		a := p.admit(now, m, req, limit, includeEjected)
		if a.exclusion != NotExcluded {
			outcome = min(outcome, a.exclusion.refusal())
			continue
		}
		candidates[d]++
		cost := a.delay + p.penalty(now, m) + time.Duration(p.rng.Int64N(int64(costJitter)))
		if a.borrows {
			cost += borrowPenalty
		}
		if best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
	}
	return best, outcome
}

// KeepsIdleConns reports whether the targets accept a connection of each entry at the same
// time.
func (p *Pool) KeepsIdleConns() bool {
	return p.service == nil || p.service.MaxConns <= 0 || p.service.MaxConns >= p.coldShares.ShareCount
}

// EjectedCount returns the number of targets that are ejected because of failures,
// slowness or silence. Targets that are due for a probe are not counted.
func (p *Pool) EjectedCount(now time.Time) int {
	n := 0
	for _, m := range p.members {
		if p.ejection.Verdict(now, contract.MachineID(m.ID)) == ejection.Ejected {
			n++
		}
	}
	return n
}
