package ledger

// maxExpired bounds the keys that are remembered as expired.
const maxExpired = 10_000

// expire forgets what the window has passed.
func (l *Ledger) expire() {
	limit := l.clock.Add(-l.config.Window)
	for len(l.byAge) > 0 && l.byAge[0].at.Before(limit) {
		l.expireKey(l.byAge[0])
		l.byAge = l.byAge[1:]
	}
	limit = limit.Add(-l.config.Window)
	for len(l.expiredByAge) > 0 && l.expiredByAge[0].at.Before(limit) {
		l.forgetOldest()
	}
	l.expireWriters()
}

// forgetOldest drops the oldest of the expired keys.
func (l *Ledger) forgetOldest() {
	old := l.expiredByAge[0]
	if at, ok := l.expired[old.key]; ok && at.Equal(old.at) {
		delete(l.expired, old.key)
	}
	l.expiredByAge = l.expiredByAge[1:]
}

// expireKey moves a key to the expired ones, unless someone claimed it since.
func (l *Ledger) expireKey(c claimed) {
	h := l.keys[c.key]
	if h == nil || h.last != c.offset {
		return
	}
	l.dropBody(h)
	delete(l.keys, c.key)
	l.expired[c.key] = c.at
	l.expiredByAge = append(l.expiredByAge, c)
	if len(l.expiredByAge) > maxExpired {
		l.forgetOldest()
	}
	l.stats.Expired++
}

// expireWriters forgets process runs that have been silent for a window.
func (l *Ledger) expireWriters() {
	const checkEvery = 256
	if l.applied%checkEvery != 0 {
		return
	}
	limit := l.clock.Add(-l.config.Window)
	for name, w := range l.writers {
		if w.at.Before(limit) {
			delete(l.writers, name)
		}
	}
}

// keepBody counts a result's body and drops the oldest ones over the bound.
func (l *Ledger) keepBody(key Key, h *Holder) {
	if len(h.Result.Body) == 0 {
		return
	}
	l.resultBytes += len(h.Result.Body)
	l.bodies = append(l.bodies, claimed{key: key, offset: h.Offset})
	for l.resultBytes > l.config.MaxResultBytes && len(l.bodies) > 0 {
		oldest := l.keys[l.bodies[0].key]
		if oldest != nil && oldest.Offset == l.bodies[0].offset && l.dropBody(oldest) {
			l.stats.BodiesDropped++
		}
		l.bodies = l.bodies[1:]
	}
}

// dropBody leaves out a result's body; the rest of the result stays.
func (l *Ledger) dropBody(h *Holder) bool {
	if h.Result == nil || len(h.Result.Body) == 0 {
		return false
	}
	l.resultBytes -= len(h.Result.Body)
	kept := *h.Result
	kept.Body = nil
	kept.BodyOmitted = true
	h.Result = &kept
	return true
}
