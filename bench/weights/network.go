package weights

import "time"

// line carries segments one after the other at a fixed rate.
type line struct {
	clock *clock
	// rate is in bytes a second.
	rate    float64
	latency time.Duration
	free    time.Duration
	carried int64
}

func (l *line) sendTime(n int) time.Duration {
	return time.Duration(float64(n) / l.rate * float64(time.Second))
}

// admit queues n bytes and returns when they have reached the far end.
func (l *line) admit(n int) time.Duration {
	l.free = max(l.clock.now, l.free) + l.sendTime(n)
	l.carried += int64(n)
	return l.free + l.latency
}

// delay is how long a small message takes: it waits at most for one segment.
func (l *line) delay(segment int) time.Duration {
	wait := min(max(l.free-l.clock.now, 0), l.sendTime(segment))
	return l.latency + wait
}

// pacer spaces segments at a rate in bytes a second; 0 means no bound.
type pacer struct {
	rate int
	free time.Duration
}

func (p *pacer) next(now time.Duration, n int) time.Duration {
	if p == nil || p.rate <= 0 {
		return now
	}
	at := max(now, p.free)
	p.free = at + time.Duration(float64(n)/float64(p.rate)*float64(time.Second))
	return at
}

// transfer moves one chunk over a path of lines with a window of segments.
type transfer struct {
	clock   *clock
	path    []*line
	pace    *pacer
	segment int
	left    int
	flying  int
	ended   bool
	done    func(ok bool)
}

// windowBytes is how much of a transfer may be under way.
const windowBytes = 128 << 10

func (t *transfer) start() {
	for range windowBytes / t.segment {
		t.sendNext()
	}
}

func (t *transfer) sendNext() {
	n := min(t.segment, t.left)
	if n == 0 || t.ended {
		return
	}
	t.left -= n
	t.flying++
	at := t.pace.next(t.clock.now, n)
	if at <= t.clock.now {
		t.enter(0, n)
		return
	}
	t.clock.push(event{at: at, tr: t, hop: -1, n: n})
}

func (t *transfer) enter(hop, n int) {
	t.clock.push(event{at: t.path[hop].admit(n), tr: t, hop: hop, n: n})
}

// arrived handles a segment that left line hop, or the pacer if hop is -1.
func (t *transfer) arrived(hop, n int) {
	if t.ended {
		return
	}
	if hop+1 < len(t.path) {
		t.enter(hop+1, n)
		return
	}
	t.flying--
	t.sendNext()
	if t.left == 0 && t.flying == 0 {
		t.end(true)
	}
}

func (t *transfer) end(ok bool) {
	if t.ended {
		return
	}
	t.ended = true
	t.done(ok)
}
