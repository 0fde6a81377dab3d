package peers

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/boottime"
)

const (
	// sightingInterval is the interval at which an entry reports itself. Each report crosses each link of the
	// zone once, with about 12 bytes.
	sightingInterval = time.Second
	// sightingTimeout is how long after its last report an entry that is not linked to this process counts
	// as running. In a zone of 30 a report passes three links at most, whose heartbeats are up to 750 ms
	// apart, and the next one is due after sightingInterval.
	sightingTimeout = 5 * time.Second
)

// sighting is the newest report of a run of an entry.
type sighting struct {
	number uint32
	// at is when the entry reported itself, and learnedAt when this process learned of it, from the
	// machine source. Both are times of the boot clock.
	at, learnedAt time.Time
	source        contract.MachineID
}

// sightings holds which entries of the zone have recently reported themselves. They stay within the zone: with those of
// all entries, heartbeats would fill the links between regions in large fleets. Only a new report of the entry itself
// renews a sighting, so those that pass on old ones don't keep a machine that has left among those that
// run. It is safe for concurrent use.
type sightings struct {
	// bootClock goes on while the machine is suspended: what was heard before is old afterwards.
	bootClock func() time.Time

	mu        sync.Mutex
	startedAt time.Time
	reports   map[uint32]sighting
	// sentAt is when reports were last sent to each peer.
	sentAt map[contract.MachineID]time.Time
	// prunedAt is when old reports were last removed.
	prunedAt time.Time
}

func newSightings() *sightings { return newSightingsWithClock(boottime.Time) }

func newSightingsWithClock(bootClock func() time.Time) *sightings {
	return &sightings{bootClock: bootClock, startedAt: bootClock(), reports: map[uint32]sighting{}, sentAt: map[contract.MachineID]time.Time{}}
}

// sightingHash identifies a run of a member in sightings.
func sightingHash(m Member) uint32 {
	return uint32(xxhash.Sum64String(string(m.Machine) + "/" + string(m.Fingerprint)))
}

// reportTo returns what a heartbeat to a peer is to tell: that self runs, and the reports that were learned of since the
// last heartbeat to it.
func (s *sightings) reportTo(peer contract.MachineID, self Member) []contract.EntrySighting {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.bootClock()
	s.prune(now)
	own := sightingHash(self)
	var list []contract.EntrySighting
	since, ok := s.sentAt[peer]
	if !ok || s.ownNumber(now) > s.ownNumber(since) {
		list = append(list, contract.EntrySighting{Entry: own, Number: s.ownNumber(now)})
	}
	for entry, r := range s.reports {
		if age := now.Sub(r.at); entry != own && r.source != peer && !r.learnedAt.Before(since) && age < sightingTimeout {
			list = append(list, contract.EntrySighting{Entry: entry, Number: r.number, AgeMS: uint32(age.Milliseconds())})
		}
	}
	s.sentAt[peer] = now
	return list
}

// ownNumber returns the number of this process's report at a time.
func (s *sightings) ownNumber(at time.Time) uint32 {
	return uint32(at.Sub(s.startedAt)/sightingInterval) + 1
}

// prune removes reports that are too old to be of use. s.mu must be held.
func (s *sightings) prune(now time.Time) {
	if now.Sub(s.prunedAt) < sightingTimeout {
		return
	}
	s.prunedAt = now
	for entry, r := range s.reports {
		if now.Sub(r.at) >= sightingTimeout {
			delete(s.reports, entry)
		}
	}
}

// observe applies the reports in a heartbeat of a peer.
func (s *sightings) observe(peer contract.MachineID, list []contract.EntrySighting) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.bootClock()
	for _, r := range list {
		at := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
		if known, ok := s.reports[r.Entry]; ok && known.number >= r.Number || now.Sub(at) >= sightingTimeout {
			continue
		}
		s.reports[r.Entry] = sighting{number: r.Number, at: at, learnedAt: now, source: peer}
	}
}

// forgetPeer has the next heartbeat to a peer tell all reports: its link is new.
func (s *sightings) forgetPeer(peer contract.MachineID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sentAt, peer)
}

// isRecent reports whether a run of an entry has reported itself recently, or was listed so recently that its
// first report may be on its way.
func (s *sightings) isRecent(m Member, listedAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.bootClock()
	return now.Sub(s.reports[sightingHash(m)].at) < sightingTimeout || now.Sub(listedAt) < sightingTimeout
}
