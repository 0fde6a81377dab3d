package follow

import (
	"testing"

	"mimosastand.example/mimosastand/settings/follow/spread/sim"
)

// TestObserveForgets checks that an offset is handed on once: one that the log
// refutes must not come back with the next heartbeat of another peer.
func TestObserveForgets(t *testing.T) {
	f := New(Options{Log: sim.NewLog(nil)})
	f.Observe(1 << 40)
	f.listen()
	f.Observe(3)
	if got := f.heard.Load(); got != 3 {
		t.Fatalf("heard %d, want 3", got)
	}
}
