package serving

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
	"mimosastand.example/mimosastand/settings"
)

// result is what one run measured.
type result struct {
	closed             bool
	calls, whole, cut  int
	attempts, runs     int
	doubled, overBorne int
	out, crashes       int
	retries, moves     int
	queries, spills    int
	refusals           map[contract.Reason]int
	// single counts refused calls of the service with one target.
	single  int
	unknown int
	firsts  *hdrhistogram.Histogram
	gaps    *hdrhistogram.Histogram
	byTeam  map[contract.TeamName]*hdrhistogram.Histogram
}

func histogram() *hdrhistogram.Histogram {
	const maxMicros, digits = 120_000_000, 3
	return hdrhistogram.New(1, maxMicros, digits)
}

func newResult() *result {
	return &result{
		refusals: map[contract.Reason]int{}, firsts: histogram(), gaps: histogram(),
		byTeam: map[contract.TeamName]*hdrhistogram.Histogram{},
	}
}

func (r *result) first(c *call, d time.Duration) {
	if c.request.Kind != settings.KindModel {
		return
	}
	_ = r.firsts.RecordValue(d.Microseconds())
	team := c.request.Team
	if r.byTeam[team] == nil {
		r.byTeam[team] = histogram()
	}
	_ = r.byTeam[team].RecordValue(d.Microseconds())
}

func (r *result) gap(d time.Duration) {
	_ = r.gaps.RecordValue(d.Microseconds())
}

func (r *result) refused(f dispatch.Finish, single bool) {
	if single {
		r.single++
	}
	r.refusals[f.Reason]++
	if f.Outcome == contract.OutcomeUnknown {
		r.unknown++
	}
}

func (r *result) count(c dispatch.Count) {
	switch c.Counter {
	case dispatch.CountRetry:
		r.retries++
	case dispatch.CountMove:
		r.moves++
	case dispatch.CountQuery:
		r.queries++
	case dispatch.CountSpill:
		r.spills++
	}
}

func millis(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// rows are the lines of a table, in order.
func (r *result) rows() [][2]string {
	n := func(v int) string { return fmt.Sprint(v) }
	ms := func(h *hdrhistogram.Histogram, q float64) string { return fmt.Sprintf("%.1f ms", millis(h, q)) }
	return [][2]string{
		{"calls", n(r.calls)},
		{"answered whole", fmt.Sprintf("%.2f %%", 100*ratio(float64(r.whole), float64(r.calls)))},
		{"answers cut or wrong, told as whole", n(r.cut)},
		{"first token p50", ms(r.firsts, 50)},
		{"first token p99", ms(r.firsts, 99)},
		{"token gap p50", ms(r.gaps, 50)},
		{"token gap p99", ms(r.gaps, 99)},
		{"refused or failed", r.reasons()},
		{"of these by the service with one target", n(r.single)},
		{"of these outcome unknown", n(r.unknown)},
		{"extra runs", fmt.Sprintf("%.2f %%", 100*(ratio(float64(r.runs), float64(r.calls-r.notRun()))-1))},
		{"retries / moves / questions / spills", fmt.Sprintf("%d / %d / %d / %d", r.retries, r.moves, r.queries, r.spills)},
		{"doubled effects", n(r.doubled)},
		{"starts above what a back end bears", n(r.overBorne)},
		{"back ends fallen over", n(r.crashes)},
		{"starts in an out zone after 3 s", n(r.out)},
	}
}

// notRun is the number of calls that were refused without a run.
func (r *result) notRun() int {
	n := 0
	for _, count := range r.refusals {
		n += count
	}
	return n - r.unknown
}

func (r *result) reasons() string {
	if len(r.refusals) == 0 {
		return "0"
	}
	var list []string
	for reason, count := range r.refusals {
		list = append(list, fmt.Sprintf("%s %d", reason, count))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}
