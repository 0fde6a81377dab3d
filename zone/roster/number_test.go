package roster

import (
	"testing"
	"time"
)

const numberedAddress = "10.0.0.1:80"

func numberedTarget(born, version int64) Target {
	return Target{ID: "a", Born: born, Address: numberedAddress, Service: "s", Model: &Model{Name: "m", Version: version, Layers: 4}}
}

// Guards against requests to withheld engines, and against engines that are out of use, because of reports with
// numbers below the last one (WHOLE, inc2): older reports are ignored for as long as that one counts.
func TestOlderNumberIsIgnoredForAWhile(t *testing.T) {
	r, now := New(0), time.Unix(1000, 0)
	r.Update(now, numberedTarget(7, 2), time.Time{})
	r.Report(now, numberedAddress, 7, Status{Version: 2, Ready: true, Changing: true, Number: 500})
	ready := Status{Version: 2, Ready: true, Number: 400}
	r.Report(now.Add(statusMaxAge), numberedAddress, 7, ready)
	if s, _ := r.Member("a").Status(now.Add(statusMaxAge)); !s.Changing {
		t.Error("an older report replaced one that counts")
	}
	later := now.Add(statusMaxAge + time.Millisecond)
	r.Report(later, numberedAddress, 7, ready)
	if got := r.Member("a").Version(later, 4); got != 2 {
		t.Errorf("after %v: version %d, want 2", statusMaxAge, got)
	}
}

// Guards against answers from unproved weights (WHOLE, inc2): an engine has started again and is listed with
// weights before its process, which reported the start before, reports them.
func TestListedWeightsOfNewStartNeedReport(t *testing.T) {
	for name, isReported := range map[string]bool{"earlier start was reported": true, "never reported": false} {
		r, now := New(0), time.Unix(1000, 0)
		r.Update(now, numberedTarget(7, 2), time.Time{})
		if isReported {
			r.Report(now, numberedAddress, 7, Status{Version: 2, Ready: true, Number: 1})
		}
		r.Update(now, numberedTarget(8, 2), time.Time{})
		if got := r.Member("a").Version(now, 4); (got == 0) != isReported {
			t.Errorf("%s: version %d", name, got)
		}
		r.Report(now.Add(time.Millisecond), numberedAddress, 8, Status{Version: 2, Ready: true, Number: 2})
		if got := r.Member("a").Version(now.Add(time.Millisecond), 4); got != 2 {
			t.Errorf("%s, then reported: version %d, want 2", name, got)
		}
	}
}
