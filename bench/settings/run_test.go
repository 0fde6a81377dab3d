package settings

import (
	"os"
	"testing"
)

// BenchmarkAll prints all tables: go test -run '^$' -bench All ./bench/settings.
func BenchmarkAll(b *testing.B) {
	for range b.N {
		if err := Run(os.Stdout, 1); err != nil {
			b.Fatal(err)
		}
	}
}

// TestSpreadReachesAll checks the smallest sizes against the bound of 8 s in
// virtual time.
func TestSpreadReachesAll(t *testing.T) {
	const bound = 8e9
	for _, s := range sizes[:2] {
		r, err := measureSpread(1, s, false)
		if err != nil || r.max > bound {
			t.Errorf("%d processes: %s, %v", r.processes, r.max, err)
		}
	}
}
