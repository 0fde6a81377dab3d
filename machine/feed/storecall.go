package feed

import (
	"time"

	"mimosastand.example/mimosastand/internal/boottime"
)

// storeCall is a call to the store that was answered.
type storeCall struct {
	// began is when the call began, by boottime.Time.
	began time.Time
	// wait is how long the store was asked to wait for a record.
	wait time.Duration
	// hasRecords reports whether the answer has records.
	hasRecords bool
}

// beginCall returns a call that begins now.
func beginCall() storeCall { return storeCall{began: boottime.Time()} }

// answeredAfter returns a time, by boottime.Time, before which the store did not answer. When the answer is read
// does not show that: the process may have stood still, or the link may have held the answer back. A
// store that answers without a record has waited for one.
func (c storeCall) answeredAfter(now time.Time) time.Time {
	if end := c.began.Add(c.wait); !c.hasRecords && !end.After(now) {
		return end
	}
	return c.began
}
