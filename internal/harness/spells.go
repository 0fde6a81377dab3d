package harness

import (
	"sync"
	"time"
)

// Spells are the spans of time in which something was impaired. The zero value has
// none. It is safe for concurrent use.
type Impairments struct {
	mu   sync.Mutex
	list []*spell
}

// spell is one span; to is zero while it lasts.
type spell struct {
	from, to time.Time
}

// Begin records that an impairment begins now; what it returns records its end.
func (s *Impairments) Begin() (end func()) {
	added := &spell{from: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, added)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		added.to = time.Now()
	}
}

// Add records a span that is over.
func (s *Impairments) Add(from, to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, &spell{from: from, to: to})
}

// CalmSince is the end of the last impairment that began by at; zero if none did, and
// at itself if one lasts then.
func (s *Impairments) LastEnd(at time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var last time.Time
	for _, one := range s.list {
		if one.from.After(at) {
			continue
		}
		end := one.to
		if end.IsZero() || end.After(at) {
			end = at
		}
		if end.After(last) {
			last = end
		}
	}
	return last
}

// Calm reports whether nothing was impaired for the given time before at.
func (s *Impairments) NoneWithin(at time.Time, length time.Duration) bool {
	return !s.LastEnd(at).After(at.Add(-length))
}
