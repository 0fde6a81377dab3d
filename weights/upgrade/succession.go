package upgrade

import "time"

const (
	// quickTime is how long the missing pieces of a version may take for it to be finished before a
	// newer one. At most 1/maxOpenShare of it may be missing, whatever the rate promises, and
	// 1/quickShare while the rate is unknown.
	quickTime    = 1500 * time.Millisecond
	maxOpenShare = 2
	quickShare   = 4
	// shortTime is how long the missing pieces of a version may take for it to be finished first even
	// after its bound, or if the newer one then is late: a version of which so little is missing
	// must not be lost.
	shortTime = 500 * time.Millisecond
	// deliveryTime is about how long the last pieces take from the first entry to the engines.
	deliveryTime = 500 * time.Millisecond
	// maxYield is how long the newer version waits for the older one at most, until it has gone on for
	// yieldPause.
	maxYield   = 2 * time.Second
	yieldPause = 2 * time.Second
	// yieldStall is how long the older version may bring no piece while the newer one waits for it.
	yieldStall = 500 * time.Millisecond
	// newerStall is how long the newer version may bring no piece while the older one waits for it:
	// then the origin, the store or the way to them may be gone, and the older one is better than none.
	newerStall = 1500 * time.Millisecond
	// engineLoadTime is about how long an engine takes from the order until it serves the version.
	engineLoadTime = 1100 * time.Millisecond
	// turnSpread is the least time over which the engines of a zone are to take turns with a version
	// for which an older one is skipped: otherwise all of them load at once.
	turnSpread = 2 * time.Second
	// rateWindow is the time over which the rate of a transfer is averaged.
	rateWindow = 500 * time.Millisecond
)

// VersionProgress is how far a process has got with one version.
type VersionProgress struct {
	// End is when the bound of the version ends.
	End time.Time
	// Missing of Total pieces are missing. Total is 0 while the digests are unknown.
	Missing, Total int
	// Stalled is for how long no piece has arrived.
	Stalled time.Duration
	// Rate is the rate of late, PeakRate the highest one, in pieces per second; 0 if unknown.
	Rate, PeakRate float64
	// Yielded is for how long the version has waited for older ones lately.
	Yielded time.Duration
}

func (p VersionProgress) isComplete() bool { return p.Total > 0 && p.Missing == 0 }

// timeLeft returns how long the missing pieces take at a rate in pieces per second; 0 if that is 0.
func (p VersionProgress) timeLeft(rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(p.Missing) / rate * float64(time.Second))
}

// Precedence is which of two versions is transferred.
type Precedence uint8

const (
	// BothAtOnce means that neither waits for the other.
	BothAtOnce Precedence = iota
	// OlderFirst means that the newer version waits, NewerFirst that the older one does.
	OlderFirst
	NewerFirst
	// OlderSuperseded means that the newer version is complete, and the older one is not needed.
	OlderSuperseded
)

// Precede decides which of two versions goes first on the links that they share. The older one does
// only if it will be complete soon, and within its bound, and the newer one is not late for that, or by
// shortTime at most.
// Otherwise it waits, until the newer one is complete or brings no piece.
func Precede(now time.Time, older, newer VersionProgress) Precedence {
	switch {
	case older.isComplete():
		return BothAtOnce
	case newer.isComplete():
		return OlderSuperseded
	case newer.Yielded < maxYield && older.isQuick(now, newer):
		if older.Stalled < yieldStall {
			return OlderFirst
		}
		return BothAtOnce
	case newer.Stalled >= newerStall:
		return BothAtOnce
	default:
		return NewerFirst
	}
}

// isQuick reports whether the version is to be finished before a newer one.
func (p VersionProgress) isQuick(now time.Time, newer VersionProgress) bool {
	share := maxOpenShare
	if p.PeakRate <= 0 {
		share = quickShare
	}
	if p.Total == 0 || p.Missing > p.Total/share {
		return false
	}
	left := p.timeLeft(p.PeakRate)
	if left <= shortTime {
		// The version is allowed until the bound of the newer one ends.
		return now.Add(left + engineLoadTime).Before(newer.End)
	}
	// Both take the same links, so the rate of one is about that of the other.
	newerAt := now.Add(left + newer.timeLeft(max(p.PeakRate, newer.PeakRate)) + deliveryTime)
	return left <= quickTime && now.Add(left).Before(p.End) && newerAt.Before(newer.End)
}

// SkipState is the state on which a target bases the decision not to load a version that is staged,
// because a newer one is about to arrive.
type SkipState struct {
	Now time.Time
	// AllowedUntil is when the bound of the loaded version ends; zero if none is loaded.
	AllowedUntil time.Time
	// SkippedSince is since when the staged version has been skipped; zero if it has not been.
	SkippedSince time.Time
	// Newer is the version that is arriving.
	Newer VersionProgress
}

// WaitsForNewer reports whether to wait for the newer version, so that the engine loads once. An engine
// that serves waits if the newer version arrives early enough for the turns of its zone. One that
// serves nothing waits only if the newer version arrives before the staged one would be loaded, and
// no longer than that load takes, whatever the rate promises.
func (s SkipState) WaitsForNewer() bool {
	if s.Newer.Total == 0 || s.Newer.Rate <= 0 || s.Newer.Stalled >= yieldStall {
		return false
	}
	arrival := s.Now.Add(s.Newer.timeLeft(s.Newer.Rate))
	if arrival.Add(turnSpread + lastTurnMargin).Before(s.AllowedUntil) {
		return true
	}
	hasWaited := !s.SkippedSince.IsZero() && s.Now.Sub(s.SkippedSince) >= engineLoadTime
	return !s.Now.Before(s.AllowedUntil) && !hasWaited && arrival.Before(s.Now.Add(engineLoadTime))
}

// ProgressMeter measures the rate at which the pieces of a version arrive.
type ProgressMeter struct {
	count          int
	observedAt     time.Time
	changedAt      time.Time
	rate, peakRate float64
}

// Observe records that count pieces are held. It is to be called several times in rateWindow.
func (m *ProgressMeter) Observe(now time.Time, count int) {
	if m.observedAt.IsZero() {
		m.count, m.observedAt, m.changedAt = count, now, now
		return
	}
	passed := now.Sub(m.observedAt)
	if passed <= 0 {
		return
	}
	current := float64(max(count-m.count, 0)) / passed.Seconds()
	m.rate += (current - m.rate) * min(passed.Seconds()/rateWindow.Seconds(), 1)
	m.peakRate = max(m.peakRate, m.rate)
	if count != m.count {
		m.count, m.changedAt = count, now
	}
	m.observedAt = now
}

// Progress returns the progress of a version of total pieces whose bound ends at end.
func (m *ProgressMeter) Progress(now time.Time, total int, end time.Time) VersionProgress {
	return VersionProgress{
		End: end, Missing: max(total-m.count, 0), Total: total,
		Stalled: now.Sub(m.changedAt), Rate: m.rate, PeakRate: m.peakRate,
	}
}

// YieldClock measures for how long a version has waited for older ones lately.
type YieldClock struct {
	since, endedAt time.Time
	total          time.Duration
}

// Set records whether the version waits for an older one.
func (y *YieldClock) Set(now time.Time, yields bool) {
	switch {
	case yields && y.since.IsZero():
		y.total, y.since = y.Total(now), now
	case !yields && !y.since.IsZero():
		y.total, y.since, y.endedAt = y.Total(now), time.Time{}, now
	}
}

// Total returns for how long the version has waited. It starts anew after yieldPause.
func (y *YieldClock) Total(now time.Time) time.Duration {
	switch {
	case !y.since.IsZero():
		return y.total + now.Sub(y.since)
	case now.Sub(y.endedAt) >= yieldPause:
		return 0
	default:
		return y.total
	}
}
