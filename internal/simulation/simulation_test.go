package simulation

import (
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func TestQueueRunsInOrder(t *testing.T) {
	var q Queue
	var got []string
	add := func(d time.Duration, name string) {
		q.After(d, func() { got = append(got, q.Now().String()+" "+name) })
	}
	add(2*time.Second, "late")
	add(time.Second, "first")
	add(time.Second, "second")
	q.After(time.Second, func() { add(0, "added") })
	add(4*time.Second, "after the end")
	q.RunFor(3 * time.Second)
	if want := []string{"1s first", "1s second", "1s added", "2s late"}; !slices.Equal(got, want) {
		t.Fatalf("%q, want %q", got, want)
	}
	if q.Now() != 3*time.Second || !q.HasDue(4*time.Second) || q.HasDue(3*time.Second) {
		t.Fatalf("at %s with %d events", q.Now(), len(q.events))
	}
	if !q.RunNext() || q.Now() != 4*time.Second || q.RunNext() {
		t.Fatalf("at %s with %d events", q.Now(), len(q.events))
	}
}

func TestCheckNeeded(t *testing.T) {
	errBroken := errors.New("broken")
	play := func(on, off error) func(uint64, uint8) error {
		return func(seed uint64, m uint8) error {
			if m == 0 {
				return on
			}
			if seed == 2 {
				return off
			}
			return nil
		}
	}
	if err := CheckMechanismNeeded(3, 1, play(nil, errBroken)); err != nil {
		t.Errorf("seed 2 breaks without it: %v", err)
	}
	if err := CheckMechanismNeeded(2, 1, play(nil, errBroken)); !errors.Is(err, ErrMechanismNotNeeded) {
		t.Errorf("no seed breaks without it: %v", err)
	}
	if err := CheckMechanismNeeded(3, 1, play(errBroken, errBroken)); !errors.Is(err, errBroken) {
		t.Errorf("broken with it: %v", err)
	}
}
