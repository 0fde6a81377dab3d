package direct

import (
	"net/http"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/placement"
	"mimosastand.example/mimosastand/zone/ratelimit"
	"mimosastand.example/mimosastand/zone/roster"
)

// recordRateLimit records what a response says of the target's rate limit. A response for
// which another target may be responsible says nothing. Only a success shows that a limit
// was lifted: other responses need not name it.
func (x *exchange) recordRateLimit(reply platform.Reply) {
	fleet := x.call.entry.fleet
	switch {
	case reply.Misdirected:
	case reply.RateLimit.Invalid != "":
		fleet.recordInvalidLimit(x.choice, reply.RateLimit.Invalid)
	case reply.RateLimit.Named:
		fleet.recordNamedLimit(x.choice, x.start, reply.RateLimit.PerSecond)
	case reply.Status < http.StatusMultipleChoices && reply.HasStamp:
		fleet.recordNoLimit(x.choice, x.start)
	}
}

// recordNamedLimit records that a target named a limit in the response to an attempt sent at
// sentAt.
func (fs *fleetState) recordNamedLimit(target placement.Choice, sentAt time.Time, perSecond float64) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.rateLimits.Named(time.Now(), ratelimit.KeyOf(target.ID, target.Born), sentAt, perSecond) {
		fs.log.WithField("target", string(target.ID)).WithField("per_second", perSecond).Warn("target named a rate limit")
	}
}

// recordNoLimit records that a target named no limit in the response to an attempt sent at
// sentAt.
func (fs *fleetState) recordNoLimit(target placement.Choice, sentAt time.Time) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.rateLimits.NotNamed(time.Now(), ratelimit.KeyOf(target.ID, target.Born), sentAt) {
		fs.log.WithField("target", string(target.ID)).Info("target rate limit lifted")
	}
}

// recordInvalidLimit logs a limit that cannot be read, once for each value in a row.
func (fs *fleetState) recordInvalidLimit(target placement.Choice, value string) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.rateLimits.Invalid(ratelimit.KeyOf(target.ID, target.Born), value) {
		fs.log.WithField("target", string(target.ID)).WithField("value", value).Warn("invalid rate limit of target ignored")
	}
}

// applyPeerLimits applies what a peer reports of the rate limits of targets.
func (fs *fleetState) applyPeerLimits(hb contract.Heartbeat) (changed int) {
	if len(hb.RateLimits) == 0 {
		return 0
	}
	changed = fs.rateLimits.ApplyReports(time.Now(), hb.RateLimits)
	if changed > 0 {
		fs.log.WithField("peer", string(hb.Machine)).WithField("changed", changed).Info("rate limits received from peer")
	}
	return changed
}

// rateLimitReports lists the rate limits of targets, for heartbeats to other entries.
func (fs *fleetState) rateLimitReports() []contract.TargetRateLimit {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.rateLimits.Reports(time.Now())
}

// pruneTargetRecords forgets what targets said that have left the target list.
func (fs *fleetState) pruneTargetRecords() {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	now := time.Now()
	fs.rateLimits.Prune(now, fs.listedIncarnations)
	fs.leaving.Prune(now, fs.listedIncarnations)
}

// listedIncarnations returns the keys of the targets on the list.
func (fs *fleetState) listedIncarnations() map[ratelimit.Key]bool {
	keys := map[ratelimit.Key]bool{}
	for name := range fs.pools {
		for _, m := range fs.roster.Members(name) {
			keys[ratelimit.KeyOf(m.ID, m.Born)] = true
		}
	}
	return keys
}

// limitOf returns the rate in requests a second to which a target limits all entries
// together, or noLimit.
func (fs *fleetState) limitOf(m *roster.Member) float64 {
	if limit, ok := fs.rateLimits.Of(m.ID, m.Born); ok {
		return limit.PerSecond
	}
	return noLimit
}
