package placement

import (
	"time"

	"mimosastand.example/mimosastand/zone/plannedload"
	"mimosastand.example/mimosastand/zone/roster"
)

// delayedLoadPenalty is added to the cost of a target that an attempt would keep from loading when it is
// to: any other target with room is better, and there may be none.
const delayedLoadPenalty = time.Second

// SetPlannedLoads replaces the tracker of the loads that engines are about to begin, which pools may
// share.
func (p *Pool) SetPlannedLoads(t *plannedload.Tracker) { p.plannedLoads = t }

// delaysLoad reports whether an attempt whose first event is predicted after delay would still run at the
// time at which the target is to load another version. Only on services on which sizes count.
func (p *Pool) delaysLoad(now time.Time, m *roster.Member, delay time.Duration, req Requirements) bool {
	left, ok := p.plannedLoads.TimeLeft(now, m.Address, m.Born)
	if !ok || !p.isSizeAware(now) {
		return false
	}
	return delay+p.answerTime(now, m, req) > left
}

// answerTime predicts the time from the first event to the last one at a target whose slots are all in
// use.
func (p *Pool) answerTime(now time.Time, m *roster.Member, req Requirements) time.Duration {
	e := p.engine()
	if e == nil {
		return 0
	}
	model := p.modelAt(m, float64(e.Slots))
	steps := p.sizeOf(req).answer / float64(max(e.Stride, 1))
	t := steps * float64(model.passTimeAt(float64(e.Slots)))
	if pace := p.paceOf(now, m.ID); pace > 0 {
		t *= pace / usualPace
	}
	return time.Duration(t)
}
