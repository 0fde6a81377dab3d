package serving

import (
	"reflect"
	"testing"
	"time"
)

// play runs a short session with faults and a zone that leaves and returns.
func play(w *world) *result {
	w.everyTeam(calm)
	w.faults()
	w.queue.RunFor(5 * time.Second)
	w.setZone(w.size.zones[1].Zone, true)
	w.queue.RunFor(15 * time.Second)
	w.setZone(w.size.zones[1].Zone, false)
	w.queue.RunFor(25 * time.Second)
	return w.end()
}

// TestPromises checks what must always hold against the counts of the fake
// targets, and that the same counts show the baseline's violations.
func TestPromises(t *testing.T) {
	for _, s := range []size{kalahari(), lantern()} {
		r := play(policyWorld(s, 3))
		if r.doubled+r.overBorne+r.out+r.cut > 0 {
			t.Errorf("%s: doubled %d, above what is borne %d, in an out zone %d, cut %d", s.name, r.doubled, r.overBorne, r.out, r.cut)
		}
		answered := r.whole
		for _, n := range r.refusals {
			answered += n
		}
		if answered != r.calls {
			t.Errorf("%s: %d answers to %d calls", s.name, answered, r.calls)
		}
		b := play(baselineWorld(s, 3))
		if b.doubled == 0 || b.overBorne == 0 || b.out == 0 {
			t.Errorf("%s: the baseline shows no violation: %d, %d, %d", s.name, b.doubled, b.overBorne, b.out)
		}
	}
}

// TestSameSeedSameRun checks that a run depends on its seed alone.
func TestSameSeedSameRun(t *testing.T) {
	first, second := play(policyWorld(lantern(), 5)), play(policyWorld(lantern(), 5))
	if !reflect.DeepEqual(first.rows(), second.rows()) {
		t.Fatalf("%v\n%v", first.rows(), second.rows())
	}
}
