package swarm

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Swarm is the state machine of one target. It is not safe for concurrent use.
type Swarm struct {
	cfg      Config
	rng      *rand.Rand
	disabled mechanism

	now      time.Duration
	peers    []*peer
	byName   map[contract.MachineID]*peer
	regions  []contract.RegionName
	versions []*version

	localUploads, remoteUploads uploads
	budget                      Budget
	downloadAllowance           bucket
	controlAllowance            bucket
	flushAt                     time.Duration
	// recountAt is when to recount the chunks held in the region, because a peer that was
	// avoided or banned may be used again.
	recountAt      time.Duration
	originRetryAt  time.Duration
	originFailures int
	effects        []Effect
}

// New returns a Swarm that takes its random numbers from rng.
func New(cfg Config, rng *rand.Rand) *Swarm {
	s := &Swarm{cfg: cfg.withDefaults(), rng: rng, byName: make(map[contract.MachineID]*peer), flushAt: never, recountAt: never}
	s.controlAllowance = bucket{rate: s.cfg.ControlBytes, burst: controlBurstSeconds * s.cfg.ControlBytes, level: float64(s.cfg.ControlBytes)}
	s.regions = []contract.RegionName{s.cfg.Self.Region}
	return s
}

// Step applies one event at the time now, which must not go backwards, and
// returns the effects. The slice is valid until the next call.
func (s *Swarm) Step(now time.Duration, ev Event) []Effect {
	s.now = max(s.now, now)
	s.effects = s.effects[:0]
	s.recountIfDue()
	s.handleEvent(ev)
	s.cancelStalled()
	s.recountIfDue()
	s.startRequests()
	s.flush()
	return s.effects
}

func (s *Swarm) handleEvent(ev Event) {
	switch e := ev.(type) {
	case PeersChanged:
		s.handlePeersChanged(e.Peers)
	case DesiredVersion:
		s.handleDesiredVersion(e)
	case Withdraw:
		s.handleWithdraw(e.Version)
	case HaveReceived:
		s.handleHaveReceived(e)
	case HaveFailed:
		s.handleHaveFailed(e)
	case RequestReceived:
		s.handleRequestReceived(e.Upload)
	case UploadEnded:
		s.handleUploadEnded(e.Upload)
	case ChunkVerified:
		s.handleChunkVerified(e.Download)
	case ChunkFailed:
		s.handleChunkFailed(e.Download, e.Cause)
	case Budget:
		s.handleBudget(e)
	case Tick:
	}
}

func (s *Swarm) emit(e Effect) {
	s.effects = append(s.effects, e)
}

func (s *Swarm) note(kind NoteKind, from contract.MachineID) {
	s.emit(Note{Kind: kind, Peer: from})
}

func (s *Swarm) isEnabled(m mechanism) bool {
	return s.disabled&m == 0
}

// jitter returns d times a random factor between 1 and 1.5.
func (s *Swarm) jitter(d time.Duration) time.Duration {
	return d + time.Duration(s.rng.Float64()*float64(d)/2)
}

func (s *Swarm) findVersion(d contract.Digest) *version {
	for _, v := range s.versions {
		if v.digest == d {
			return v
		}
	}
	return nil
}

func (s *Swarm) handleDesiredVersion(e DesiredVersion) {
	if v := s.findVersion(e.Version); v != nil {
		v.priority = e.Priority
		s.sortVersions()
		return
	}
	if e.Chunks <= 0 {
		return
	}
	v := newVersion(e, s.cfg.Slots, s.now)
	s.versions = append(s.versions, v)
	s.sortVersions()
	s.rebuildTopology(v)
}

func (s *Swarm) sortVersions() {
	slices.SortStableFunc(s.versions, func(a, b *version) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return cmp.Compare(a.digest, b.digest)
	})
}

func (s *Swarm) handleWithdraw(d contract.Digest) {
	if !s.isEnabled(mechWithdraw) {
		return
	}
	v := s.findVersion(d)
	if v == nil {
		return
	}
	s.cancelWhere(v, func(*inflightRequest) bool { return true })
	s.versions = slices.DeleteFunc(s.versions, func(o *version) bool { return o == v })
	for _, u := range []*uploads{&s.localUploads, &s.remoteUploads} {
		for _, up := range u.removeVersion(d) {
			s.emit(Refuse{Upload: up, Cause: FailureMissing})
		}
	}
}

// Held returns the number of chunks of a version that are held.
func (s *Swarm) Held(d contract.Digest) int {
	v := s.findVersion(d)
	if v == nil {
		return 0
	}
	return v.heldCount
}

// Next returns when to call Step with a Tick at the latest, or a time that is never reached.
func (s *Swarm) Next() time.Duration {
	next := s.flushAt
	for _, v := range s.versions {
		if !v.isComplete() {
			next = min(next, v.nextTakeOver(s.now), s.nextDeadline(v), s.nextRetry(v))
		}
	}
	return max(next, s.now+time.Millisecond)
}
