package retry

import (
	"math/rand/v2"
	"time"
)

// MinDelay and MaxDelay bound what JitteredDelay returns.
const (
	MinDelay = time.Second
	MaxDelay = time.Minute
)

// JitteredDelay returns after how long a refused caller should retry, given the estimated
// time until a target has capacity again. The result is spread over 0.5 to 1.5 times the
// estimate, within the bounds, so that callers refused together do not return together.
func JitteredDelay(estimate time.Duration, rng *rand.Rand) time.Duration {
	bounded := min(max(estimate, MinDelay), MaxDelay)
	spread := 0.5 + rng.Float64()
	return min(max(time.Duration(float64(bounded)*spread), MinDelay), MaxDelay)
}
