package simulation

import (
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func TestQueueRunsEventsInOrder(t *testing.T) {
	var q Queue
	var got []string
	addEvent := func(d time.Duration, name string) {
		q.After(d, func() { got = append(got, q.Now().String()+" "+name) })
	}
	addEvent(2*time.Second, "late")
	addEvent(time.Second, "first")
	addEvent(time.Second, "second")
	q.After(time.Second, func() { addEvent(0, "added") })
	addEvent(4*time.Second, "after the end")
	q.RunFor(3 * time.Second)
	if want := []string{"1s first", "1s second", "1s added", "2s late"}; !slices.Equal(got, want) {
		t.Fatalf("events run = %q, want %q", got, want)
	}
	if q.Now() != 3*time.Second || !q.HasDue(4*time.Second) || q.HasDue(3*time.Second) {
		t.Fatalf("after RunFor(3s): time %s and %d events, want 3s and an event that is due at 4s", q.Now(), len(q.events))
	}
	if !q.RunNext() || q.Now() != 4*time.Second || q.RunNext() {
		t.Fatalf("after RunNext(): time %s and %d events, want 4s and none", q.Now(), len(q.events))
	}
}

func TestCheckMechanismNeeded(t *testing.T) {
	errViolated := errors.New("invariant violated")
	newSimulate := func(errWithMechanism, errWithoutMechanism error) func(uint64, uint8) error {
		return func(seed uint64, disabled uint8) error {
			if disabled == 0 {
				return errWithMechanism
			}
			if seed == 2 {
				return errWithoutMechanism
			}
			return nil
		}
	}
	if err := CheckMechanismNeeded(3, 1, newSimulate(nil, errViolated)); err != nil {
		t.Errorf("CheckMechanismNeeded() with a violation in run 2 of 0 to 2 without the mechanism = %v, want nil", err)
	}
	if err := CheckMechanismNeeded(2, 1, newSimulate(nil, errViolated)); !errors.Is(err, ErrMechanismNotNeeded) {
		t.Errorf("CheckMechanismNeeded() without any violation = %v, want ErrMechanismNotNeeded", err)
	}
	if err := CheckMechanismNeeded(3, 1, newSimulate(errViolated, errViolated)); !errors.Is(err, errViolated) {
		t.Errorf("CheckMechanismNeeded() with a violation despite all mechanisms = %v, want that violation", err)
	}
}
