package load

import (
	"fmt"
	"sync"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Class is the kind of answer that a caller got.
type Class string

// The classes of results.
const (
	// Complete is a complete answer, checked to the last token or byte.
	Complete Class = "whole"
	// Refused is a refusal with problem details.
	Refused Class = "refused"
	// Truncated is an answer that broke off without an end or an error event.
	Truncated Class = "cut"
	// EndedByError is a stream that the system ended with an error event.
	EndedByError Class = "ended by error"
	// Wrong is an answer that does not belong to the request, or that cannot be read.
	Wrong Class = "wrong"
	// Unreachable means that the entry host gave no answer.
	Unreachable Class = "unreachable"
)

// Result is the result of one call.
type Result struct {
	Class   Class
	Status  int
	Outcome string
	Reason  contract.Reason
	// RetryAfter is the delay after which the caller may retry, or 0 if the answer has none.
	RetryAfter time.Duration
	// TimeToFirstToken is the time to the first token or, for a plain service, to the answer.
	TimeToFirstToken time.Duration
	// MaxTokenGap is the longest time between two tokens.
	MaxTokenGap time.Duration
	Digest      contract.Digest
	// Detail describes what was wrong.
	Detail string
}

// Tally adds up results. It is safe for concurrent use.
type Tally struct {
	start   time.Time
	mu      sync.Mutex
	classes map[Class]int
	details []string
	digests map[contract.Digest]int
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		start:   time.Now(),
		classes: map[Class]int{},
		digests: map[contract.Digest]int{},
	}
}

// Add counts r, and keeps its detail if it is one of the first results that are not complete.
func (t *Tally) Add(r Result) {
	const maxDetails = 20
	t.mu.Lock()
	defer t.mu.Unlock()
	t.classes[r.Class]++
	switch r.Class {
	case Complete:
		t.digests[r.Digest]++
	default:
		if len(t.details) < maxDetails && r.Detail != "" {
			at := time.Since(t.start).Round(time.Millisecond)
			t.details = append(t.details, fmt.Sprintf("after %v %s: %s", at, r.Class, r.Detail))
		}
	}
}

// Count returns how many results of a class were added.
func (t *Tally) Count(c Class) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.classes[c]
}

// Total returns how many results were added.
func (t *Tally) Total() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	for _, n := range t.classes {
		total += n
	}
	return total
}

// Digests returns how many complete answers came from each version.
func (t *Tally) Digests() map[contract.Digest]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return copyCounts(t.digests)
}

func copyCounts[K comparable](from map[K]int) map[K]int {
	to := make(map[K]int, len(from))
	for k, n := range from {
		to[k] = n
	}
	return to
}

// Details returns what went wrong in the first few calls without a complete answer.
func (t *Tally) Details() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.details...)
}
