// Package storerestore brings a process along when the platform's store comes back from an
// older copy: its topics are read anew, and what the process has written there and the store
// has lost is written again (docs/design/store-restore.md).
package storerestore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/machine/peers"
	"mimosastand.example/mimosastand/platform"
)

const (
	// maxStartDelay bounds the random delay before a process reads and writes: all
	// processes learn of a new era at about the same time, and share the store's rates.
	maxStartDelay = 400 * time.Millisecond
	// pollInterval is the time between two checks whether the feeds have read the topics.
	pollInterval = 50 * time.Millisecond
)

// Options configures the recovery of a process.
type Options struct {
	Store *platform.Store
	Peers *peers.Peers
	// Feeds follow the topics that the process reads.
	Feeds []*feed.Feed
	// RewritePieces appends the lost pieces of weights and returns their number; nil for a
	// process that appends none.
	RewritePieces func(ctx context.Context, era int64) int
	// OnRestore is called for each new era.
	OnRestore func()
	Log       log.Interface
}

// Watch recovers from each new era of the store until ctx ends. It must be called before the
// process uses the store.
func Watch(ctx context.Context, opts Options) {
	opts.Store.ObserveEras(platform.EraObserver{
		OnChange: func(previous, current int64) {
			opts.OnRestore()
			go opts.recover(ctx, previous, current)
		},
		OnInvalid: func(value string) {
			opts.Log.WithField("value", value).Warn("invalid era of the store ignored")
		},
	})
}

// recover reads the topics anew, writes again what was lost, and logs how long that took.
func (o Options) recover(ctx context.Context, previous, current int64) {
	start := time.Now()
	sleep(ctx, rand.N(maxStartDelay))
	for _, f := range o.Feeds {
		f.Refresh()
	}
	o.Peers.Refresh()
	member := o.Peers.RewriteMember(ctx, current)
	pieces := 0
	if o.RewritePieces != nil {
		pieces = o.RewritePieces(ctx, current)
	}
	for _, f := range o.Feeds {
		for f.Era() < current && ctx.Err() == nil {
			sleep(ctx, pollInterval)
		}
	}
	if ctx.Err() != nil {
		return
	}
	o.Log.WithField("previous", previous).WithField("era", current).WithField("member", member).WithField("pieces", pieces).
		WithField("ms", time.Since(start).Milliseconds()).Warn("store came back from an older copy")
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
