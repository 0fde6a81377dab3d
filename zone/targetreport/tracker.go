// Package targetreport holds what the processes beside model engines report of their engines. Each
// of them is linked to a few entries, which pass its reports on to the others: an entry learns the
// state and the load of an engine that it has no link to.
//
// The package does no I/O and does not read the clock. A Tracker is not safe for concurrent use.
package targetreport

import (
	"cmp"
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/roster"
)

const (
	// maxAge is the age beyond which a report is not passed on.
	maxAge = 2 * time.Second
	// maxReports bounds the reports in one heartbeat; the newest go first.
	maxReports = 64
	// maxRemoteReports bounds them in a heartbeat to another region, whose entries send here
	// only what their own region has no room for.
	maxRemoteReports = 8
	// maxTurnReports bounds the further reports in such a heartbeat, on engines that take turns: each is to be
	// heard of in time, since it gets no requests until then.
	maxTurnReports = 4
	// maxWithheldReports bounds the reports on engines that get no requests in such a heartbeat.
	maxWithheldReports = 8
	// listInterval is how long a list of reports is passed on before it is made anew: heartbeats
	// to all linked entries follow each other closely.
	listInterval = 100 * time.Millisecond
)

// Report is the state of an engine at a time.
type Report struct {
	Key    roster.ReportKey
	Status roster.Status
	At     time.Time
}

// Tracker holds the newest report on each engine.
type Tracker struct {
	reports map[roster.ReportKey]Report
	// local lists the reports for entries of the same region, remote those for others.
	local, remote list
	// lastTurn is the key of the last engine that had its turn in remote.
	lastTurn roster.ReportKey
}

// list holds the reports that are passed on, and when they were chosen.
type list struct {
	reports []Report
	madeAt  time.Time
}

// isDue reports whether the list is to be made anew.
func (l list) isDue(now time.Time) bool {
	return l.madeAt.IsZero() || now.Sub(l.madeAt) >= listInterval
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{reports: map[roster.ReportKey]Report{}} }

// Observe records a report, and reports whether it is newer than the one that was known.
func (t *Tracker) Observe(r Report) bool {
	if known, ok := t.reports[r.Key]; ok && !r.isNewer(known) {
		return false
	}
	if t.HasNews(r) {
		// News must not wait until the lists are due.
		t.local.madeAt, t.remote.madeAt = time.Time{}, time.Time{}
	}
	t.reports[r.Key] = r
	return true
}

// HasNews reports whether a report says of an engine that is known something that decides which
// requests it may get.
func (t *Tracker) HasNews(r Report) bool {
	known, ok := t.reports[r.Key]
	return ok && r.isNewer(known) && r.Status.DiffersFrom(known.Status)
}

func (r Report) isNewer(known Report) bool { return r.Status.IsNewer(r.At, known.Status, known.At) }

// ApplyReports applies the reports that another entry passes on, and returns those that are new.
func (t *Tracker) ApplyReports(now time.Time, reports []contract.TargetReport) []Report {
	var added []Report
	for _, r := range reports[:min(len(reports), maxReports)] {
		received := Report{
			Key:    roster.ReportKey(r.Target),
			Status: roster.Status{Version: r.Version, Ready: r.Ready, Changing: r.Changing, Load: int(r.Load), HasLoad: r.HasLoad, Number: r.Number},
			At:     now.Add(-time.Duration(r.AgeMS) * time.Millisecond),
		}
		if t.Observe(received) {
			added = append(added, received)
		}
	}
	return added
}

// Reports lists the newest reports, for an entry of the same region. Within listInterval the same
// ones are listed.
func (t *Tracker) Reports(now time.Time) []contract.TargetReport {
	if t.local.isDue(now) {
		reports := t.recent(now)
		slices.SortFunc(reports, func(a, b Report) int { return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Key, b.Key)) })
		t.local = list{reports: reports[:min(len(reports), maxReports)], madeAt: now}
	}
	return encode(now, t.local.reports)
}

// RemoteReports lists the reports on the engines with the least load among those for which
// isOffered returns true, some of the others in turn, and the newest ones on such engines that get no
// requests, for an entry of another region. Within listInterval the same ones are listed.
func (t *Tracker) RemoteReports(now time.Time, isOffered func(roster.ReportKey) bool) []contract.TargetReport {
	if t.remote.isDue(now) {
		open, withheld := t.remoteReports(now, isOffered)
		n := min(len(open), maxRemoteReports)
		reports := slices.Concat(open[:n], t.takeTurns(open[n:]), withheld[:min(len(withheld), maxWithheldReports)])
		t.remote = list{reports: reports, madeAt: now}
	}
	return encode(now, t.remote.reports)
}

// remoteReports returns the recent reports on the engines for which isOffered returns true: those on engines
// with a known load that may get requests, the least load first, and those on engines that may not, the
// newest first.
func (t *Tracker) remoteReports(now time.Time, isOffered func(roster.ReportKey) bool) (open, withheld []Report) {
	for _, r := range t.recent(now) {
		switch {
		case !isOffered(r.Key):
		case !r.Status.IsUsable():
			withheld = append(withheld, r)
		case r.Status.HasLoad:
			open = append(open, r)
		}
	}
	slices.SortFunc(open, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Status.Load, b.Status.Load), b.At.Compare(a.At), cmp.Compare(a.Key, b.Key))
	})
	slices.SortFunc(withheld, func(a, b Report) int { return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Key, b.Key)) })
	return open, withheld
}

// takeTurns returns the reports on the engines whose turn it is, in the order of their keys.
func (t *Tracker) takeTurns(reports []Report) []Report {
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Key, b.Key) })
	next, _ := slices.BinarySearchFunc(reports, t.lastTurn, func(r Report, last roster.ReportKey) int {
		return cmp.Or(cmp.Compare(r.Key, last), -1)
	})
	turn := slices.Concat(reports[next:], reports[:next])
	turn = turn[:min(len(turn), maxTurnReports)]
	if len(turn) > 0 {
		t.lastTurn = turn[len(turn)-1].Key
	}
	return turn
}

// recent returns the reports that are not too old, and forgets the others.
func (t *Tracker) recent(now time.Time) []Report {
	var list []Report
	for key, r := range t.reports {
		if now.Sub(r.At) > maxAge {
			delete(t.reports, key)
			continue
		}
		list = append(list, r)
	}
	return list
}

func encode(now time.Time, list []Report) []contract.TargetReport {
	var reports []contract.TargetReport
	for _, r := range list {
		reports = append(reports, contract.TargetReport{
			Target: uint64(r.Key), Version: r.Status.Version, Ready: r.Status.Ready, Changing: r.Status.Changing,
			Load: uint32(r.Status.Load), HasLoad: r.Status.HasLoad, AgeMS: uint32(max(now.Sub(r.At), 0).Milliseconds()), Number: r.Status.Number,
		})
	}
	return reports
}
