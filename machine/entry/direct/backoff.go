package direct

import (
	"time"

	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/placement"
)

// recordBackoff records that a target wants no further request from this entry for a while.
func (x *exchange) recordBackoff(reply platform.Reply) {
	if reply.Backoff > 0 {
		x.call.entry.fleet.recordBackoff(x)
	}
}

func (fs *fleetState) recordBackoff(x *exchange) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	c := x.call
	if fs.pool(c.service).BackOff(x.choice.ID, x.choice.Born, x.reply.Backoff) {
		fs.log.WithField("request", c.info.AttemptID).WithField("service", string(c.service)).WithField("target", string(x.choice.ID)).
			WithField("target_backoff_ms", x.reply.Backoff.Milliseconds()).Info("target wants no requests")
	}
}

// stillAdmits reports whether the target of an attempt may still get it, once there is a
// connection.
func (x *exchange) stillAdmits() (admits bool) {
	x.call.entry.fleet.withPool(x.call.service, func(_ time.Time, p *placement.Pool) { admits = p.StillAdmits(x.choice) })
	return admits
}
