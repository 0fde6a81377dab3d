package periodic

import (
	"context"
	"testing"
	"time"
)

func TestRunReturnsWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	Run(ctx, time.Millisecond, func() {
		calls++
		if calls == 3 {
			cancel()
		}
	})
	if calls != 3 {
		t.Errorf("Run() called the function %d times, want 3", calls)
	}
}
