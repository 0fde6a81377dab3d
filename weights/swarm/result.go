package swarm

import (
	"slices"
	"time"
)

const (
	originRetryTime    = 250 * time.Millisecond
	maxOriginRetryTime = 15 * time.Second
)

// flightOf returns the outstanding request that a result belongs to, or nil.
func (v *version) flightOf(d Download) *flight {
	for _, f := range v.flights {
		if f.Download == d {
			return f
		}
	}
	return nil
}

func (v *version) flightsOf(i int) int {
	n := 0
	for _, f := range v.flights {
		if f.Index == i {
			n++
		}
	}
	return n
}

// release forgets a request that has ended.
func (s *Swarm) release(v *version, f *flight) {
	if f.peer != nil {
		f.peer.flights--
	}
	v.flights = slices.DeleteFunc(v.flights, func(o *flight) bool { return o == f })
	if v.flightsOf(f.Index) == 0 {
		v.asked.clear(f.Index)
	}
}

// cancelWhere gives up the requests that match.
func (s *Swarm) cancelWhere(v *version, match func(*flight) bool) {
	for _, f := range slices.Clone(v.flights) {
		if match(f) {
			s.emit(CancelRequest{f.Download})
			s.release(v, f)
		}
	}
}

func (s *Swarm) chunkVerified(d Download) {
	v := s.version(d.Version)
	if v == nil || d.Index < 0 || d.Index >= v.chunks {
		s.note(NoteUnrequested, d.From)
		return
	}
	f := v.flightOf(d)
	if f == nil {
		s.note(NoteUnrequested, d.From)
		return
	}
	v.pace.observe(f.class, s.now-f.start)
	if f.peer != nil {
		s.succeeded(f.peer)
	} else {
		s.originStrikes = 0
	}
	s.release(v, f)
	s.cancelWhere(v, func(o *flight) bool { return o.Index == d.Index })
	s.hold(v, d.Index, f.class != classLocal)
}

// hold adds a verified chunk; drawn tells that it came from outside the region.
func (s *Swarm) hold(v *version, i int, drawn bool) {
	if v.held.has(i) {
		return
	}
	v.held.set(i)
	v.heldCount++
	if !v.seen.has(i) {
		v.see(i)
		s.news(v, i, true)
	}
	s.announce(v, i, drawn)
	if v.whole() {
		s.emit(VersionComplete{Version: v.digest})
	}
}

func (s *Swarm) chunkFailed(d Download, cause Failure) {
	v := s.version(d.Version)
	if v == nil {
		return
	}
	f := v.flightOf(d)
	if f == nil {
		s.note(NoteUnrequested, d.From)
		return
	}
	s.release(v, f)
	if f.peer == nil {
		s.originFailed(cause)
		return
	}
	s.peerFailed(v, f, cause)
}

// originFailed holds the slot's draws back for a while: the origin is down,
// slow or sent a corrupt chunk.
func (s *Swarm) originFailed(cause Failure) {
	if cause == FailureCorrupt || cause == FailureSize {
		s.note(NoteCorrupt, "")
		return
	}
	s.originRetry()
}

// originRetry keeps away from the origin for a time that doubles with each
// failure in a row.
func (s *Swarm) originRetry() {
	d := min(originRetryTime<<min(s.originStrikes, 6), maxOriginRetryTime)
	s.originStrikes++
	s.originTill = s.now + s.jitter(d)
}

func (s *Swarm) peerFailed(v *version, f *flight, cause Failure) {
	p := f.peer
	switch cause {
	case FailureBusy:
		p.busyTill = s.now + s.jitter(2*s.usual(v, f.class))
	case FailureMissing:
		s.note(NoteMissing, p.Machine)
		s.disown(v, f)
		p.busyTill = s.now + s.jitter(2*s.usual(v, f.class))
		s.distrust(p, trustMissing)
	case FailureCorrupt:
		s.note(NoteCorrupt, p.Machine)
		s.distrust(p, trustCorrupt)
	case FailureSize:
		s.note(NoteSize, p.Machine)
		s.distrust(p, trustCorrupt)
	case FailureLink:
		s.suspect(p)
	}
}

// disown forgets that a peer holds a chunk which it refused.
func (s *Swarm) disown(v *version, f *flight) {
	for _, list := range [][]*remote{v.neighbours, v.abroad} {
		if r := v.find(list, f.peer); r != nil {
			r.have.clear(f.Index)
		}
	}
	v.recount(s.now)
}

// dropStalled gives up requests past their deadline.
func (s *Swarm) dropStalled() {
	for _, v := range s.versions {
		for _, f := range slices.Clone(v.flights) {
			if s.now < f.deadline {
				continue
			}
			s.emit(CancelRequest{f.Download})
			s.release(v, f)
			s.note(NoteStalled, f.From)
			v.pace.stalled(f.class)
			if f.peer != nil {
				s.suspect(f.peer)
			} else {
				s.originRetry()
			}
		}
	}
}

func (s *Swarm) nextDeadline(v *version) time.Duration {
	next := never
	for _, f := range v.flights {
		next = min(next, f.deadline)
	}
	return next
}
