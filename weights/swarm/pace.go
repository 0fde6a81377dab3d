package swarm

import "time"

const (
	// endgameFactor is how many usual chunk times make a chunk late at the end.
	endgameFactor = 2
	// endgameSources bounds the sources that are asked for one chunk at once.
	endgameSources = 4
	// stallFactor is how many usual chunk times make a request stalled.
	stallFactor = 6
	// controlBurstSeconds is how many seconds of the control bound may be sent at once.
	controlBurstSeconds = 4
)

// pace holds by class the smoothed time of a request, and how often in a row
// requests stalled.
type pace struct {
	usual  [classes]time.Duration
	stalls [classes]int
}

func (p *pace) observe(c class, took time.Duration) {
	const smoothing = 4
	if p.usual[c] == 0 {
		p.usual[c] = took
	}
	p.usual[c] += (took - p.usual[c]) / smoothing
	p.stalls[c] = 0
}

// stalled doubles the patience, up to a bound: a link may be slower than any
// chunk that arrived so far.
func (p *pace) stalled(c class) {
	const most = 5
	p.stalls[c] = min(p.stalls[c]+1, most)
}

// usual returns how long a request of a class takes, at least a small time.
func (s *Swarm) usual(v *version, c class) time.Duration {
	const least = 20 * time.Millisecond
	return max(v.pace.usual[c], least)
}

// patience is how long a request may be outstanding.
func (s *Swarm) patience(v *version, c class) time.Duration {
	if !s.on(mechStall) {
		return never / 2
	}
	return max(s.cfg.StallTimeout, stallFactor*s.usual(v, c)) << v.pace.stalls[c]
}

// bucket is a token bucket over bytes. A rate of 0 means no bound. The level may
// go below 0, so that one message larger than the burst still passes.
type bucket struct {
	rate, burst int
	level       float64
	at          time.Duration
}

func (b *bucket) refill(now time.Duration) {
	b.level = min(b.level+float64(b.rate)*(now-b.at).Seconds(), float64(b.burst))
	b.at = now
}

// take spends n bytes if the level is above 0.
func (b *bucket) take(now time.Duration, n int) bool {
	if b.rate == 0 {
		return true
	}
	b.refill(now)
	if b.level <= 0 {
		return false
	}
	b.level -= float64(n)
	return true
}

// readyAt is when take can succeed again; never if it can now.
func (b *bucket) readyAt(now time.Duration) time.Duration {
	if b.rate == 0 {
		return never
	}
	b.refill(now)
	if b.level > 0 {
		return never
	}
	wait := time.Duration((1 - b.level) / float64(b.rate) * float64(time.Second))
	return now + wait + time.Millisecond
}

func (s *Swarm) setBudget(e Budget) {
	if !s.on(mechBudget) {
		return
	}
	s.budget = e
	s.allowance.refill(s.now)
	s.allowance.rate, s.allowance.burst = e.Download, e.Download
	s.emit(SetRates{Upload: e.Upload, Region: e.Region})
}

// takeAllowance spends the download budget.
func (s *Swarm) takeAllowance(n int) bool {
	return s.allowance.take(s.now, n)
}
