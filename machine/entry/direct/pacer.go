package direct

import (
	"sync"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// pacer tells when something is due for each machine again.
type pacer struct {
	pause time.Duration

	mu   sync.Mutex
	last map[contract.MachineID]time.Time
}

func newPacer(pause time.Duration) *pacer {
	return &pacer{pause: pause, last: map[contract.MachineID]time.Time{}}
}

// due reports whether the pause of a machine is over, and then begins the next.
func (p *pacer) due(id contract.MachineID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last[id]) < p.pause {
		return false
	}
	p.last[id] = now
	return true
}
