package peers

import (
	"context"
	"sync"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/feed"
)

const (
	// catchupInterval is the time between two looks at whether the process lags.
	catchupInterval = 300 * time.Millisecond
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
	// lead is what peers told.
	lead lead
}

// NewCatchup returns a catch-up of a feed on a topic. The store is given head to
// tell what a peer knows already.
func NewCatchup(p *Peers, f *feed.Feed, topic string, head time.Duration) *Catchup {
	return &Catchup{peers: p, feed: f, topic: topic, head: head, lead: newLead(), news: make(chan struct{}, 1)}
}

// Told takes in the newest offset that a peer knows, -1 if it knows none.
func (c *Catchup) Told(peer contract.MachineID, newest int64) {
	held := c.feed.Newest()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lead.tell(time.Now(), peer, newest, held) {
		return
	}
	select {
	case c.news <- struct{}{}:
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
		case <-c.news:
		case <-ticker.C:
		}
		c.pull(ctx)
	}
}

// pull asks a peer if that is due, and another if it does not answer. If nobody is in
// reach, the store may tell what the peers knew.
func (c *Catchup) pull(ctx context.Context) {
	id, ok := c.behind(time.Now())
	if !ok && c.feed.Up() {
		return
	}
	if ok {
		if c.pullFrom(ctx, id) == nil {
			return
		}
		c.drop(id)
	}
	if c.pullAny(ctx) != nil {
		c.feed.Refresh()
	}
}

func (c *Catchup) pullFrom(ctx context.Context, id contract.MachineID) error {
	records, err := c.peers.PullFrom(ctx, id, c.topic, c.feed.Newest())
	if err == nil {
		c.feed.Merge(records)
	}
	return err
}

func (c *Catchup) pullAny(ctx context.Context) error {
	records, err := c.peers.Pull(ctx, c.topic, c.feed.Newest())
	if err == nil {
		c.feed.Merge(records)
	}
	return err
}

// behind returns a peer that knows more than the feed for longer than the others need
// to tell it.
func (c *Catchup) behind(now time.Time) (contract.MachineID, bool) {
	held := c.feed.Newest()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lead.ahead(held) {
		return "", false
	}
	return c.lead.any(), c.lead.ripe(now, c.head)
}

// drop forgets that a peer is ahead.
func (c *Catchup) drop(id contract.MachineID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lead.drop(id)
}
