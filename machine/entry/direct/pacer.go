package direct

import (
	"sync"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// pacer limits how often something is done for each machine.
type pacer struct {
	interval time.Duration

	mu   sync.Mutex
	last map[contract.MachineID]time.Time
}

func newPacer(interval time.Duration) *pacer {
	return &pacer{interval: interval, last: map[contract.MachineID]time.Time{}}
}

// due reports whether the interval of a machine is over, and if so begins the next one.
func (p *pacer) due(id contract.MachineID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last[id]) < p.interval {
		return false
	}
	p.last[id] = now
	return true
}
