// Package periodic calls a function at an interval.
package periodic

import (
	"context"
	"time"
)

// Run calls f every interval until ctx ends. A call that takes longer delays the
// next one; calls never overlap.
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
