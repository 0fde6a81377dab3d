package placement

import "time"

// sendLogWindow is the longest span in which the requests to a target are counted.
const sendLogWindow = maxQueryInterval

// sendLog holds the times of the attempts sent to a target within sendLogWindow, in order,
// and that of the last one.
type sendLog struct {
	times []time.Time
	last  time.Time
}

// add records an attempt and drops those that are older than sendLogWindow.
func (l *sendLog) add(now time.Time) {
	for len(l.times) > 0 && now.Sub(l.times[0]) > sendLogWindow {
		l.times = l.times[1:]
	}
	l.times, l.last = append(l.times, now), now
}

// countAfter counts the attempts sent after t.
func (l *sendLog) countAfter(t time.Time) int {
	n := 0
	for i := len(l.times) - 1; i >= 0 && l.times[i].After(t); i-- {
		n++
	}
	return n
}

// wait returns the time until a further attempt is within the share; 0 if it is now. A share
// of no requests counts as used for one window.
func (l *sendLog) wait(now time.Time, share sendShare) time.Duration {
	if share.requests <= 0 {
		return share.window
	}
	if share.requests > len(l.times) {
		return 0
	}
	age := now.Sub(l.times[len(l.times)-share.requests])
	if age > share.window {
		return 0
	}
	return share.window - age + time.Nanosecond
}
