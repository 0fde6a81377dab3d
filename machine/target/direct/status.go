package direct

import (
	"math"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// status returns the state of the engine for the heartbeats to entries; nil if entries are to go by what
// an earlier process reported.
func (r *reconciler) status() *contract.EngineStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isInherited() && time.Since(r.proof.inheritedAt) < inheritedSilence {
		return nil
	}
	s := &contract.EngineStatus{
		Address:  r.target.process.Fleet.EngineAddress,
		Born:     r.report.Born,
		Up:       r.up,
		Changing: r.changePending || r.report.Busy || r.isWithheld() || r.bootTime()-r.reportedBoot > maxReportAge,
		Layers:   uint32(min(r.report.Model.Layers, math.MaxUint32)),
		Number:   r.nextStatusNumber(),
	}
	if r.up {
		s.Version = r.loadedVersion()
	}
	if s.HasLoad = r.up && r.report.Load >= 0; s.HasLoad {
		s.Load = uint32(r.report.Load)
	}
	return s
}

// nextStatusNumber returns a number above that of the last status, also of an earlier process: the
// milliseconds since the machine was booted, modulo 2^32, or the next number if that is not above. The time of
// day may step back. mu must be held.
func (r *reconciler) nextStatusNumber() uint32 {
	now := uint32(r.bootTime().Milliseconds())
	if r.statusNumber == 0 || int32(now-r.statusNumber) > 0 {
		r.statusNumber = now
	} else {
		r.statusNumber++
	}
	if r.statusNumber == 0 {
		r.statusNumber++
	}
	return r.statusNumber
}
