package roster

import (
	"sort"
	"time"

	"mimosastand.example/mimosastand/contract"
)

const (
	// lapseRetention is how long after the store has recovered an entry that lapsed
	// during the outage is retained.
	lapseRetention = 2 * time.Second
	// silenceTimeout is how long a target process that has reported may go without
	// reporting before it counts as silent.
	silenceTimeout = 1700 * time.Millisecond
	// reportsToLapse is how many report intervals a target must be silent for its entry to lapse.
	reportsToLapse = 3
	// statusMaxAge is how long a status report takes precedence over the target list.
	statusMaxAge = 3 * time.Second
)

// Member is a listed target together with the status that its process reports.
type Member struct {
	Target
	// ListedAt is when the current entry of the target list was received.
	ListedAt time.Time
	// ColdUntil is when the target's cold start ends according to the target list.
	ColdUntil time.Time

	lapsedAt time.Time
	// writtenAfter is a time after which the store accepted the current entry; zero if none is known.
	writtenAfter time.Time
	status       Status
	statusAt     time.Time
	// usableSince is the time of the report from which on the target may be used.
	usableSince time.Time
	// needsReport is set once the target list alone does not tell whether the loaded weights may be used:
	// then they are if they are of reportedVersion, which its process last reported as usable; 0 if none.
	needsReport     bool
	reportedVersion int64
}

// DiffersFrom reports whether an entry of the target list has news on whether requests may be sent to
// the target.
func (m *Member) DiffersFrom(now time.Time, t Target) bool {
	turnsCold := t.ColdLeft > 0 && !now.Before(m.ColdUntil)
	return m.Leaving != t.Leaving || m.Born != t.Born || m.Address != t.Address || turnsCold || m.loaded() != t.loaded()
}

// setStatus applies a status that the target's process reported at a time.
func (m *Member) setStatus(s Status, at time.Time) {
	if s.IsUsable() && !m.status.IsUsable() {
		m.usableSince = at
	}
	m.status, m.statusAt = s, at
	m.needsReport, m.reportedVersion = true, 0
	if s.IsUsable() {
		m.reportedVersion = s.Version
	}
}

// list applies an entry of the target list. It may show weights that the target's process has not reported
// yet, or never will; those that the target held when it was first listed are trusted.
func (m *Member) list(now time.Time, t Target) {
	_, isReported := m.Status(now)
	if !m.ListedAt.IsZero() && !isReported && m.loaded() != t.loaded() {
		m.needsReport = true
		if t.loaded().Version != m.reportedVersion {
			m.reportedVersion = 0
		}
	}
	m.Target, m.ListedAt, m.ColdUntil = t, now, now.Add(t.ColdLeft)
}

// UsableSince returns since when the target may be used, by the reports of its process; zero if they
// do not tell.
func (m *Member) UsableSince() time.Time { return m.usableSince }

// Status returns the last status that the target's process reported. The second result
// is false if there is none or if it is older than statusMaxAge.
func (m *Member) Status(now time.Time) (Status, bool) {
	if m.statusAt.IsZero() || now.Sub(m.statusAt) > statusMaxAge {
		return Status{}, false
	}
	return m.status, true
}

// ReportedLoad returns the number of requests at the target and when its process reported it. ok is
// false if it has not reported a load within statusMaxAge.
func (m *Member) ReportedLoad(now time.Time) (load int, at time.Time, ok bool) {
	s, ok := m.Status(now)
	return s.Load, m.statusAt, ok && s.HasLoad
}

// LastHeard returns when the target's process last reported, or its entry in the target list was
// received, whichever was later.
func (m *Member) LastHeard() time.Time {
	if m.statusAt.After(m.ListedAt) {
		return m.statusAt
	}
	return m.ListedAt
}

// neverReported is the status age of a target whose process has never reported.
const neverReported = -time.Millisecond

// StatusAge returns how long ago the target's process last reported; it is negative if
// the process has never reported.
func (m *Member) StatusAge(now time.Time) time.Duration {
	if m.statusAt.IsZero() {
		return neverReported
	}
	return now.Sub(m.statusAt)
}

// IsSilent reports whether the target's process has reported before and has now been
// silent for longer than silenceTimeout. Its host may be down or unreachable.
func (m *Member) IsSilent(now time.Time) bool {
	return !m.statusAt.IsZero() && now.Sub(m.statusAt) > silenceTimeout
}

// Version returns the version of the weights that the target has loaded, of a model with a number of
// layers; 0 if that is not known. It is 0 if the target cannot serve a model.
func (m *Member) Version(now time.Time, layers int) int64 {
	if s, ok := m.Status(now); ok {
		if !s.Ready {
			return 0
		}
		return s.Version
	}
	version := m.loaded().WholeVersion(layers)
	if m.needsReport && version != m.reportedVersion {
		return 0
	}
	return version
}

// Roster holds the targets of all services.
type Roster struct {
	members map[TargetID]*Member
	// byAddress maps an address to the most recently started member there.
	byAddress map[string]*Member
	// byReportKey maps the keys of reports to members.
	byReportKey map[ReportKey]*Member
	// isStoreLost is set while the store does not answer. awayAt is when it was last known to be
	// away before it answered again, and lapseEnd when entries that lapsed meanwhile are gone; both
	// are zero until the store has been lost and has answered again.
	isStoreLost      bool
	awayAt, lapseEnd time.Time
	// reportInterval is the interval at which targets report to the store; 0 if unknown.
	reportInterval time.Duration
}

// New returns an empty roster of targets that report to the store every reportInterval; 0 if that is
// not known.
func New(reportInterval time.Duration) *Roster {
	return &Roster{reportInterval: reportInterval, members: map[TargetID]*Member{}, byAddress: map[string]*Member{}, byReportKey: map[ReportKey]*Member{}}
}

// Update applies an entry of the target list that the store accepted after writtenAfter, the zero time
// if that is not known. It ignores an entry of an earlier incarnation of the target, and an entry older
// than the current one.
func (r *Roster) Update(now time.Time, t Target, writtenAfter time.Time) {
	m, ok := r.members[t.ID]
	if ok && (t.Born < m.Born || t.Born == m.Born && t.Seq < m.Seq) {
		return
	}
	if !ok || t.Born != m.Born {
		m = &Member{needsReport: r.hasReported(t)}
		r.members[t.ID] = m
	}
	m.list(now, t)
	m.writtenAfter = writtenAfter
	m.lapsedAt = time.Time{}
	r.rebuildIndex()
}

// hasReported reports whether the process beside a target reported an earlier start of it: what the new
// start has loaded by the time that it is listed counts once the process reports it, too.
func (r *Roster) hasReported(t Target) bool {
	m, ok := r.members[t.ID]
	if !ok {
		m, ok = r.byAddress[t.Address]
	}
	return ok && m.needsReport
}

// Remove removes a target that is no longer listed. answers are those that the store gave before it was
// found missing. If the entry may be missing only because of a store outage, the target is retained
// until it is listed again or Tick drops it. A leaving target is always removed immediately.
func (r *Roster) Remove(now time.Time, id TargetID, answers contract.StoreAnswers) (retained bool) {
	m, ok := r.members[id]
	if !ok {
		return false
	}
	if !m.Leaving && r.mayLapse(now) && !r.hasAnswered(now, answers) && !r.isWrittenSinceReturn(m) {
		if m.lapsedAt.IsZero() {
			m.lapsedAt = now
		}
		return true
	}
	delete(r.members, id)
	r.rebuildIndex()
	return false
}

// mayLapse reports whether entries may be missing from the target list although their
// targets are still running.
func (r *Roster) mayLapse(now time.Time) bool {
	return r.isStoreLost || now.Before(r.lapseEnd)
}

// isWrittenSinceReturn reports whether the store has accepted the current entry of a target since it
// returned. Such an entry has not lapsed with the store: the target has left.
func (r *Roster) isWrittenSinceReturn(m *Member) bool {
	return !r.isStoreLost && m.writtenAfter.After(r.awayAt)
}

// hasAnswered reports whether the store has been available for so long, to any process, that no entry
// can have lapsed with it: each target has been able to report since an earlier outage, and MaxLoss
// has not passed since the last answer.
func (r *Roster) hasAnswered(now time.Time, answers contract.StoreAnswers) bool {
	if answers.Last.IsZero() || now.Sub(answers.Last) >= MaxLoss(r.reportInterval) {
		return false
	}
	return answers.Last.Sub(answers.Since) >= lapseRetention
}

// MaxLoss returns for how long the store may not answer without any entry lapsing: each target has
// reported within one interval before. It is 0 if the interval is.
func MaxLoss(reportInterval time.Duration) time.Duration {
	return (reportsToLapse - 1) * reportInterval
}

// StoreLost records that the store has stopped answering.
func (r *Roster) StoreLost() { r.isStoreLost = true }

// StoreRecovered records that the store, which was away at awayAt and has returned since, answers
// again. It returns until when entries that lapsed are retained: for lapseRetention, and not longer
// than limit after awayAt, since the store may have returned as early as that.
func (r *Roster) StoreRecovered(now, awayAt time.Time, limit time.Duration) (lapseEnd time.Time) {
	if !r.isStoreLost {
		return r.lapseEnd
	}
	r.isStoreLost, r.awayAt = false, awayAt
	r.lapseEnd = now.Add(min(lapseRetention, max(limit-now.Sub(awayAt), 0)))
	return r.lapseEnd
}

// Tick drops the entries that lapsed during an outage and have not been listed again, and returns
// them. It does nothing while entries may still be missing. answers are the latest ones of the store.
func (r *Roster) Tick(now time.Time, answers contract.StoreAnswers) (dropped []TargetID) {
	if r.mayLapse(now) && !r.hasAnswered(now, answers) {
		return nil
	}
	for id, m := range r.members {
		if !m.lapsedAt.IsZero() {
			delete(r.members, id)
			dropped = append(dropped, id)
		}
	}
	if len(dropped) > 0 {
		r.rebuildIndex()
	}
	return dropped
}

// Report records a status report of the target process that runs next to the engine at
// address. A report of an earlier incarnation than the listed one is ignored. A report
// of a later incarnation means that the listed one has ended: it sets an empty status,
// so that the listed target gets no requests. A report that is older than one that was passed on is ignored.
func (r *Roster) Report(now time.Time, address string, born int64, s Status) {
	m, ok := r.byAddress[address]
	bothKnown := ok && m.Born != 0 && born != 0
	if !ok || bothKnown && born < m.Born {
		return
	}
	if bothKnown && born > m.Born {
		s = Status{}
	}
	if now.Sub(m.statusAt) <= statusMaxAge && m.status.IsNewer(m.statusAt, s, now) {
		return
	}
	m.setStatus(s, now)
}

// ApplyRelayed applies a status report, made at a time, that an entry passed on. It changes nothing
// if a newer one is known or no such target is listed.
func (r *Roster) ApplyRelayed(key ReportKey, at time.Time, s Status) {
	if m, ok := r.byReportKey[key]; ok && s.IsNewer(at, m.status, m.statusAt) {
		m.setStatus(s, at)
	}
}

// ByReportKey returns the target that reports with a key are about, or nil if it is not listed.
func (r *Roster) ByReportKey(key ReportKey) *Member { return r.byReportKey[key] }

// ByAddress returns the target that started last at an address, or nil if none is listed there.
func (r *Roster) ByAddress(address string) *Member { return r.byAddress[address] }

// ClearStatus discards the status of the target at address, because reports of its
// process are no longer received. The absence of reports then does not count as
// silence.
func (r *Roster) ClearStatus(address string) {
	if m, ok := r.byAddress[address]; ok {
		m.status, m.statusAt = Status{}, time.Time{}
	}
}

// Members returns the targets of a service, sorted by ID.
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

// Member returns the target with the given ID, or nil if there is none.
func (r *Roster) Member(id TargetID) *Member { return r.members[id] }

// ListsIncarnation reports whether a target is listed as the newest one at an address, with the start born of
// its incarnation. It is false if the start is not known, or if the entry lapsed during an outage.
func (r *Roster) ListsIncarnation(address string, id TargetID, born int64) bool {
	m, ok := r.byAddress[address]
	return ok && born != 0 && m.ID == id && m.Born == born && m.lapsedAt.IsZero()
}

// Len returns the number of targets.
func (r *Roster) Len() int { return len(r.members) }

// rebuildIndex recomputes byAddress.
func (r *Roster) rebuildIndex() {
	clear(r.byAddress)
	clear(r.byReportKey)
	for _, m := range r.members {
		r.byReportKey[ReportKeyOf(m.Address, m.Born)] = m
		if other, ok := r.byAddress[m.Address]; !ok || other.Born < m.Born {
			r.byAddress[m.Address] = m
		}
	}
}
