package placement

import "time"

// PickSpare chooses a target for a further attempt beside one that is under way, whose first event is
// due within limit: one with a free slot that is not ejected. ok is false if there is none. The limit is not
// extended for a large prompt: what begins later than the attempt under way gains nothing.
//
// Pick estimates what the other entries send to the targets with room for a usual request. PickSpare
// leaves that estimate as it is: fewer targets fulfil its requirements.
func (p *Pool) PickSpare(now time.Time, req Requirements, limit time.Duration) (choice Choice, ok bool) {
	req.isSpare = true
	best, _ := p.pickAmong(now, req, limit, false)
	if best == nil {
		return Choice{}, false
	}
	return p.choiceOf(now, best, req), true
}

// maxLoadBefore returns the load from which on a target with so many slots gets no further attempt.
func maxLoadBefore(slots int, req Requirements) float64 {
	if req.isSpare {
		return float64(slots)
	}
	return float64(slots + maxWaiting)
}
