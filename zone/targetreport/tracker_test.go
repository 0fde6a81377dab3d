package targetreport

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/roster"
)

var start = time.Unix(1000, 0)

func reportOf(key, load int, at time.Time) Report {
	return Report{Key: roster.ReportKey(key), At: at, Status: roster.Status{Version: 1, Ready: true, Load: load, HasLoad: true}}
}

// Guards against entries that know nothing of an engine that they have no link to, and against an
// older report that comes by a longer way and replaces a newer one.
func TestNewestReportIsPassedOn(t *testing.T) {
	linked, between := NewTracker(), NewTracker()
	linked.Observe(reportOf(1, 3, start))
	linked.Observe(reportOf(1, 5, start.Add(400*time.Millisecond)))
	now := start.Add(600 * time.Millisecond)
	between.ApplyReports(now, linked.Reports(now))
	older := []contract.TargetReport{{Target: 1, Load: 3, HasLoad: true, AgeMS: 600}}
	if added := between.ApplyReports(now, older); len(added) != 0 {
		t.Errorf("an older report was taken for a new one: %+v", added)
	}
	got := between.Reports(now)
	if len(got) != 1 || got[0].Load != 5 || got[0].AgeMS != 200 {
		t.Errorf("reports passed on = %+v, want a load of 5, 200 ms old", got)
	}
	if late := now.Add(2 * maxAge); len(between.Reports(late)) != 0 {
		t.Errorf("reports %v later = %+v, want none", 2*maxAge, between.Reports(late))
	}
}

// Guards against heartbeats that grow with the fleet: another region gets the few engines with the
// most room, and only those of the region that sends.
func TestReportsInHeartbeatsAreBounded(t *testing.T) {
	tr := NewTracker()
	for i := range 500 {
		tr.Observe(reportOf(i, 500-i, start.Add(time.Duration(i)*time.Millisecond)))
	}
	now := start.Add(time.Second)
	if got := tr.Reports(now); len(got) != maxReports || got[0].Target != 499 {
		t.Errorf("%d reports, the first on engine %d, want %d and the newest first", len(got), got[0].Target, maxReports)
	}
	isOwn := func(key roster.ReportKey) bool { return key < 400 }
	got := tr.RemoteReports(now, isOwn)
	if len(got) != maxRemoteReports+maxTurnReports || got[0].Target != 399 {
		t.Errorf("%d reports for another region, the first on engine %d, want %d, %d in turn, and the least loaded engine first",
			len(got), got[0].Target, maxRemoteReports, maxTurnReports)
	}
	for i := range 100 {
		r := reportOf(1000+i, 0, now)
		r.Status.Changing = true
		tr.Observe(r)
	}
	now = now.Add(listInterval)
	if got := len(tr.RemoteReports(now, func(roster.ReportKey) bool { return true })); got != maxRemoteReports+maxTurnReports+maxWithheldReports {
		t.Errorf("%d reports for another region, want %d on engines with room, %d in turn and %d on engines that get no requests",
			got, maxRemoteReports, maxTurnReports, maxWithheldReports)
	}
	if added := NewTracker().ApplyReports(now, make([]contract.TargetReport, 10*maxReports)); len(added) > 1 {
		t.Errorf("%d reports on one engine were new, want 1", len(added))
	}
}

// Guards against entries that send requests to an engine that loads weights, because they have no link
// to its process: that it takes no more requests, or takes them again, is news, its load is none.
func TestChangesOfUseAreNews(t *testing.T) {
	later := start.Add(10 * time.Millisecond)
	for name, c := range map[string]struct {
		change func(*Report)
		want   bool
	}{
		"other load":    {func(r *Report) { r.Status.Load++ }, false},
		"changing":      {func(r *Report) { r.Status.Changing = true }, true},
		"down":          {func(r *Report) { r.Status.Ready = false }, true},
		"other version": {func(r *Report) { r.Status.Version++ }, true},
		"older report":  {func(r *Report) { r.Status.Changing, r.At = true, start.Add(-time.Second) }, false},
		"first report":  {func(r *Report) { r.Key, r.Status.Changing = 2, true }, false},
	} {
		tr := NewTracker()
		tr.Observe(reportOf(1, 3, start))
		tr.Reports(start)
		r := reportOf(1, 3, later)
		c.change(&r)
		if got := tr.HasNews(r); got != c.want {
			t.Errorf("%s: HasNews() = %v, want %v", name, got, c.want)
		}
		tr.Observe(r)
		if got := tr.Reports(later); c.want && got[0].AgeMS != 0 {
			t.Errorf("%s: reports passed on = %+v, want the newest at once", name, got)
		}
	}
}

// Guards against a cost of each heartbeat that grows with the engines: within listInterval the same
// reports are listed, with their ages.
func TestReportsAreChosenAtIntervals(t *testing.T) {
	tr := NewTracker()
	tr.Observe(reportOf(1, 3, start))
	tr.Reports(start)
	tr.Observe(reportOf(1, 4, start.Add(listInterval/2)))
	if got := tr.Reports(start.Add(listInterval / 2)); got[0].Load != 3 || got[0].AgeMS != 50 {
		t.Errorf("reports within the interval = %+v, want a load of 3, 50 ms old", got)
	}
	if got := tr.Reports(start.Add(listInterval)); got[0].Load != 4 || got[0].AgeMS != 50 {
		t.Errorf("reports after the interval = %+v, want a load of 4, 50 ms old", got)
	}
}

// Guards against requests to an engine that gets none (WHOLE, inc2): the age of a report lost the time of
// each transfer, so that an older report replaced the newer one, and came back as the newer one.
func TestOlderReportDoesNotReplaceNewerOne(t *testing.T) {
	const transfer = 300 * time.Millisecond
	usable, changing := reportOf(1, 0, start), reportOf(1, 0, start.Add(100*time.Millisecond))
	usable.Status.Number, changing.Status.Number, changing.Status.Changing = 1, 2, true
	slow, linked := NewTracker(), NewTracker()
	slow.Observe(usable)
	sent := slow.Reports(start)
	linked.Observe(changing)
	if added := linked.ApplyReports(start.Add(transfer), sent); len(added) != 0 {
		t.Errorf("older reports taken for new: %+v", added)
	}
	if got := linked.Reports(start.Add(transfer)); len(got) != 1 || !got[0].Changing {
		t.Errorf("reports passed on = %+v, want that the engine changes", got)
	}
	if added := slow.ApplyReports(start.Add(2*transfer), linked.Reports(start.Add(transfer))); len(added) != 1 {
		t.Errorf("the newer report was not taken: %+v", added)
	}
}

// Guards against engines of another region that are out of use for ever (inc2): entries go by reports once an
// engine has been withheld, and those with less load always came first. All engines have their turn.
func TestEnginesOfAnotherRegionAreAllHeardOf(t *testing.T) {
	const engines = 60
	tracker, now := NewTracker(), start
	heard := map[uint64]bool{}
	for range (engines + maxTurnReports - 1) / maxTurnReports {
		now = now.Add(listInterval)
		for k := range engines {
			status := roster.Status{Version: 2, Ready: true, Load: k, HasLoad: true}
			tracker.Observe(Report{Key: roster.ReportKey(k + 1), Status: status, At: now})
		}
		list := tracker.RemoteReports(now, func(roster.ReportKey) bool { return true })
		if len(list) > maxRemoteReports+maxTurnReports {
			t.Fatalf("%d reports, want %d at most", len(list), maxRemoteReports+maxTurnReports)
		}
		for _, r := range list {
			heard[r.Target] = true
		}
	}
	if len(heard) != engines {
		t.Errorf("%d of %d engines were heard of", len(heard), engines)
	}
}
