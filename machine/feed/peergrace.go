package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/platform"
)

// lagCheckInterval is the interval at which a feed that is missing records checks whether
// peers have sent them.
const lagCheckInterval = 200 * time.Millisecond

// awaitPeers gives peers about one grace period to send the complete topic before the
// store is called for the first time.
func (f *Feed) awaitPeers(ctx context.Context) {
	gracePeriod := f.gracePeriod()
	if gracePeriod <= 0 {
		return
	}
	timer := time.NewTimer(jitter(gracePeriod))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.firstSync:
	case <-timer.C:
	}
}

// gracePeriod returns how long peers are given to send the records that the store holds.
func (f *Feed) gracePeriod() time.Duration {
	if f.opts.PeerGracePeriod == nil {
		return 0
	}
	return f.opts.PeerGracePeriod()
}

// jitter returns a random duration between half of d and one and a half of d, so that
// processes that are missing the same records do not all read them at the same time.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// canSkipRead reports whether the store need not be read now: because the topic is held
// up to its end, or because peers still have time to send what is missing. It starts and
// ends the grace period and, with the topic held, moves the next read to the end offset. end is
// where the topic ends; nil if the store was not asked.
func (f *Feed) canSkipRead(ctx context.Context) (end *platform.Batch, skip bool, err error) {
	gracePeriod := f.gracePeriod()
	if gracePeriod <= 0 {
		f.graceEndsAt = time.Time{}
		return nil, false, nil
	}
	if end, err = f.endOffset(ctx); err != nil {
		return nil, false, err
	}
	if f.holdsUpTo(*end) {
		f.skipTo(*end)
		f.graceEndsAt = time.Time{}
		f.markCaughtUp()
		return end, true, nil
	}
	now := time.Now()
	if f.graceEndsAt.IsZero() {
		f.graceEndsAt = now.Add(jitter(gracePeriod))
	}
	return end, now.Before(f.graceEndsAt), nil
}

// endOffset requests where the topic ends. A topic that does not exist yet ends at offset 0.
func (f *Feed) endOffset(ctx context.Context) (*platform.Batch, error) {
	f.lastCall = beginCall()
	end, err := f.store.EndOffset(ctx, f.opts.Topic)
	if errors.Is(err, platform.ErrNotFound) {
		end, err = platform.Batch{Era: f.store.Era()}, nil
	}
	if err != nil {
		return nil, err
	}
	return &end, nil
}

// skipTo makes the next read begin at the end offset of a batch, unless a later one is known
// in its era.
func (f *Feed) skipTo(end platform.Batch) {
	if f.fromEra == end.Era {
		end.EndOffset = max(f.from, end.EndOffset)
	}
	f.from, f.fromEra, f.fromValid = end.EndOffset, end.Era, true
}

// holdsUpTo reports whether the feed has synced and holds the topic up to the end offset of
// a batch, in its era of the store.
func (f *Feed) holdsUpTo(end platform.Batch) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasSynced && f.replica.Era() == end.Era && f.replica.NewestOffset() >= contract.NewPosition(end.Era, end.EndOffset)-1
}
