package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/roster"
)

const (
	// minSharingEntries is how many entries an entry must know to own slots. One that knows
	// only itself may have just started, or be cut off.
	minSharingEntries = 2
	// minSlotsToSpare is how many own slots an entry must have to keep some of them free: of
	// fewer, one is too large a part.
	minSlotsToSpare = 4
)

// slotShares holds which slots of the targets an entry owns.
type slotShares struct {
	self contract.MachineID
	// entries lists the running entries, sorted; nil if slots are not shared. zones holds their zones.
	entries []contract.MachineID
	zones   map[contract.MachineID]contract.ZoneName
	// targets lists the targets in the order of their IDs.
	targets []slottedTarget
	// owned holds the owned slots of each target by their places in its order of slots; nil
	// if they have not been computed since a change.
	owned map[roster.TargetID][]int
}

// slottedTarget is a target, its zone and its number of slots.
type slottedTarget struct {
	id    roster.TargetID
	zone  contract.ZoneName
	slots int
}

// ShareSlots has this entry use the slots of the targets that it owns, and those of others only if
// they have room. running lists the entries that run, sorted. nil ends it.
func (p *Pool) ShareSlots(self contract.MachineID, running []contract.MachineID) {
	if running == nil {
		p.slots, p.coldSlots = slotShares{}, slotShares{}
		return
	}
	p.slots.setEntries(self, running, p.coldShares.Zones)
	p.coldSlots.setEntries(self, p.coldShares.Entries, p.coldShares.Zones)
	p.updateSlots()
}

// updateSlots takes in a change of the targets, if slots are shared.
func (p *Pool) updateSlots() {
	if !p.sharesSlots() {
		return
	}
	targets := p.listSlots()
	p.slots.setTargets(targets)
	p.coldSlots.setTargets(targets)
}

func (p *Pool) sharesSlots() bool { return p.slots.entries != nil }

func (s *slotShares) setEntries(self contract.MachineID, entries []contract.MachineID, zones map[contract.MachineID]contract.ZoneName) {
	if s.entries != nil && s.self == self && slices.Equal(s.entries, entries) && maps.Equal(s.zones, zones) {
		return
	}
	s.self, s.entries, s.zones, s.owned = self, slices.Clone(entries), maps.Clone(zones), nil
	if s.entries == nil {
		s.entries = []contract.MachineID{}
	}
}

func (s *slotShares) setTargets(targets []slottedTarget) {
	if !slices.Equal(s.targets, targets) {
		s.targets, s.owned = targets, nil
	}
}

// of returns the places of the slots of a target that the entry owns.
func (s *slotShares) of(id roster.TargetID) []int {
	if s.owned == nil {
		s.owned = s.assign()
	}
	return s.owned[id]
}

// assign divides the slots of each target among the entries of its zone (candidatesOf). Each of these owns the
// same number of slots of a target; those that remain go to the first entries in the order of rendezvous
// hashing that have not got more than the mean of the targets before. Without that cap, entries with the same
// load would own between half and one and a half times the mean, and the ones with few would refuse callers
// while others have slots free.
func (s *slotShares) assign() map[roster.TargetID][]int {
	owned := map[roster.TargetID][]int{}
	self, isKnown := slices.BinarySearch(s.entries, s.self)
	if !isKnown || len(s.entries) < minSharingEntries {
		return owned
	}
	candidates := s.candidatesByZone()
	extras, assigned := make([]int, len(s.entries)), map[contract.ZoneName]int{}
	for _, t := range s.targets {
		order := s.orderFor(t.id, candidates[t.zone])
		place, count := slices.Index(order, self), len(order)
		if place < 0 {
			continue
		}
		for i := range t.slots / count {
			owned[t.id] = append(owned[t.id], i*count+place)
		}
		first := t.slots / count * count
		for i, e := range assignExtras(order, extras, t.slots%count, assigned[t.zone]/count+1) {
			extras[e]++
			assigned[t.zone]++
			if e == self {
				owned[t.id] = append(owned[t.id], first+i)
			}
		}
	}
	return owned
}

// candidatesByZone returns, for each zone with targets, the entries that own the slots of its targets, by their
// indexes: those of the zone, and those of zones without targets or of an unknown zone. Answers of targets in
// other regions take up the narrow links between regions, so these are reached with borrowed slots only.
// In a zone with fewer than minSharingEntries of them, all entries are.
func (s *slotShares) candidatesByZone() map[contract.ZoneName][]int {
	byZone := map[contract.ZoneName][]int{}
	for _, t := range s.targets {
		byZone[t.zone] = nil
	}
	var all []int
	for i, e := range s.entries {
		all = append(all, i)
		if _, ok := byZone[s.zones[e]]; ok && s.zones[e] != "" {
			byZone[s.zones[e]] = append(byZone[s.zones[e]], i)
			continue
		}
		for zone := range byZone {
			byZone[zone] = append(byZone[zone], i)
		}
	}
	for zone, entries := range byZone {
		if len(entries) < minSharingEntries {
			byZone[zone] = all
		}
	}
	return byZone
}

// assignExtras returns the entries that own n further slots, one each: the first ones in the order
// with less than maxExtras, and if these are too few, the first of the others.
func assignExtras(order, extras []int, n, maxExtras int) []int {
	var chosen []int
	for _, e := range order {
		if len(chosen) < n && extras[e] < maxExtras {
			chosen = append(chosen, e)
		}
	}
	for _, e := range order {
		if len(chosen) < n && !slices.Contains(chosen, e) {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

// orderFor returns entries, by their indexes, in the order of rendezvous hashing for a target.
func (s *slotShares) orderFor(id roster.TargetID, entries []int) []int {
	weights := make(map[int]uint64, len(entries))
	for _, i := range entries {
		weights[i] = rendezvousWeight(id, s.entries[i])
	}
	return slices.SortedFunc(slices.Values(entries), func(a, b int) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
}

// listSlots lists the targets with their slots, in the order of their IDs, but those in evacuated zones.
func (p *Pool) listSlots() []slottedTarget {
	list := make([]slottedTarget, 0, len(p.members))
	for _, m := range p.members {
		if p.evacuated[m.Zone] {
			continue
		}
		list = append(list, slottedTarget{m.ID, m.Zone, NewLatencyModel(p.service, m.Slots).slots})
	}
	slices.SortFunc(list, func(a, b slottedTarget) int { return cmp.Compare(a.id, b.id) })
	return list
}

// openSlots returns how many of its own slots of a target the entry may use now. The slots of a
// target that has become usable open one after the other, as fast as it reads prompts: those sent
// last would otherwise wait for the prompts of all others.
func (p *Pool) openSlots(now time.Time, m *roster.Member) int {
	usable := m.UsableSince()
	open := 0
	for _, place := range p.slots.of(m.ID) {
		if usable.IsZero() || now.Sub(usable) >= time.Duration(place)*p.prefillTime() {
			open++
		}
	}
	return open
}

// room is how an attempt finds room at a target.
type room struct {
	// load is the number of requests that the attempt is expected to find.
	load float64
	// hasRoom is set if the target may get the attempt as far as its load is concerned, borrows if it
	// would use a slot of another entry.
	hasRoom, borrows bool
}

// roomAt returns whether a target that runs slots requests at once has room for an attempt of this
// entry. On a slot that the entry owns, it finds at most the other slots in use, and what has been
// sent beyond the slots.
func (p *Pool) roomAt(now time.Time, m *roster.Member, req Requirements, slots int) room {
	if !p.sharesSlots() {
		n := p.estimateLoad(now, m)
		return room{load: n, hasRoom: n < maxLoadBefore(slots, req)}
	}
	if p.loadOf(m.ID).ownInFlight < p.openSlots(now, m) && req.Spare <= 0 {
		load := min(p.knownLoad(now, m), float64(slots-1)) + float64(p.reportedExcess(now, m, slots))
		return room{load: load, hasRoom: true}
	}
	return p.roomToBorrow(now, m)
}

// withoutSpare returns the requirements without a demand for spare slots if more own slots of the targets
// that may serve the request are free than must stay free. Others do not get a slot of this entry.
func (p *Pool) withoutSpare(now time.Time, req Requirements) Requirements {
	if req.Spare <= 0 {
		return req
	}
	owned, free := 0, 0
	for _, m := range p.members {
		if p.exclusionOf(now, m, req) == NotExcluded {
			open := p.openSlots(now, m)
			owned += open
			free += max(open-p.loadOf(m.ID).ownInFlight, 0)
		}
	}
	if owned < minSlotsToSpare || free > req.Spare {
		req.Spare = 0
	}
	return req
}

// reportedExcess returns how many requests more than its slots a target has reported.
func (p *Pool) reportedExcess(now time.Time, m *roster.Member, slots int) int {
	excess := 0
	if load, at, ok := m.ReportedLoad(now); ok && now.Sub(at) < processReportMaxAge {
		excess = load - slots
	}
	if l := p.loadOf(m.ID); now.Sub(l.reportedAt) < reportMaxAge {
		excess = max(excess, l.reported-slots)
	}
	return max(excess, 0)
}

// SlotRate predicts how many attempts this entry can send in a second: the rate at which its own
// slots of the targets that may serve the request become free, if all are in use.
func (p *Pool) SlotRate(now time.Time, req Requirements) float64 {
	owned := 0
	for _, m := range p.members {
		if p.exclusionOf(now, m, req) == NotExcluded && p.backoffWait(m.ID, m.Born) == 0 && !p.isEjected(now, m) {
			owned += len(p.slots.of(m.ID))
		}
	}
	return float64(owned) / NewLatencyModel(p.service, 0).RequestDuration().Seconds()
}

// SlotDelay predicts the time to the first event of an attempt on a free slot of a busy target.
func (p *Pool) SlotDelay() time.Duration {
	model := NewLatencyModel(p.service, 0)
	return model.FirstEventDelay(float64(model.slots - 1))
}

// ownerColdLimit returns how many requests this entry may send in a second to a cold target of
// which it owns slots: their part of the limit of all entries. The slots are those that it owns
// among all entries that were ever known, as for the equal shares, since an entry that is gone may
// have sent its part in the same second. One part of the size of the largest is reserved for an
// entry that the others do not know. ok is false if the limit is too low for one request of each
// owner; equal shares are used then.
func (p *Pool) ownerColdLimit(now time.Time, m *roster.Member) (limit int, ok bool) {
	slots, entries := NewLatencyModel(p.service, m.Slots).slots, len(p.coldSlots.entries)
	if !p.sharesSlots() || entries < minSharingEntries {
		return 0, false
	}
	own := len(p.coldSlots.of(m.ID))
	largest := max((slots+entries-1)/entries, own)
	parts := slots + largest
	if p.coldShares.TotalLimit < parts {
		return 0, false
	}
	if now.Sub(p.coldShares.StartedAt) <= coldWindow {
		return 0, true
	}
	return p.coldShares.TotalLimit * own / parts, true
}
