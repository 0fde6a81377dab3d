package upgrade

import "time"

const (
	// OriginReportTimeout is how long a report that the origin cannot be reached counts: longer
	// than heartbeats take to pass it through the fleet while new ones are made.
	OriginReportTimeout = 2 * time.Second
	// originReportInterval is the time between two reports of one process.
	originReportInterval = 400 * time.Millisecond
	// maxOriginReports limits the reports that are remembered. The oldest one is dropped first.
	maxOriginReports = 64
)

// OriginReport states that an entry tried to download and could not reach the origin.
type OriginReport struct {
	// ID is a random number that identifies the report, since several entries pass it on.
	ID uint64
	// Age is the time since the attempt failed.
	Age time.Duration
}

// OriginOutage records the reports of entries that could not reach the origin. While such reports
// arrive, the entries that are to download are known to be running, and others need not replace
// them.
type OriginOutage struct {
	reports map[uint64]time.Time
	ownAt   time.Time
}

// RecordFailure records that this process could not reach the origin. id is a random number.
func (o *OriginOutage) RecordFailure(now time.Time, id uint64) {
	if !o.ownAt.IsZero() && now.Sub(o.ownAt) < originReportInterval {
		return
	}
	o.ownAt = now
	o.Apply(now, OriginReport{ID: id})
}

// Apply applies a report. One that comes again by another way counts from the earliest time that
// any of them gives: an age loses the time of each transfer.
func (o *OriginOutage) Apply(now time.Time, r OriginReport) {
	if r.Age < 0 || r.Age >= OriginReportTimeout {
		return
	}
	at := now.Add(-r.Age)
	if known, ok := o.reports[r.ID]; ok && !at.Before(known) {
		return
	}
	if o.reports == nil {
		o.reports = map[uint64]time.Time{}
	}
	o.reports[r.ID] = at
	o.prune(now)
}

// prune drops reports that can no longer come again, and the oldest ones beyond maxOriginReports.
func (o *OriginOutage) prune(now time.Time) {
	const kept = 4 * OriginReportTimeout
	for id, at := range o.reports {
		if now.Sub(at) >= kept {
			delete(o.reports, id)
		}
	}
	for len(o.reports) > maxOriginReports {
		var oldest uint64
		first := true
		for id, at := range o.reports {
			if first || at.Before(o.reports[oldest]) {
				oldest, first = id, false
			}
		}
		delete(o.reports, oldest)
	}
}

// Newest returns the newest report that still counts.
func (o *OriginOutage) Newest(now time.Time) (r OriginReport, ok bool) {
	for id, at := range o.reports {
		if age := now.Sub(at); age < OriginReportTimeout && (!ok || age < r.Age) {
			r, ok = OriginReport{ID: id, Age: max(age, 0)}, true
		}
	}
	return r, ok
}

// KnownUntil returns until when the newest report counts; the zero time if none has arrived lately.
func (o *OriginOutage) KnownUntil() time.Time {
	var newest time.Time
	for _, at := range o.reports {
		if at.After(newest) {
			newest = at
		}
	}
	if newest.IsZero() {
		return newest
	}
	return newest.Add(OriginReportTimeout)
}
