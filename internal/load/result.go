package load

import (
	"fmt"
	"sync"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Class is what a caller got.
type Class string

// The classes of a call's end.
const (
	// Whole is a complete answer, checked to the last token or byte.
	Complete Class = "whole"
	// Refused is a refusal with problem details.
	Refused Class = "refused"
	// Cut is an answer that broke off without an end or an error event.
	Truncated Class = "cut"
	// Ended is a stream that the system ended by an error event.
	EndedByError Class = "ended by error"
	// Wrong is an answer that is not the one to this request.
	Wrong Class = "wrong"
	// Unreachable means that no entry host took the connection.
	Unreachable Class = "unreachable"
)

// Result is the end of one call.
type Result struct {
	Class   Class
	Status  int
	Outcome string
	Reason  contract.Reason
	// RetryAfter is 0 if the answer names none.
	RetryAfter time.Duration
	// FirstToken is the time to the first token or, for a service, to the answer.
	TimeToFirstToken time.Duration
	// MaxGap is the longest time between two tokens.
	MaxTokenGap time.Duration
	Digest      contract.Digest
	// Detail says what was wrong.
	Detail string
}

// Tally adds up results. It is safe for concurrent use.
type Tally struct {
	began   time.Time
	mu      sync.Mutex
	classes map[Class]int
	details []string
	digests map[contract.Digest]int
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		began:   time.Now(),
		classes: map[Class]int{},
		digests: map[contract.Digest]int{},
	}
}

// Add counts r.
func (t *Tally) Add(r Result) {
	const keptDetails = 20
	t.mu.Lock()
	defer t.mu.Unlock()
	t.classes[r.Class]++
	switch r.Class {
	case Complete:
		t.digests[r.Digest]++
	default:
		if len(t.details) < keptDetails && r.Detail != "" {
			at := time.Since(t.began).Round(time.Millisecond)
			t.details = append(t.details, fmt.Sprintf("after %v %s: %s", at, r.Class, r.Detail))
		}
	}
}

// Count returns how many results had a class.
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

// Digests returns how many whole answers came from each version.
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

// Details returns what went wrong, for the first few calls that were not whole.
func (t *Tally) Details() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.details...)
}
