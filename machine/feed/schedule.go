package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Run follows the topic until ctx is done.
func (f *Feed) Run(ctx context.Context) {
	f.startedAt = time.Now()
	f.awaitPeers(ctx)
	failures := 0
	for ctx.Err() == nil {
		if wait := f.untilTakeover(); wait > 0 {
			f.sleep(ctx, wait)
			continue
		}
		delay, calledAt := time.Duration(0), time.Now()
		err := f.poll(ctx)
		if errors.Is(err, errReadCanceled) {
			continue
		}
		if err != nil && ctx.Err() == nil {
			failures++
			f.onCallFailed(err, calledAt)
			delay = max(retryDelay(failures)-time.Since(calledAt), 0)
		} else {
			failures = 0
			f.recordAnswered(calledAt)
			f.onCallSucceeded()
			delay = f.nextReadDelay()
		}
		f.sleep(ctx, delay)
	}
}

// retryDelay returns the least time between the beginnings of two calls after a number of consecutive
// failures. A call that the store did not answer for longer is repeated at once: the sooner the
// store is found again, the better it is known when it returned. The delay is an exponential
// backoff with a jitter of up to half of it in either direction.
func retryDelay(failures int) time.Duration {
	const maxDoublings = 4
	base := min(minBackoff<<min(failures-1, maxDoublings), maxBackoff)
	return base/2 + time.Duration(rand.Int64N(int64(base)))
}

func (f *Feed) nextReadDelay() time.Duration {
	if f.isLeftToPeers && !f.HasSynced() {
		return startCheckInterval
	}
	if !f.graceEndsAt.IsZero() {
		return lagCheckInterval
	}
	if f.opts.ReadInterval == nil {
		return 0
	}
	return f.opts.ReadInterval()
}

// Refresh makes the feed read the topic again at once. It also cancels a read that is
// waiting for records, since the store may hold records without having woken that read.
func (f *Feed) Refresh() {
	f.mu.Lock()
	f.refreshPending, f.readRequested = true, true
	if f.cancelRead != nil {
		f.cancelRead()
	}
	f.mu.Unlock()
	f.TriggerRead()
}

// TriggerRead makes the feed read the topic soon, before its read interval has passed and
// whatever peers confirm.
func (f *Feed) TriggerRead() {
	f.mu.Lock()
	f.readRequested = true
	f.mu.Unlock()
	f.wake()
}

// CheckTakeover makes the feed consider TakeoverAge anew: what it depends on has changed.
func (f *Feed) CheckTakeover() { f.wake() }

// wake ends the wait before the next read.
func (f *Feed) wake() {
	select {
	case f.trigger <- struct{}{}:
	default:
	}
}

// sleep waits for d. A trigger ends the wait early, but not before TriggerDelay.
func (f *Feed) sleep(ctx context.Context, d time.Duration) {
	minTimer := time.NewTimer(min(d, f.opts.TriggerDelay))
	defer minTimer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-minTimer.C:
	}
	restTimer := time.NewTimer(max(d-f.opts.TriggerDelay, 0))
	defer restTimer.Stop()
	select {
	case <-ctx.Done():
	case <-f.trigger:
	case <-restTimer.C:
	}
}
