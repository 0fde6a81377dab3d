package swarm

import (
	"slices"

	"mimosastand.example/mimosastand/contract"
)

// uploads holds the served and waiting requests of one class.
type uploads struct {
	active, queue []Upload
}

// drop forgets the requests for a version and returns those that waited.
func (u *uploads) drop(d contract.Digest) []Upload {
	var waiting []Upload
	for _, up := range u.queue {
		if up.Version == d {
			waiting = append(waiting, up)
		}
	}
	of := func(x Upload) bool { return x.Version == d }
	u.active = slices.DeleteFunc(u.active, of)
	u.queue = slices.DeleteFunc(u.queue, of)
	return waiting
}

func (s *Swarm) uploadsFor(to contract.MachineID) (*uploads, bool) {
	p := s.byName[to]
	if p != nil && p.Region != s.cfg.Self.Region {
		return &s.remote, true
	}
	return &s.local, false
}

func (s *Swarm) requestReceived(up Upload) {
	v := s.version(up.Version)
	if v == nil || up.Index < 0 || up.Index >= v.chunks || !v.held.has(up.Index) {
		s.note(NoteBadRequest, up.To)
		s.emit(Refuse{Upload: up, Cause: FailureMissing})
		return
	}
	u, abroad := s.uploadsFor(up.To)
	if slices.Contains(u.active, up) || slices.Contains(u.queue, up) {
		s.note(NoteBadRequest, up.To)
		s.emit(Refuse{Upload: up, Cause: FailureBusy})
		return
	}
	if len(u.active) < s.cfg.Uploads || !s.on(mechUploadBound) {
		s.serve(v, u, up, abroad)
		return
	}
	if len(u.queue) >= s.cfg.UploadQueue {
		s.note(NoteBusy, up.To)
		s.emit(Refuse{Upload: up, Cause: FailureBusy})
		return
	}
	u.queue = append(u.queue, up)
}

func (s *Swarm) serve(v *version, u *uploads, up Upload, abroad bool) {
	u.active = append(u.active, up)
	v.served[up.Index]++
	s.emit(Serve{Upload: up, Remote: abroad})
}

func (s *Swarm) uploadEnded(up Upload) {
	u, abroad := &s.local, false
	if slices.Contains(s.remote.active, up) || slices.Contains(s.remote.queue, up) {
		u, abroad = &s.remote, true
	}
	is := func(x Upload) bool { return x == up }
	if slices.ContainsFunc(u.queue, is) {
		u.queue = slices.DeleteFunc(u.queue, is)
		return
	}
	u.active = slices.DeleteFunc(u.active, is)
	for len(u.active) < s.cfg.Uploads && len(u.queue) > 0 {
		s.serveNext(u, abroad)
	}
}

// serveNext serves the waiting request whose chunk was sent least often, so
// that rare chunks spread first.
func (s *Swarm) serveNext(u *uploads, abroad bool) {
	best, bestServed := 0, uint16(0)
	for k, up := range u.queue {
		v := s.version(up.Version)
		if n := v.served[up.Index]; k == 0 || n < bestServed {
			best, bestServed = k, n
		}
	}
	up := u.queue[best]
	u.queue = slices.Delete(u.queue, best, best+1)
	s.serve(s.version(up.Version), u, up, abroad)
}
