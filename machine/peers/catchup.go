package peers

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/feed"
)

const (
	// lagCheckInterval is the interval between checks of whether peers hold records that
	// the feed is missing.
	lagCheckInterval = 300 * time.Millisecond
	// targetGracePeriod is how long the feed of a target process gives entries to send
	// what the store holds: a zone has many targets, and after a power loss all of them
	// start and would read the store at the same time.
	targetGracePeriod = 5 * time.Second
	// busyRetryDelay is the mean delay before the next pull after a peer was busy.
	busyRetryDelay = 100 * time.Millisecond
	// remoteGracePeriod is how long the local peers and the store are given to deliver
	// what a remote peer holds, unless SetDelays is called: manifests are large, and links
	// between regions are narrow.
	remoteGracePeriod = 750 * time.Millisecond
)

// recordSource is where a Catchup pulls records from.
type recordSource interface {
	// PullFrom requests a topic's records above an offset from a machine, Pull from any entry.
	PullFrom(ctx context.Context, id contract.MachineID, topic string, after int64) (contract.Records, error)
	Pull(ctx context.Context, topic string, after int64) (contract.Records, error)
}

// Catchup pulls from peers the records that a feed does not receive from the store:
// because the store refuses the process's calls, or because a waiting read was not woken.
type Catchup struct {
	source recordSource
	feed   *feed.Feed
	topic  string
	// localDelay returns how long the store is given to deliver what a local peer holds,
	// remoteDelay how long the store and the local peers are given to deliver what a remote
	// peer holds.
	localDelay, remoteDelay func() time.Duration
	// onRemotePull is called when a pull from a remote peer has ended; it may be nil.
	onRemotePull func(RemotePull)
	// trigger wakes Run when a local peer has reported a new highest offset, and when a remote
	// peer that was busy may be asked again.
	trigger chan struct{}

	mu sync.Mutex
	// local holds the offsets of the peers from which records are pulled after
	// localDelay, remote those of the peers used after remoteDelay if no local
	// peer is ahead.
	local, remote peerOffsets
	// cancelRemote cancels the pull from a remote peer in progress; nil if there is none.
	cancelRemote context.CancelFunc
}

// NewCatchup returns a Catchup for a feed and its topic. The store is given gracePeriod
// to deliver the records that a local peer already holds. In a target process NewCatchup
// also sets the feed's peer grace period, so that entries read the store in its place.
func NewCatchup(p *Peers, f *feed.Feed, topic string, gracePeriod time.Duration) *Catchup {
	if p != nil && p.opts.Self.Role == link.RoleTarget {
		f.SetPeerGracePeriod(func() time.Duration { return targetGracePeriod })
	}
	return newCatchup(p, f, topic, gracePeriod)
}

func newCatchup(source recordSource, f *feed.Feed, topic string, gracePeriod time.Duration) *Catchup {
	c := &Catchup{source: source, feed: f, topic: topic, local: newPeerOffsets(), remote: newPeerOffsets(), trigger: make(chan struct{}, 1)}
	c.SetDelays(func() time.Duration { return gracePeriod }, func() time.Duration { return remoteGracePeriod })
	return c
}

// SetDelays sets how long the store is given to deliver what a local peer holds, and how long the
// store and the local peers are given to deliver what a remote peer holds. It must be called
// before Run.
func (c *Catchup) SetDelays(local, remote func() time.Duration) {
	c.localDelay, c.remoteDelay = local, remote
}

// RemotePull is a pull from a remote peer that has ended.
type RemotePull struct {
	Peer   contract.MachineID
	Took   time.Duration
	Result PullResult
}

// PullResult is what became of a pull.
type PullResult string

// The results of pulls: the records were received, the peer was busy, the records arrived
// otherwise meanwhile, or the peer did not answer.
const (
	PullReceived PullResult = "received"
	PullBusy     PullResult = "busy"
	PullCanceled PullResult = "canceled"
	PullFailed   PullResult = "failed"
)

// OnRemotePull sets the function that is called when a pull from a remote peer has ended. It must
// be called before Run.
func (c *Catchup) OnRemotePull(report func(RemotePull)) { c.onRemotePull = report }

// ObservePeer applies how far a peer reports that it knows the topic; progress is nil if it
// does not know the topic.
func (c *Catchup) ObservePeer(peer contract.MachineID, progress *contract.TopicProgress) {
	if progress == nil {
		return
	}
	c.feed.ObserveProgress(progress)
	c.ObservePeerOffset(peer, int64(progress.End)-1)
}

// ObserveRemotePeer is ObservePeer for a peer from which records are pulled only if neither the
// store nor the local peers deliver them.
func (c *Catchup) ObserveRemotePeer(peer contract.MachineID, progress *contract.TopicProgress) {
	if progress == nil {
		return
	}
	c.feed.ObserveProgress(progress)
	c.ObserveRemotePeerOffset(peer, int64(progress.End)-1)
}

// ObservePeerOffset records the newest offset that a peer reports, -1 if it holds none.
func (c *Catchup) ObservePeerOffset(peer contract.MachineID, newest int64) {
	held := c.feed.NewestOffset()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.local.observe(time.Now(), peer, newest, held) {
		c.wake()
	}
}

// wake makes Run check at once whether records are to be pulled.
func (c *Catchup) wake() {
	select {
	case c.trigger <- struct{}{}:
	default:
	}
}

// ObserveRemotePeerOffset is ObservePeerOffset for a peer from which records are pulled
// only if neither the store nor the local peers deliver them.
func (c *Catchup) ObserveRemotePeerOffset(peer contract.MachineID, newest int64) {
	held := c.feed.NewestOffset()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remote.observe(time.Now(), peer, newest, held)
}

// Run pulls from peers until ctx is done.
func (c *Catchup) Run(ctx context.Context) {
	timer := time.NewTimer(lagCheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.trigger:
		case <-timer.C:
		}
		timer.Reset(c.pullIfNeeded(ctx))
	}
}

// pullIfNeeded pulls from a peer whose records are due, or from any entry if the store is lost and
// the topic is not held at all. It returns the time until the next check.
func (c *Catchup) pullIfNeeded(ctx context.Context) time.Duration {
	ahead := c.peerAhead(time.Now())
	isLost := !c.feed.IsStoreUp() && !c.feed.HasSynced()
	switch {
	case ahead.isDue && ahead.isRemote:
		c.pullRemote(ctx, ahead.peer)
	case ahead.isDue:
		if c.pull(ctx, ahead.peer) == PullBusy {
			return busyDelay()
		}
	case isLost:
		if c.pullAny(ctx) == PullBusy {
			return busyDelay()
		}
	default:
		return min(ahead.untilDue, lagCheckInterval)
	}
	return lagCheckInterval
}

// busyDelay returns the delay before the next pull after a peer was busy.
func busyDelay() time.Duration { return busyRetryDelay/2 + rand.N(busyRetryDelay) }

// pullRemote pulls from a remote peer, unless such a pull is in progress, without keeping Run from
// pulling from a local peer meanwhile.
func (c *Catchup) pullRemote(ctx context.Context, id contract.MachineID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelRemote != nil {
		return
	}
	pullCtx, cancel := context.WithCancel(ctx)
	c.cancelRemote = cancel
	go func() {
		started := time.Now()
		result := c.pull(pullCtx, id)
		if c.onRemotePull != nil {
			c.onRemotePull(RemotePull{Peer: id, Took: time.Since(started), Result: result})
		}
		if result == PullBusy {
			sleep(pullCtx, busyDelay())
		}
		cancel()
		c.mu.Lock()
		c.cancelRemote = nil
		c.mu.Unlock()
		if result == PullBusy {
			c.wake()
		}
	}()
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// pull pulls from a peer, or from any entry if that peer does not answer. It returns the result of
// the last of these pulls; after PullBusy it is to be repeated soon.
func (c *Catchup) pull(ctx context.Context, id contract.MachineID) PullResult {
	records, err := c.source.PullFrom(ctx, id, c.topic, c.feed.NewestOffset())
	switch {
	case err == nil:
		c.feed.Merge(records)
		return PullReceived
	case errors.Is(err, ErrBusy):
		return PullBusy
	case ctx.Err() != nil:
		return PullCanceled
	}
	c.removePeer(id)
	return c.pullAny(ctx)
}

// pullAny pulls from any entry. If that fails, the feed reads the store again, which may
// hold what the peers reported.
func (c *Catchup) pullAny(ctx context.Context) PullResult {
	records, err := c.source.Pull(ctx, c.topic, c.feed.NewestOffset())
	switch {
	case err == nil:
		c.feed.Merge(records)
		return PullReceived
	case errors.Is(err, ErrBusy):
		return PullBusy
	}
	c.feed.Refresh()
	return PullFailed
}

// aheadPeer is a peer that holds newer records than the feed.
type aheadPeer struct {
	peer     contract.MachineID
	isRemote bool
	// isDue reports whether the time for other sources to deliver the records has passed,
	// which it will have untilDue later.
	isDue    bool
	untilDue time.Duration
}

// peerAhead returns a peer that holds newer records than the feed. While a local peer is ahead,
// remote peers are not considered. A pull from a remote peer in progress is canceled if the feed
// holds what the peer reported.
func (c *Catchup) peerAhead(now time.Time) aheadPeer {
	held, localDelay, remoteDelay := c.feed.NewestOffset(), c.localDelay(), c.remoteDelay()
	c.mu.Lock()
	defer c.mu.Unlock()
	isRemoteAhead := c.remote.isAhead(held)
	if !isRemoteAhead && c.cancelRemote != nil {
		c.cancelRemote()
	}
	ahead := aheadPeer{untilDue: lagCheckInterval}
	switch {
	case c.local.isAhead(held):
		ahead = aheadPeer{peer: c.local.randomPeer(), untilDue: c.local.untilDue(now, held, localDelay)}
	case isRemoteAhead:
		ahead = aheadPeer{peer: c.remote.randomPeer(), isRemote: true, untilDue: c.remote.untilDue(now, held, remoteDelay)}
	}
	ahead.isDue = ahead.untilDue <= 0
	return ahead
}

// removePeer removes a peer that did not answer from the peers that are ahead.
func (c *Catchup) removePeer(id contract.MachineID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local.removePeer(id)
	c.remote.removePeer(id)
}
