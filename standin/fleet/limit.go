package fleet

import (
	"slices"
	"time"
)

const (
	// LimitNotice is how long entries may take to follow a limit that a target names, and
	// LimitWindow the span in which the platform counts its requests.
	LimitNotice = 3 * time.Second
	LimitWindow = 4 * time.Second
)

// Arrival is a request that reached the engine, whether or not it ran.
type Arrival struct {
	AttemptID string
	At        time.Time
	// Parts are the IDs of the parts of its prompt, in order.
	Parts []string
	// Key is what RequestKey returns of the request.
	Key string
}

// HasPart reports whether the prompt has a part.
func (a Arrival) HasPart(id string) bool { return slices.Contains(a.Parts, id) }

// SetRateLimit sets the limit that answers name, in requests a second; empty for none.
func (e *Engine) SetRateLimit(perSecond string) { e.withLock(func() { e.rateLimit = perSecond }) }

// AddArrival records a request that reached the engine.
func (e *Engine) AddArrival(a Arrival) { e.withLock(func() { e.arrivals = append(e.arrivals, a) }) }

// Arrivals lists all requests that reached the engine, in order of arrival.
func (e *Engine) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrivals)
}

// AllowedArrivals returns how many requests a target may get within LimitWindow, by the rules
// of the platform, if it limits all entries together to so many a second.
func AllowedArrivals(perSecond float64) int { return int(1.5*perSecond*LimitWindow.Seconds()) + 5 }

// MostArrivals returns the greatest number of requests that arrived within LimitWindow. The
// arrivals are in order.
func MostArrivals(arrivals []Arrival) int {
	most, first := 0, 0
	for i, a := range arrivals {
		for a.At.Sub(arrivals[first].At) > LimitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// ArrivalsSince returns the arrivals from a time on.
func ArrivalsSince(arrivals []Arrival, from time.Time) []Arrival {
	first, _ := slices.BinarySearchFunc(arrivals, from, func(a Arrival, t time.Time) int { return a.At.Compare(t) })
	return arrivals[first:]
}
