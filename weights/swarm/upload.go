package swarm

import (
	"slices"

	"mimosastand.example/mimosastand/contract"
)

// uploads holds the requests that are served and that wait, either for peers of the region
// or for other peers.
type uploads struct {
	active, queue []Upload
}

// removeVersion removes the requests for a version and returns those that were waiting.
func (u *uploads) removeVersion(d contract.Digest) []Upload {
	var waiting []Upload
	for _, up := range u.queue {
		if up.Version == d {
			waiting = append(waiting, up)
		}
	}
	isOfVersion := func(x Upload) bool { return x.Version == d }
	u.active = slices.DeleteFunc(u.active, isOfVersion)
	u.queue = slices.DeleteFunc(u.queue, isOfVersion)
	return waiting
}

// uploadsFor returns the uploads that a peer's requests belong to, and whether the peer is
// in another region.
func (s *Swarm) uploadsFor(to contract.MachineID) (*uploads, bool) {
	p := s.byName[to]
	if p != nil && p.Region != s.cfg.Self.Region {
		return &s.remoteUploads, true
	}
	return &s.localUploads, false
}

func (s *Swarm) handleRequestReceived(up Upload) {
	v := s.findVersion(up.Version)
	if v == nil || up.Index < 0 || up.Index >= v.chunks || !v.held.has(up.Index) {
		s.note(NoteBadRequest, up.To)
		s.emit(Refuse{Upload: up, Cause: FailureMissing})
		return
	}
	u, isRemote := s.uploadsFor(up.To)
	if slices.Contains(u.active, up) || slices.Contains(u.queue, up) {
		s.note(NoteBadRequest, up.To)
		s.emit(Refuse{Upload: up, Cause: FailureBusy})
		return
	}
	if len(u.active) < s.cfg.Uploads || !s.isEnabled(mechUploadBound) {
		s.serve(v, u, up, isRemote)
		return
	}
	if len(u.queue) >= s.cfg.UploadQueue {
		s.note(NoteBusy, up.To)
		s.emit(Refuse{Upload: up, Cause: FailureBusy})
		return
	}
	u.queue = append(u.queue, up)
}

func (s *Swarm) serve(v *version, u *uploads, up Upload, isRemote bool) {
	u.active = append(u.active, up)
	v.servedCounts[up.Index]++
	s.emit(Serve{Upload: up, Remote: isRemote})
}

func (s *Swarm) handleUploadEnded(up Upload) {
	u, isRemote := &s.localUploads, false
	if slices.Contains(s.remoteUploads.active, up) || slices.Contains(s.remoteUploads.queue, up) {
		u, isRemote = &s.remoteUploads, true
	}
	isEnded := func(x Upload) bool { return x == up }
	if slices.ContainsFunc(u.queue, isEnded) {
		u.queue = slices.DeleteFunc(u.queue, isEnded)
		return
	}
	u.active = slices.DeleteFunc(u.active, isEnded)
	for len(u.active) < s.cfg.Uploads && len(u.queue) > 0 {
		s.serveNext(u, isRemote)
	}
}

// serveNext serves the waiting request whose chunk has been served least often, so that rare
// chunks spread first.
func (s *Swarm) serveNext(u *uploads, isRemote bool) {
	best, bestServed := 0, uint16(0)
	for k, up := range u.queue {
		v := s.findVersion(up.Version)
		if n := v.servedCounts[up.Index]; k == 0 || n < bestServed {
			best, bestServed = k, n
		}
	}
	up := u.queue[best]
	u.queue = slices.Delete(u.queue, best, best+1)
	s.serve(s.findVersion(up.Version), u, up, isRemote)
}
