package coldstart

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

const (
	// minSamples is how many first tokens make a baseline.
	minSamples = 8
	// jumpFactor times the baseline, and at least jumpFloor, is slow.
	jumpFactor = 5
	jumpFloor  = 250 * time.Millisecond
	// slowToFall is how many slow first tokens in a row make a fall.
	slowToFall = 2
	// ewmaShare is the inverse weight of one sample in the baseline.
	ewmaShare = 8
)

// delays watches the time from sending a unit to its first token.
type delays struct {
	baseline time.Duration
	samples  int
	slow     int
	// waiting holds the units without a first token, oldest first.
	waiting []waiter
}

type waiter struct {
	id     contract.AttemptID
	sent   time.Time
	judged bool
}

func (d *delays) sent(id contract.AttemptID, now time.Time) {
	d.waiting = append(d.waiting, waiter{id: id, sent: now})
}

// firstToken takes a first token and reports whether the back end turned slow.
func (d *delays) firstToken(id contract.AttemptID, now time.Time) bool {
	w, ok := d.remove(id)
	if !ok {
		return false
	}
	delay := now.Sub(w.sent)
	if d.samples >= minSamples && delay > d.threshold() {
		return !w.judged && d.countSlow()
	}
	d.slow = 0
	d.learn(delay)
	return false
}

func (d *delays) learn(delay time.Duration) {
	d.samples++
	if d.samples == 1 {
		d.baseline = delay
		return
	}
	d.baseline += (delay - d.baseline) / ewmaShare
}

func (d *delays) threshold() time.Duration {
	return max(jumpFloor, jumpFactor*d.baseline)
}

func (d *delays) countSlow() bool {
	d.slow++
	return d.slow >= slowToFall
}

// overdue reports whether enough units wait too long for their first token.
func (d *delays) overdue(now time.Time) bool {
	if d.samples < minSamples {
		return false
	}
	fell := false
	limit := d.threshold()
	for i := range d.waiting {
		w := &d.waiting[i]
		if now.Sub(w.sent) <= limit {
			break
		}
		if !w.judged {
			w.judged = true
			fell = d.countSlow() || fell
		}
	}
	return fell
}

// forget starts anew after a fall: what waits now says nothing about the time
// after it. The baseline stays.
func (d *delays) forget() {
	d.slow = 0
	for i := range d.waiting {
		d.waiting[i].judged = true
	}
}

func (d *delays) ended(id contract.AttemptID) {
	d.remove(id)
}

func (d *delays) remove(id contract.AttemptID) (waiter, bool) {
	for i, w := range d.waiting {
		if w.id == id {
			d.waiting = append(d.waiting[:i], d.waiting[i+1:]...)
			return w, true
		}
	}
	return waiter{}, false
}

// nextWake returns when the oldest unit that is not yet judged is overdue.
func (d *delays) nextWake() (time.Time, bool) {
	if d.samples < minSamples {
		return time.Time{}, false
	}
	for _, w := range d.waiting {
		if !w.judged {
			return w.sent.Add(d.threshold() + 1), true
		}
	}
	return time.Time{}, false
}
