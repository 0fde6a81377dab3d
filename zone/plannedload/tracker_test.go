package plannedload

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/zone/roster"
)

var start = time.Unix(1000, 0)

// Guards against a report that several entries pass on and that arrives after a newer one: it brings back a plan
// that was withdrawn, or an earlier time.
func TestNewestReportOfEngineCounts(t *testing.T) {
	const address, born = "10.0.0.1:80", 7
	key := roster.ReportKeyOf(address, born)
	tr := NewTracker()
	tr.Observe(start, key, 4, 2*time.Second)
	tr.Observe(start, key, 3, time.Second)
	if left, ok := tr.TimeLeft(start, address, born); !ok || left != 2*time.Second {
		t.Errorf("after an older report: TimeLeft() = %v, %v, want 2s", left, ok)
	}
	older := tr.Reports(start)
	tr.Observe(start, key, 5, 0)
	tr.ApplyReports(start.Add(100*time.Millisecond), older)
	if left, ok := tr.TimeLeft(start, address, born); ok {
		t.Errorf("after the plan was withdrawn: TimeLeft() = %v, want none", left)
	}
}

// Guards against plans that entries remind each other of for ever, and against a table that grows with each
// engine that ever had one.
func TestPastPlansAreForgotten(t *testing.T) {
	tr := NewTracker()
	tr.Observe(start, 1, 1, time.Second)
	tr.Observe(start, 2, 1, maxNotice+time.Second)
	if got := tr.Reports(start); len(got) != 1 || got[0].Target != 1 || got[0].InMS != 1000 {
		t.Errorf("Reports() = %v, want only the plan that is due within the notice", got)
	}
	if got := tr.Reports(start.Add(time.Second)); len(got) != 1 || got[0].Target != 2 {
		t.Errorf("Reports() after the first plan's time = %v, want only the second plan", got)
	}
	tr.Reports(start.Add(maxNotice + time.Second + retention))
	if len(tr.plans) != 0 {
		t.Errorf("%d plans are kept after the retention, want none", len(tr.plans))
	}
}
