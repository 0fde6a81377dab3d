package peers

import (
	"context"
	"sync"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/feed"
)

// catchupInterval is the time between two looks at whether the process lags.
const catchupInterval = 300 * time.Millisecond

// Catchup brings to a feed what peers know and the store does not tell: because
// it turns the process away, or because a read that waits was not woken.
type Catchup struct {
	peers *Peers
	feed  *feed.Feed
	topic string
	head  time.Duration
	// told tells that a peer is ahead.
	told chan struct{}

	mu sync.Mutex
	// ahead is the peer that told the highest offset, newest that offset, since when
	// it is higher than the feed's.
	ahead  contract.MachineID
	newest int64
	since  time.Time
}

// NewCatchup returns a catch-up of a feed on a topic. The store is given head to
// tell what a peer knows already.
func NewCatchup(p *Peers, f *feed.Feed, topic string, head time.Duration) *Catchup {
	return &Catchup{peers: p, feed: f, topic: topic, head: head, newest: -1, told: make(chan struct{}, 1)}
}

// Told takes in the newest offset that a peer knows, -1 if it knows none.
func (c *Catchup) Told(peer contract.MachineID, newest int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if newest <= c.newest {
		return
	}
	c.ahead, c.newest, c.since = peer, newest, time.Now()
	select {
	case c.told <- struct{}{}:
	default:
	}
}

// Run pulls from peers until ctx ends.
func (c *Catchup) Run(ctx context.Context) {
	ticker := time.NewTicker(catchupInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.told:
		case <-ticker.C:
		}
		c.pull(ctx)
	}
}

func (c *Catchup) pull(ctx context.Context) {
	var records contract.Records
	var err error
	if id, ok := c.behind(); ok {
		records, err = c.peers.PullFrom(ctx, id, c.topic, c.feed.Newest())
	} else if !c.feed.Up() {
		records, err = c.peers.Pull(ctx, c.topic, c.feed.Newest())
	} else {
		return
	}
	if err != nil {
		// The peer that is ahead is out of reach; the store may tell what it knew.
		c.feed.Refresh()
		return
	}
	c.feed.Merge(records)
}

// behind returns the peer that knows more than the feed for longer than the store
// needs to tell it.
func (c *Catchup) behind() (contract.MachineID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ahead, c.newest > c.feed.Newest() && time.Since(c.since) >= c.head
}
