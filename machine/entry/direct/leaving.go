package direct

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/platform"
)

// recordLeaving records that a target says that it is about to stop.
func (x *exchange) recordLeaving(reply platform.Reply) {
	if reply.Leaving {
		x.call.entry.fleet.recordLeaving(x)
	}
}

func (fs *fleetState) recordLeaving(x *exchange) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.leaving.Observe(time.Now(), x.choice.ID, x.choice.Born) {
		fs.log.WithField("request", x.call.info.AttemptID).WithField("service", string(x.call.service)).
			WithField("target", string(x.choice.ID)).Info("target says that it leaves")
	}
}

// leavingReports lists the targets that leave, for heartbeats to other entries.
func (fs *fleetState) leavingReports() []uint64 {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.leaving.Reports(time.Now())
}

// applyPeerLeaving applies what a peer reports of targets that leave.
func (fs *fleetState) applyPeerLeaving(hb contract.Heartbeat) (changed int) {
	if len(hb.LeavingTargets) == 0 {
		return 0
	}
	changed = fs.leaving.ApplyReports(time.Now(), hb.LeavingTargets)
	if changed > 0 {
		fs.log.WithField("peer", string(hb.Machine)).WithField("changed", changed).Info("targets that leave received from peer")
	}
	return changed
}
