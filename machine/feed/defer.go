package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/platform"
)

// lagPause is the time between two looks at whether peers have told what lacks.
const lagPause = 200 * time.Millisecond

// awaitPeers gives peers time to tell the topic before it is read for the first time.
func (f *Feed) awaitPeers(ctx context.Context) {
	head := f.head()
	if head <= 0 {
		return
	}
	timer := time.NewTimer(spread(head))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.gotKnown:
	case <-timer.C:
	}
}

// head is how long peers are left to tell what the store holds.
func (f *Feed) head() time.Duration {
	if f.opts.PeerGracePeriod == nil {
		return 0
	}
	return f.opts.PeerGracePeriod()
}

// spread returns about d: processes that lack the same are not to read it at the same
// time.
func spread(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// leave reports whether there is nothing to read, or peers are to tell it.
func (f *Feed) leave(ctx context.Context) (bool, error) {
	head := f.head()
	if head <= 0 {
		f.lagsUntil = time.Time{}
		return false, nil
	}
	end, err := f.store.End(ctx, f.opts.Topic)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return false, err
	}
	if f.holds(end) {
		f.from, f.synced = max(f.from, end), true
		f.lagsUntil = time.Time{}
		f.readToEnd()
		return true, nil
	}
	now := time.Now()
	if f.lagsUntil.IsZero() {
		f.lagsUntil = now.Add(spread(head))
	}
	return now.Before(f.lagsUntil), nil
}

// holds reports whether the topic is held up to an end.
func (f *Feed) holds(end int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known && f.replica.NewestOffset() >= end-1
}
