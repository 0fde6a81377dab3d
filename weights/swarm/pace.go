package swarm

import "time"

const (
	// endgameFactor is the number of typical request times after which a chunk counts as
	// late in the endgame.
	endgameFactor = 2
	// endgameSources limits the sources from which one chunk is requested at once.
	endgameSources = 4
	// stallFactor is the number of typical request times after which a request counts as
	// stalled.
	stallFactor = 6
	// controlBurstSeconds is the burst of Have messages, in seconds of the control limit.
	controlBurstSeconds = 4
)

// latency holds, for each class, the smoothed time that a request takes and the number of
// consecutive stalls.
type latency struct {
	mean   [classCount]time.Duration
	stalls [classCount]int
}

func (l *latency) observe(c class, took time.Duration) {
	const smoothing = 4
	if l.mean[c] == 0 {
		l.mean[c] = took
	}
	l.mean[c] += (took - l.mean[c]) / smoothing
	l.stalls[c] = 0
}

// recordStall doubles the request timeout of a class, up to a limit, because a link may be
// slower than for any chunk that arrived so far.
func (l *latency) recordStall(c class) {
	const maxDoublings = 5
	l.stalls[c] = min(l.stalls[c]+1, maxDoublings)
}

// typicalLatency returns the time that a request of a class typically takes, with a lower
// bound.
func (s *Swarm) typicalLatency(v *version, c class) time.Duration {
	const floor = 20 * time.Millisecond
	return max(v.latency.mean[c], floor)
}

// requestTimeout returns how long a request of a class may be outstanding.
func (s *Swarm) requestTimeout(v *version, c class) time.Duration {
	if !s.isEnabled(mechStall) {
		return never / 2
	}
	return max(s.cfg.StallTimeout, stallFactor*s.typicalLatency(v, c)) << v.latency.stalls[c]
}

// bucket is a token bucket over bytes. A rate of 0 means no limit. The level may go
// below 0, so that a message larger than the burst still passes.
type bucket struct {
	rate, burst int
	level       float64
	refilledAt  time.Duration
}

func (b *bucket) refill(now time.Duration) {
	b.level = min(b.level+float64(b.rate)*(now-b.refilledAt).Seconds(), float64(b.burst))
	b.refilledAt = now
}

// spend takes n bytes from the bucket if the level is above 0, and reports whether it did.
func (b *bucket) spend(now time.Duration, n int) bool {
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

// readyAt returns when spend can succeed again, or never if it can succeed now.
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

func (s *Swarm) handleBudget(e Budget) {
	if !s.isEnabled(mechBudget) {
		return
	}
	s.budget = e
	s.downloadAllowance.refill(s.now)
	s.downloadAllowance.rate, s.downloadAllowance.burst = e.Download, e.Download
	s.emit(SetRates{Upload: e.Upload, Region: e.Region})
}

// spendDownloadAllowance takes n bytes from the download budget and reports whether the
// budget allowed it.
func (s *Swarm) spendDownloadAllowance(n int) bool {
	return s.downloadAllowance.spend(s.now, n)
}
