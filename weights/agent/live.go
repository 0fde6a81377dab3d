package agent

import (
	"sync/atomic"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/weights/swarm"
)

// meter tells live traffic from weights on the links to other processes.
type meter struct {
	// sent and received count the bytes of weights.
	sent, received atomic.Uint64

	at       time.Duration
	lastUp   uint64
	lastDown uint64
	up, down float64
	budget   swarm.Budget
}

// minMeasure is the shortest time over which traffic is measured.
const minMeasure = 500 * time.Millisecond

// measure returns the smoothed rates of live traffic in bytes a second; ok is
// false while there is nothing to measure.
func (m *meter) measure(now time.Duration, sent, received uint64) (up, down int, ok bool) {
	took := now - m.at
	if took < minMeasure {
		return 0, 0, false
	}
	liveUp := sent - min(sent, m.sent.Load())
	liveDown := received - min(received, m.received.Load())
	const smoothing = 0.5
	m.up += (rate(m.lastUp, liveUp, took) - m.up) * smoothing
	m.down += (rate(m.lastDown, liveDown, took) - m.down) * smoothing
	m.at, m.lastUp, m.lastDown = now, liveUp, liveDown
	return int(m.up), int(m.down), true
}

func rate(former, latest uint64, took time.Duration) float64 {
	return float64(latest-min(latest, former)) / took.Seconds()
}

// giveWay tells the swarm what live traffic leaves of the links.
func (a *Agent) giveWay() {
	if a.opts.Traffic == nil || a.opts.Links == (swarm.Links{}) {
		return
	}
	sent, received := a.opts.Traffic()
	up, down, ok := a.meter.measure(a.now(), sent, received)
	if !ok {
		return
	}
	budget := swarm.BudgetFor(a.opts.Links, swarm.Live{Up: up, Down: down}, a.senders())
	if budget != a.meter.budget {
		a.meter.budget = budget
		a.stepSwarm(budget)
	}
}

// senders is how many targets of the region send over one link to another one.
func (a *Agent) senders() int {
	regions := map[contract.RegionName]bool{a.opts.Region: true}
	targets := 1
	for _, p := range a.peers {
		regions[p.Region] = true
		if p.Region == a.opts.Region {
			targets++
		}
	}
	return swarm.Senders(swarm.DefaultSlots, targets, len(regions))
}
