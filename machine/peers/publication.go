package peers

import (
	"context"
	"math/rand/v2"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link/backoff"
	"mimosastand.example/mimosastand/platform"
)

const (
	// previousRunTimeout bounds how long the first publication waits for the members to
	// be read, which shows whether the store holds the record of a previous run.
	// minPublishRetryDelay is the minimum delay between two attempts; up to as much again
	// is added at random.
	previousRunTimeout   = 700 * time.Millisecond
	minPublishRetryDelay = 400 * time.Millisecond
	// notPublished is the position of a member record that was not published yet.
	notPublished = -1
	// replacementMemory is how long after the last rewrite of the member record the next one is not
	// delayed.
	replacementMemory = time.Minute
	// eraPollInterval is the time between two checks whether the members have been read in
	// a new era of the store.
	eraPollInterval = 50 * time.Millisecond
)

// replacementBackoff bounds how often two processes that use the name of one machine replace each other's
// member records.
var replacementBackoff = backoff.Policy{Base: minPublishRetryDelay, Max: 10 * time.Second}

// maintainMember publishes this process, and again whenever another record has replaced its member
// record in the store: a write of an earlier run of this machine that got no answer may be done seconds
// later. Peers trust only the run in the store, so they would refuse all new links to this one.
func (p *Peers) maintainMember(ctx context.Context) {
	var pacing rewritePacing
	p.publish(ctx)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-p.ownRecordChanged:
		}
		if !p.isReplaced() {
			continue
		}
		sleep(ctx, pacing.nextDelay(time.Now()))
		p.rewrittenCount.Add(1)
		p.publish(ctx)
	}
}

// rewritePacing delays rewrites of the member record. Without it two processes that use the name of one machine
// would replace each other's records without end.
type rewritePacing struct {
	// count is the number of rewrites in a row, the last of them due at lastAt.
	count  int
	lastAt time.Time
}

// nextDelay returns the delay before the next rewrite: none for the first one in replacementMemory, and an
// exponential backoff for those that follow.
func (r *rewritePacing) nextDelay(now time.Time) time.Duration {
	if now.Sub(r.lastAt) > replacementMemory {
		r.count = 0
	}
	delay := time.Duration(0)
	if r.count > 0 {
		delay = replacementBackoff.Delay(r.count, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	}
	r.count, r.lastAt = r.count+1, now.Add(delay)
	return delay
}

// isReplaced reports whether the newest member record of this machine is of another run, or a deletion,
// and was written after this run was published.
func (p *Peers) isReplaced() bool {
	newest, ok := p.memberFeed.Newest(string(p.opts.Self.Machine))
	return ok && newest.Offset > p.publishedAt.Load() && !p.isOwn(newest)
}

// isOwn reports whether a record of this machine is the member record of this run.
func (p *Peers) isOwn(record contract.Record) bool {
	m, err := decodeMember(record.Key, record.Value)
	return err == nil && m.Fingerprint == p.opts.Self.Fingerprint
}

// RewrittenCount returns how often this process has written its member record again because another
// one had replaced it.
func (p *Peers) RewrittenCount() int64 { return p.rewrittenCount.Load() }

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
			p.publishedAt.Store(position)
			p.opts.Log.WithField("position", position).WithField("fingerprint", p.opts.Self.Fingerprint.Short()).Info("member published")
			return
		}
		p.opts.Log.WithError(err).Warn("member not published")
		sleep(ctx, minPublishRetryDelay+rand.N(minPublishRetryDelay))
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
	return ok && p.isOwn(stored)
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
