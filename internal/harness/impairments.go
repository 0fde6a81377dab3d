package harness

import (
	"sync"
	"time"
)

// Impairments are the spans of time in which something was impaired. The zero value has no
// spans. It is safe for concurrent use.
type Impairments struct {
	mu    sync.Mutex
	spans []*impairment
}

// impairment is one span; to is zero while it lasts.
type impairment struct {
	from, to time.Time
}

// Begin records that an impairment begins now. The returned function records its end.
func (i *Impairments) Begin() (end func()) {
	span := &impairment{from: time.Now()}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.spans = append(i.spans, span)
	return func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		span.to = time.Now()
	}
}

// Add records an impairment that has ended.
func (i *Impairments) Add(from, to time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.spans = append(i.spans, &impairment{from: from, to: to})
}

// LastEnd returns the latest end of the impairments that began by at: zero if there were
// none, and at itself if one still lasted at that time.
func (i *Impairments) LastEnd(at time.Time) time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	var last time.Time
	for _, span := range i.spans {
		if span.from.After(at) {
			continue
		}
		end := span.to
		if end.IsZero() || end.After(at) {
			end = at
		}
		if end.After(last) {
			last = end
		}
	}
	return last
}

// NoneWithin reports whether there was no impairment in the window before at.
func (i *Impairments) NoneWithin(at time.Time, window time.Duration) bool {
	return !i.LastEnd(at).After(at.Add(-window))
}
