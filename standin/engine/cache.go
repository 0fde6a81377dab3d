package engine

import "time"

// recentSet is a bounded set of the keys that were added last, with a text for each.
type recentSet[K comparable] struct {
	size  int
	order []K
	texts map[K]string
}

func newRecentSet[K comparable](size int) *recentSet[K] {
	return &recentSet[K]{size: size, texts: map[K]string{}}
}

// insert adds a key, or replaces its text. It reports whether the key was added; if the
// oldest key had to be evicted to make room for it, it returns that key and sets hasEvicted.
func (r *recentSet[K]) insert(key K, text string) (evicted K, hasEvicted, added bool) {
	_, held := r.texts[key]
	r.texts[key] = text
	if held {
		return evicted, false, false
	}
	r.order = append(r.order, key)
	if len(r.order) <= r.size {
		return evicted, false, true
	}
	evicted = r.order[0]
	r.order = append(r.order[:0], r.order[1:]...)
	delete(r.texts, evicted)
	return evicted, true, true
}

// event is a change of the prefix cache. Seq is its sequence number.
type event struct {
	Seq    uint64 `json:"seq"`
	Op     string `json:"op"`
	Prefix uint64 `json:"prefix"`
	at     time.Time
}

// eventPage is the body of the reply to GET /v1/events.
type eventPage struct {
	Events []event `json:"events"`
	Newest uint64  `json:"newest"`
}

// prefixCache holds the cached prefixes and the events about its changes.
type prefixCache struct {
	prefixes *recentSet[uint64]
	events   []event
	seq      uint64
}

func newPrefixCache() *prefixCache {
	return &prefixCache{prefixes: newRecentSet[uint64](maxPrefixes)}
}

// insert adds a prefix to the cache and reports whether it was cached before.
func (c *prefixCache) insert(prefix uint64, now time.Time) bool {
	evicted, hasEvicted, added := c.prefixes.insert(prefix, "")
	if hasEvicted {
		c.publish("evict", evicted, now)
	}
	if added {
		c.publish("add", prefix, now)
	}
	return !added
}

// publish adds an event. Every lostEventInterval-th event is lost.
func (c *prefixCache) publish(op string, prefix uint64, now time.Time) {
	c.seq++
	if c.seq%lostEventInterval == 0 {
		return
	}
	c.events = append(c.events, event{Seq: c.seq, Op: op, Prefix: prefix, at: now})
	if len(c.events) > maxEvents {
		c.events = append(c.events[:0], c.events[1:]...)
	}
}

// eventsAfter returns the events after a sequence number that happened until a time.
func (c *prefixCache) eventsAfter(after uint64, until time.Time) eventPage {
	page := eventPage{Events: []event{}}
	for _, e := range c.events {
		if e.at.After(until) {
			break
		}
		page.Newest = e.Seq
		if e.Seq > after {
			page.Events = append(page.Events, e)
		}
	}
	return page
}
