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
	// catchupInterval is the time between two looks at whether the process lags.
	catchupInterval = 300 * time.Millisecond
	// targetHead is how long a target process leaves it to entries to tell what the store
	// holds: they are many in a zone, and start at the same time after a loss of power.
	targetHead = 5 * time.Second
	// busyPause is about the time until a peer that answers others is asked again.
	busyPause = 100 * time.Millisecond
	// farHead is how long peers of the own zone and the store are given to tell what a
	// peer elsewhere knows: manifests are large, and links between regions narrow.
	farHead = 750 * time.Millisecond
)

// Catchup brings to a feed what peers know and the store does not tell: because
// it turns the process away, or because a read that waits was not woken.
type Catchup struct {
	peers *Peers
	feed  *feed.Feed
	topic string
	head  time.Duration
	// news tells that a peer is ahead.
	news chan struct{}

	mu sync.Mutex
	// near and far are what peers told that are asked at once, and after farHead.
	near, far lead
}

// NewCatchup returns a catch-up of a feed on a topic. The store is given head to
// tell what a peer knows already; a target process leaves reading it to entries.
func NewCatchup(p *Peers, f *feed.Feed, topic string, head time.Duration) *Catchup {
	if p != nil && p.opts.Self.Role == link.RoleTarget {
		f.SetPeerGracePeriod(func() time.Duration { return targetHead })
	}
	return &Catchup{peers: p, feed: f, topic: topic, head: head, near: newLead(), far: newLead(), news: make(chan struct{}, 1)}
}

// Told takes in the newest offset that a peer knows, -1 if it knows none.
func (c *Catchup) ObservePeerOffset(peer contract.MachineID, newest int64) {
	held := c.feed.NewestOffset()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.near.tell(time.Now(), peer, newest, held) {
		return
	}
	select {
	case c.news <- struct{}{}:
	default:
	}
}

// ToldFar is Told of a peer that is asked only if the others do not tell.
func (c *Catchup) ObserveRemotePeerOffset(peer contract.MachineID, newest int64) {
	held := c.feed.NewestOffset()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.far.tell(time.Now(), peer, newest, max(held, c.near.newest))
}

// Run pulls from peers until ctx ends.
func (c *Catchup) Run(ctx context.Context) {
	timer := time.NewTimer(catchupInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.news:
		case <-timer.C:
		}
		next := catchupInterval
		if c.pull(ctx) {
			next = busyPause/2 + rand.N(busyPause)
		}
		timer.Reset(next)
	}
}

// pull asks a peer if that is due; busy tells that the one asked answers others. If
// nobody is in reach, the store may tell what the peers knew.
func (c *Catchup) pull(ctx context.Context) (busy bool) {
	id, ok := c.behind(time.Now())
	if !ok && c.feed.IsStoreUp() {
		return false
	}
	var err error
	if ok {
		err = c.pullFrom(ctx, id)
		if err == nil || errors.Is(err, ErrBusy) {
			return err != nil
		}
		c.drop(id)
	}
	err = c.pullAny(ctx)
	if errors.Is(err, ErrBusy) {
		return true
	}
	if err != nil {
		c.feed.Refresh()
	}
	return false
}

func (c *Catchup) pullFrom(ctx context.Context, id contract.MachineID) error {
	records, err := c.peers.PullFrom(ctx, id, c.topic, c.feed.NewestOffset())
	if err == nil {
		c.feed.Merge(records)
	}
	return err
}

func (c *Catchup) pullAny(ctx context.Context) error {
	records, err := c.peers.Pull(ctx, c.topic, c.feed.NewestOffset())
	if err == nil {
		c.feed.Merge(records)
	}
	return err
}

// behind returns a peer that knows more than the feed for longer than the others need
// to tell it.
func (c *Catchup) behind(now time.Time) (contract.MachineID, bool) {
	held := c.feed.NewestOffset()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.near.ahead(held):
		return c.near.any(), c.near.ripe(now, c.head)
	case c.far.ahead(held):
		return c.far.any(), c.far.ripe(now, farHead)
	default:
		return "", false
	}
}

// drop forgets that a peer is ahead.
func (c *Catchup) drop(id contract.MachineID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.near.drop(id)
	c.far.drop(id)
}
