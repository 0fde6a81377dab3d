package engine

import "time"

// ring is a set of the newest keys, with a text for each.
type ring[K comparable] struct {
	size  int
	order []K
	texts map[K]string
}

func newRing[K comparable](size int) *ring[K] {
	return &ring[K]{size: size, texts: map[K]string{}}
}

// put adds or replaces a key; it returns the key that made room, if any, and
// whether the key was new.
func (r *ring[K]) put(key K, text string) (dropped K, full, added bool) {
	_, held := r.texts[key]
	r.texts[key] = text
	if held {
		return dropped, false, false
	}
	r.order = append(r.order, key)
	if len(r.order) <= r.size {
		return dropped, false, true
	}
	dropped = r.order[0]
	r.order = append(r.order[:0], r.order[1:]...)
	delete(r.texts, dropped)
	return dropped, true, true
}

// event is one change of the prefix cache.
type event struct {
	Seq    uint64 `json:"seq"`
	Op     string `json:"op"`
	Prefix uint64 `json:"prefix"`
	at     time.Time
}

type eventPage struct {
	Events []event `json:"events"`
	Newest uint64  `json:"newest"`
}

// prefixCache holds the cached prefixes and the events that it publishes.
type prefixCache struct {
	prefixes *ring[uint64]
	events   []event
	seq      uint64
}

func newPrefixCache() *prefixCache {
	return &prefixCache{prefixes: newRing[uint64](cachedPrefixes)}
}

// use takes a prefix into the cache and reports whether it was there.
func (c *prefixCache) use(prefix uint64, now time.Time) bool {
	dropped, full, added := c.prefixes.put(prefix, "")
	if full {
		c.publish("evict", dropped, now)
	}
	if added {
		c.publish("add", prefix, now)
	}
	return !added
}

// publish adds an event; one in eventGap is lost.
func (c *prefixCache) publish(op string, prefix uint64, now time.Time) {
	c.seq++
	if c.seq%eventGap == 0 {
		return
	}
	c.events = append(c.events, event{Seq: c.seq, Op: op, Prefix: prefix, at: now})
	if len(c.events) > keptEvents {
		c.events = append(c.events[:0], c.events[1:]...)
	}
}

// published returns the events after seq that happened by the given time.
func (c *prefixCache) published(seq uint64, by time.Time) eventPage {
	page := eventPage{Events: []event{}}
	for _, e := range c.events {
		if e.at.After(by) {
			break
		}
		page.Newest = e.Seq
		if e.Seq > seq {
			page.Events = append(page.Events, e)
		}
	}
	return page
}
