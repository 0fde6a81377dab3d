package ledger

// maxExpired bounds the number of keys remembered as expired.
const maxExpired = 10_000

// removeExpired expires the keys that are older than the window. It also drops expired
// keys from memory after another window, and writers that have been inactive for a
// window.
func (l *Ledger) removeExpired() {
	limit := l.clock.Add(-l.config.Window)
	for len(l.claimsByAge) > 0 && l.claimsByAge[0].logTime.Before(limit) {
		l.expireKey(l.claimsByAge[0])
		l.claimsByAge = l.claimsByAge[1:]
	}
	limit = limit.Add(-l.config.Window)
	for len(l.expiredByAge) > 0 && l.expiredByAge[0].logTime.Before(limit) {
		l.removeOldestExpired()
	}
	l.expireWriters()
}

// removeOldestExpired removes the oldest entry from the memory of expired keys.
func (l *Ledger) removeOldestExpired() {
	oldest := l.expiredByAge[0]
	if at, ok := l.expiredKeys[oldest.key]; ok && at.Equal(oldest.logTime) {
		delete(l.expiredKeys, oldest.key)
	}
	l.expiredByAge = l.expiredByAge[1:]
}

// expireKey moves a key to the expired keys, unless it was claimed again since the entry
// was queued.
func (l *Ledger) expireKey(entry ageEntry) {
	h := l.keys[entry.key]
	if h == nil || h.lastClaim != entry.offset {
		return
	}
	l.dropBody(h)
	delete(l.keys, entry.key)
	l.expiredKeys[entry.key] = entry.logTime
	l.expiredByAge = append(l.expiredByAge, entry)
	if len(l.expiredByAge) > maxExpired {
		l.removeOldestExpired()
	}
	l.stats.Expired++
}

// expireWriters removes the writers that have been inactive for a window.
func (l *Ledger) expireWriters() {
	const checkEvery = 256
	if l.applied%checkEvery != 0 {
		return
	}
	limit := l.clock.Add(-l.config.Window)
	for name, w := range l.writers {
		if w.lastSeen.Before(limit) {
			delete(l.writers, name)
		}
	}
}

// retainBody adds a result's body to the retained bodies and drops the oldest bodies
// while their total size is above the bound.
func (l *Ledger) retainBody(key Key, h *Holder) {
	if len(h.Result.Body) == 0 {
		return
	}
	l.resultBytes += len(h.Result.Body)
	l.bodiesByAge = append(l.bodiesByAge, ageEntry{key: key, offset: h.Offset})
	for l.resultBytes > l.config.MaxResultBytes && len(l.bodiesByAge) > 0 {
		oldest := l.keys[l.bodiesByAge[0].key]
		if oldest != nil && oldest.Offset == l.bodiesByAge[0].offset && l.dropBody(oldest) {
			l.stats.BodiesDropped++
		}
		l.bodiesByAge = l.bodiesByAge[1:]
	}
}

// dropBody removes a result's body and retains the rest of the result.
func (l *Ledger) dropBody(h *Holder) bool {
	if h.Result == nil || len(h.Result.Body) == 0 {
		return false
	}
	l.resultBytes -= len(h.Result.Body)
	withoutBody := *h.Result
	withoutBody.Body = nil
	withoutBody.BodyOmitted = true
	h.Result = &withoutBody
	return true
}
