package retry

import (
	"math/rand/v2"
	"time"
)

// Bounds of what After returns.
const (
	MinDelay = time.Second
	MaxDelay = time.Minute
)

// After returns when a caller should come back, given the time until room is
// expected. The result is spread over 0.5 to 1.5 times the estimate, so that
// callers refused together do not return together.
func JitteredDelay(estimate time.Duration, rng *rand.Rand) time.Duration {
	bounded := min(max(estimate, MinDelay), MaxDelay)
	spread := 0.5 + rng.Float64()
	return min(max(time.Duration(float64(bounded)*spread), MinDelay), MaxDelay)
}
