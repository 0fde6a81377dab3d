package peers

import (
	"context"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/platform"
)

const (
	// removalInterval is the interval at which an entry looks for entries that have left.
	removalInterval = 5 * time.Second
	// removalAge is for how long an entry must not have been heard of until its member record is removed. Only
	// the cost of the list depends on it, so it is far longer than restarts, pauses and cuts, after which a process
	// whose record was removed would have to be listed again first.
	removalAge = 3 * time.Minute
	// maxRemovalAge bounds how the age grows for an entry whose record comes back.
	maxRemovalAge = time.Hour
)

// leftEntry is what an entry knows of another one of its zone that it does not hear of.
type leftEntry struct {
	// position is that of the entry's member record, and silentSince when the entry was last heard of, by the
	// boot clock; zero while it is.
	position    int64
	silentSince time.Time
	// removals is how often this process has removed the record of this run.
	fingerprint link.Fingerprint
	removals    int
}

// removal decides which member records are to be removed: those of entries that no entry has heard of for
// removalAge. It is used by one goroutine.
type removal struct {
	lookedAt time.Time
	entries  map[contract.MachineID]*leftEntry
}

// zoneEntry is another entry of this process's zone. It is heard of if it is linked, or has reported itself over others:
// one link that fails between two that run is no evidence.
type zoneEntry struct {
	member    Member
	position  int64
	isHeardOf bool
}

// due returns the entries whose records are to be removed now. canJudge is false while this process may not hear
// of others. Time in which it could not judge, or stood still, is no evidence.
func (r *removal) due(now time.Time, entries []zoneEntry, canJudge bool) []zoneEntry {
	hasPaused := now.Sub(r.lookedAt) > 2*removalInterval
	r.lookedAt = now
	known := map[contract.MachineID]*leftEntry{}
	var due []zoneEntry
	for _, e := range entries {
		left := r.entries[e.member.Machine]
		if left == nil || left.fingerprint != e.member.Fingerprint {
			left = &leftEntry{fingerprint: e.member.Fingerprint}
		}
		known[e.member.Machine] = left
		switch {
		case !canJudge || e.isHeardOf:
			left.silentSince = time.Time{}
		case hasPaused || left.silentSince.IsZero() || left.position != e.position:
			left.silentSince = now
		case now.Sub(left.silentSince) >= removalAgeAfter(left.removals):
			due = append(due, e)
		}
		left.position = e.position
	}
	for id, left := range r.entries {
		if known[id] == nil && left.removals > 0 && now.Sub(left.silentSince) < maxRemovalAge {
			known[id] = left
		}
	}
	r.entries = known
	return due
}

// removed notes that the record of an entry was removed.
func (r *removal) removed(id contract.MachineID) { r.entries[id].removals++ }

// removalAgeAfter returns for how long an entry must not have been heard of whose record this process has removed
// before: it runs without a link, and writes its record again each time.
func removalAgeAfter(removals int) time.Duration {
	age := removalAge
	for ; removals > 0 && age < maxRemovalAge; removals-- {
		age *= 2
	}
	return min(age, maxRemovalAge)
}

// removeLeft removes the member records of entries of this process's zone that have left, until ctx is done. The
// first entry of the zone does so. A process that runs nonetheless writes its record again (maintainMember).
func (p *Peers) removeLeft(ctx context.Context) {
	if p.opts.Self.Role != link.RoleEntry {
		return
	}
	var r removal
	for ctx.Err() == nil {
		sleep(ctx, removalInterval)
		p.removeDue(ctx, &r, p.sightings.bootClock())
	}
}

// removeDue removes the records that are due at a time of the boot clock.
func (p *Peers) removeDue(ctx context.Context, r *removal, now time.Time) {
	for _, e := range r.due(now, p.otherZoneEntries(), p.HasLinkedEntry() && p.memberFeed.IsStoreUp()) {
		if p.RankInZone() == 0 && ctx.Err() == nil && p.removeRecord(ctx, e) {
			r.removed(e.member.Machine)
		}
	}
}

// otherZoneEntries returns the other entries of this process's zone.
func (p *Peers) otherZoneEntries() []zoneEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []zoneEntry
	for _, m := range p.zoneEntries[p.opts.Self.Zone] {
		if m.Machine == p.opts.Self.Machine {
			continue
		}
		if record, ok := p.memberFeed.Newest(string(m.Machine)); ok {
			isHeardOf := p.isLinked(m.Machine) || p.sightings.isRecent(m, p.listedAt[m.Machine])
			list = append(list, zoneEntry{member: m, position: record.Offset, isHeardOf: isHeardOf})
		}
	}
	return list
}

// removeRecord writes a tombstone for an entry's member record, unless it has changed. It reports whether the store
// has acknowledged it.
func (p *Peers) removeRecord(ctx context.Context, e zoneEntry) bool {
	id := string(e.member.Machine)
	if newest, ok := p.memberFeed.Newest(id); !ok || newest.Offset != e.position {
		return false
	}
	logger := p.opts.Log.WithField("peer", id).WithField("fingerprint", e.member.Fingerprint.Short())
	position, err := p.opts.Store.Put(ctx, platform.TopicMembers, id, nil)
	if err != nil {
		logger.WithError(err).Warn("member record not removed")
		return false
	}
	p.removedCount.Add(1)
	logger.WithField("position", position).Info("member record removed: not heard of")
	return true
}

// RemovedCount returns how many member records of other entries this process has removed.
func (p *Peers) RemovedCount() int64 { return p.removedCount.Load() }
