package peers

import (
	"context"
	"math/rand/v2"
	"time"

	"mimosastand.example/mimosastand/platform"
)

const (
	// publishWait is how long the first publication waits for what the store holds of
	// a former run; publishPause is the least time between two tries, to
	// which up to as much again is added at random.
	publishWait  = 700 * time.Millisecond
	publishPause = 400 * time.Millisecond
)

// publish writes this process's record until it stands in the store.
func (p *Peers) publish(ctx context.Context) {
	data, err := p.opts.Self.encode()
	if err != nil {
		p.opts.Log.WithError(err).Error("member not published")
		return
	}
	select {
	case <-p.read:
	case <-time.After(publishWait):
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		_, err := p.opts.Store.Put(ctx, platform.TopicMembers, string(p.opts.Self.Machine), data)
		if err == nil {
			p.opts.Log.Info("member published")
			return
		}
		p.opts.Log.WithError(err).Warn("member not published")
		pause := publishPause + time.Duration(rand.Int64N(int64(publishPause)))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// Returned reports whether a former run of this machine had published itself.
func (p *Peers) HasPreviousRun() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.returned
}
