// Package periodic calls a function at an interval.
package periodic

import (
	"context"
	"time"
)

// Run calls f every interval until ctx ends. The first call comes after one interval. Calls
// never overlap: one that takes longer than the interval delays the next.
func Run(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f()
	}
}
