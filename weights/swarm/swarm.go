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
	cfg Config
	rng *rand.Rand
	off mechanism

	now      time.Duration
	peers    []*peer
	byName   map[contract.MachineID]*peer
	regions  []contract.RegionName
	versions []*version

	local, remote uploads
	budget        Budget
	allowance     bucket
	control       bucket
	flushAt       time.Duration
	// recountAt is when a peer that is avoided may be used again.
	recountAt     time.Duration
	originTill    time.Duration
	originStrikes int
	effects       []Effect
}

// New returns a Swarm that draws its random numbers from rng.
func New(cfg Config, rng *rand.Rand) *Swarm {
	s := &Swarm{cfg: cfg.withDefaults(), rng: rng, byName: make(map[contract.MachineID]*peer), flushAt: never, recountAt: never}
	s.control = bucket{rate: s.cfg.ControlBytes, burst: controlBurstSeconds * s.cfg.ControlBytes, level: float64(s.cfg.ControlBytes)}
	s.regions = []contract.RegionName{s.cfg.Self.Region}
	return s
}

// Step applies one event at the time now, which must not go backwards, and
// returns the effects. The slice is valid until the next call.
func (s *Swarm) Step(now time.Duration, ev Event) []Effect {
	s.now = max(s.now, now)
	s.effects = s.effects[:0]
	s.recountDue()
	s.apply(ev)
	s.dropStalled()
	s.recountDue()
	s.fill()
	s.flush()
	return s.effects
}

func (s *Swarm) apply(ev Event) {
	switch e := ev.(type) {
	case PeersChanged:
		s.peersChanged(e.Peers)
	case DesiredVersion:
		s.want(e)
	case Withdraw:
		s.withdraw(e.Version)
	case HaveReceived:
		s.haveReceived(e)
	case HaveFailed:
		s.haveFailed(e)
	case RequestReceived:
		s.requestReceived(e.Upload)
	case UploadEnded:
		s.uploadEnded(e.Upload)
	case ChunkVerified:
		s.chunkVerified(e.Download)
	case ChunkFailed:
		s.chunkFailed(e.Download, e.Cause)
	case Budget:
		s.setBudget(e)
	case Tick:
	}
}

func (s *Swarm) emit(e Effect) {
	s.effects = append(s.effects, e)
}

func (s *Swarm) note(kind NoteKind, from contract.MachineID) {
	s.emit(Note{Kind: kind, Peer: from})
}

func (s *Swarm) on(m mechanism) bool {
	return s.off&m == 0
}

// jitter returns d times a random factor between 1 and 1.5.
func (s *Swarm) jitter(d time.Duration) time.Duration {
	return d + time.Duration(s.rng.Float64()*float64(d)/2)
}

func (s *Swarm) version(d contract.Digest) *version {
	for _, v := range s.versions {
		if v.digest == d {
			return v
		}
	}
	return nil
}

func (s *Swarm) want(e DesiredVersion) {
	if v := s.version(e.Version); v != nil {
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
	s.rebuild(v)
}

func (s *Swarm) sortVersions() {
	slices.SortStableFunc(s.versions, func(a, b *version) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return cmp.Compare(a.digest, b.digest)
	})
}

func (s *Swarm) withdraw(d contract.Digest) {
	if !s.on(mechWithdraw) {
		return
	}
	v := s.version(d)
	if v == nil {
		return
	}
	s.cancelWhere(v, func(*flight) bool { return true })
	s.versions = slices.DeleteFunc(s.versions, func(o *version) bool { return o == v })
	for _, u := range []*uploads{&s.local, &s.remote} {
		for _, up := range u.drop(d) {
			s.emit(Refuse{Upload: up, Cause: FailureMissing})
		}
	}
}

// Held returns how many chunks of a version are held.
func (s *Swarm) Held(d contract.Digest) int {
	v := s.version(d)
	if v == nil {
		return 0
	}
	return v.heldCount
}

// Next returns when to call Step with a Tick, or a time that never comes.
func (s *Swarm) Next() time.Duration {
	next := s.flushAt
	for _, v := range s.versions {
		if !v.whole() {
			next = min(next, v.nextTakeOver(s.now), s.nextDeadline(v), s.retryAt(v))
		}
	}
	return max(next, s.now+time.Millisecond)
}
