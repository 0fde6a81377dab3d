package roster

import (
	"sort"
	"time"

	"mimosastand.example/mimosastand/contract"
)

const (
	// lapseHold is how long after the store's return an entry that lapsed
	// meanwhile is still believed.
	lapseHold = 2 * time.Second
	// silentAfter is how long a target process that told of its engine may be silent.
	silentAfter = 1700 * time.Millisecond
	// statusLife is how long a target process's word goes before the list's.
	statusLife = 3 * time.Second
)

// Member is a target and what is known of it beside the list.
type Member struct {
	Target
	// ListedAt is when the entry in force arrived.
	ListedAt time.Time
	// ColdUntil is when the target is warm, as far as the list tells.
	ColdUntil time.Time

	lapsedAt time.Time
	status   Status
	statusAt time.Time
}

// Status returns what the target's process says, if that is fresh.
func (m *Member) Status(now time.Time) (Status, bool) {
	if m.statusAt.IsZero() || now.Sub(m.statusAt) > statusLife {
		return Status{}, false
	}
	return m.status, true
}

// neverTold stands for the age of what a target's process has never told.
const neverTold = -time.Millisecond

// ToldAge is how long ago the target's process last told of it; negative if it never did.
func (m *Member) StatusAge(now time.Time) time.Duration {
	if m.statusAt.IsZero() {
		return neverTold
	}
	return now.Sub(m.statusAt)
}

// IsSilent reports whether the target's process told of it and no longer does: its
// machine may be cut off or dead.
func (m *Member) IsSilent(now time.Time) bool {
	return !m.statusAt.IsZero() && now.Sub(m.statusAt) > silentAfter
}

// Version is the version of the weights that the target holds; 0 if it cannot
// serve a model.
func (m *Member) Version(now time.Time) int64 {
	if s, ok := m.Status(now); ok {
		if !s.Ready {
			return 0
		}
		return s.Version
	}
	if m.Model == nil || m.Model.Layers == 0 {
		return 0
	}
	return m.Model.Version
}

// Roster holds the members of all services.
type Roster struct {
	members map[TargetID]*Member
	// byAddress finds the youngest member at an address.
	byAddress map[string]*Member
	// lostAt is when the store was lost, backAt when it came back; zero if it has
	// not been lost.
	lostAt, backAt time.Time
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{members: map[TargetID]*Member{}, byAddress: map[string]*Member{}}
}

// List takes in an entry of the list. An entry of an older life of the target,
// or one written before the entry in force, is dropped.
func (r *Roster) Update(now time.Time, t Target) {
	m, ok := r.members[t.ID]
	if ok && (t.Born < m.Born || t.Born == m.Born && t.Seq < m.Seq) {
		return
	}
	if !ok || t.Born != m.Born {
		m = &Member{}
		r.members[t.ID] = m
	}
	m.Target = t
	m.ListedAt = now
	m.lapsedAt = time.Time{}
	m.ColdUntil = now.Add(t.ColdLeft)
	r.index()
}

// Remove takes a target off the list, at once or, if the store may have dropped
// it by mistake, when that is no longer possible.
func (r *Roster) Remove(now time.Time, id TargetID) {
	m, ok := r.members[id]
	if !ok {
		return
	}
	if r.mayLapse(now) && !m.Leaving {
		if m.lapsedAt.IsZero() {
			m.lapsedAt = now
		}
		return
	}
	delete(r.members, id)
	r.index()
}

// mayLapse reports whether entries can be missing although their targets live.
func (r *Roster) mayLapse(now time.Time) bool {
	if r.lostAt.After(r.backAt) {
		return true
	}
	return !r.backAt.IsZero() && now.Sub(r.backAt) < lapseHold
}

// StoreLost records that the store does not answer.
func (r *Roster) StoreLost(now time.Time) {
	if !r.lostAt.After(r.backAt) {
		r.lostAt = now
	}
}

// StoreBack records that the store answers.
func (r *Roster) StoreRecovered(now time.Time) {
	if r.lostAt.After(r.backAt) {
		r.backAt = now
	}
}

// Tick drops the entries that lapsed and did not come back.
func (r *Roster) Tick(now time.Time) {
	if r.mayLapse(now) {
		return
	}
	dropped := false
	for id, m := range r.members {
		if !m.lapsedAt.IsZero() {
			delete(r.members, id)
			dropped = true
		}
	}
	if dropped {
		r.index()
	}
}

// Report takes in what the process beside the engine at address says. Word of a later
// life than the one listed means that the listed one has ended.
func (r *Roster) Report(now time.Time, address string, born int64, s Status) {
	m, ok := r.byAddress[address]
	both := ok && m.Born != 0 && born != 0
	if !ok || both && born < m.Born {
		return
	}
	if both && born > m.Born {
		s = Status{}
	}
	m.status = s
	m.statusAt = now
}

// Unwatched tells that the process beside the engine at address is no longer listened
// to: that nothing comes from it means nothing.
func (r *Roster) ClearStatus(address string) {
	if m, ok := r.byAddress[address]; ok {
		m.status, m.statusAt = Status{}, time.Time{}
	}
}

// Members lists the targets of a service by ID.
func (r *Roster) Members(service contract.ServiceName) []*Member {
	var list []*Member
	for _, m := range r.members {
		if m.Service == service {
			list = append(list, m)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Member returns a target, or nil if the roster does not hold it.
func (r *Roster) Member(id TargetID) *Member { return r.members[id] }

// Len is the number of targets.
func (r *Roster) Len() int { return len(r.members) }

func (r *Roster) index() {
	clear(r.byAddress)
	for _, m := range r.members {
		if other, ok := r.byAddress[m.Address]; !ok || other.Born < m.Born {
			r.byAddress[m.Address] = m
		}
	}
}
