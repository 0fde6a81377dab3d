package feed

import (
	"math/rand/v2"
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

// markCaughtUp records that the feed holds the topic up to the end offset in the answer to the last call. An
// answer without records dates the confirmation, too; the calls that bring records last as long as there are none.
func (f *Feed) markCaughtUp() {
	f.mu.Lock()
	defer f.mu.Unlock()
	bootNow := boottime.Time()
	f.caughtUpBootAt = f.lastCall.answeredAfter(bootNow)
	f.caughtUpAt = boottime.Monotonic(f.caughtUpBootAt, bootNow)
	f.own.Number++
	if f.lastCall.hasRecords {
		f.confirm(time.Now(), f.own)
		return
	}
	f.confirm(f.caughtUpAt, f.own)
}

// nextWait returns how long the next read waits for a record.
func (f *Feed) nextWait() time.Duration {
	switch spread := f.opts.MaxWait - f.opts.MinWait; {
	case f.opts.MinWait <= 0 || spread <= 0:
		return f.opts.MaxWait
	case f.lastCall.hasRecords:
		return min(recheckWait, f.opts.MaxWait)
	default:
		return f.opts.MinWait + rand.N(spread)
	}
}
