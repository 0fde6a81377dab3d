package poison_test

import (
	"testing"
	"time"
)

// since counts the times after a time.
func since(list []time.Time, from time.Time) int {
	n := 0
	for _, at := range list {
		if at.After(from) {
			n++
		}
	}
	return n
}

// begunShare returns the share of the sound requests that arrived between two times whose
// first attempt began.
func (r *results) begunShare(from, to time.Time) float64 {
	all, begun := 0, 0
	for _, s := range r.sound {
		if s.arrived.Before(from) || s.arrived.After(to) {
			continue
		}
		all++
		if s.begun {
			begun++
		}
	}
	if all == 0 {
		return 1
	}
	return float64(begun) / float64(all)
}

// logRow prints what was measured.
func logRow(t *testing.T, name string, entries int, r *results, late int, share float64) {
	t.Helper()
	t.Logf("%-34s entries=%2d crashes=%3d bad_sent=%3d late=%d probes=%d bad_refused=%3d sound_refused=%d begun=%.3f",
		name, entries, len(r.crashes), len(r.badSent), late, len(r.probes), len(r.refusedBad), r.soundRefuse, share)
}

// refuseSound counts a refusal of a sound request.
func (r *results) refuseSound(refused *request) {
	r.soundRefuse++
	if !refused.refused {
		refused.refused = true
		r.soundRefused++
	}
}
