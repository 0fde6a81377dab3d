package peers

import (
	"context"
	"math/rand/v2"
	"time"

	"mimosastand.example/mimosastand/platform"
)

const (
	// previousRunTimeout bounds how long the first publication waits for the members to
	// be read, which shows whether the store holds the record of a previous run.
	// minPublishRetryDelay is the minimum delay between two attempts; up to as much again
	// is added at random.
	previousRunTimeout   = 700 * time.Millisecond
	minPublishRetryDelay = 400 * time.Millisecond
	// eraPollInterval is the time between two checks whether the members have been read in
	// a new era of the store.
	eraPollInterval = 50 * time.Millisecond
)

// publish writes this process's member record to the store, and retries until it
// succeeds.
func (p *Peers) publish(ctx context.Context) {
	data, err := p.opts.Self.encode()
	if err != nil {
		p.opts.Log.WithError(err).Error("member not published")
		return
	}
	select {
	case <-p.firstRead:
	case <-time.After(previousRunTimeout):
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		position, err := p.opts.Store.Put(ctx, platform.TopicMembers, string(p.opts.Self.Machine), data)
		if err == nil {
			p.opts.Log.WithField("position", position).WithField("fingerprint", p.opts.Self.Fingerprint.Short()).Info("member published")
			return
		}
		p.opts.Log.WithError(err).Warn("member not published")
		delay := minPublishRetryDelay + time.Duration(rand.Int64N(int64(minPublishRetryDelay)))
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// RewriteMember writes this process's member record again if the store lost it when it came
// back from an older copy in an era. It waits until the members have been read in that era,
// and reports whether the record was written.
func (p *Peers) RewriteMember(ctx context.Context, era int64) bool {
	ticker := time.NewTicker(eraPollInterval)
	defer ticker.Stop()
	for p.memberFeed.Era() < era {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	if p.isPublished() {
		return false
	}
	p.publish(ctx)
	return ctx.Err() == nil
}

// isPublished reports whether the store has the member record of this run of the process.
func (p *Peers) isPublished() bool {
	stored, ok := p.memberFeed.Stored(string(p.opts.Self.Machine))
	if !ok {
		return false
	}
	m, err := decodeMember(stored.Key, stored.Value)
	return err == nil && m.Fingerprint == p.opts.Self.Fingerprint
}

// Refresh makes the process read the members again at once.
func (p *Peers) Refresh() { p.memberFeed.Refresh() }

// HasPreviousRun reports whether a previous run of this machine had published its member
// record.
func (p *Peers) HasPreviousRun() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasPreviousRun
}
