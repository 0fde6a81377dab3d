package gate

import (
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/coldstart"
)

// handleReported applies a report of the engine unless the limiter ignored it. A report
// that was taken after the last activation determines the active version, also if its
// digest is not the one that the target ordered.
func (g *Gate) handleReported(r coldstart.Report) {
	formerBoot := g.limiter.Boot()
	firstEffect := len(g.effects)
	g.stepLimiter(r)
	if g.hasIgnored(firstEffect) {
		return
	}
	takenAt := g.now.Add(-r.Age)
	restarted := formerBoot != "" && g.limiter.Boot() != formerBoot
	if restarted || r.Running == 0 {
		g.releaseLingering(takenAt, restarted)
	}
	if takenAt.After(g.activatedAt) {
		g.setWeights(r.Digest)
	}
}

// hasIgnored reports whether the effects from index from on contain an Ignored.
func (g *Gate) hasIgnored(from int) bool {
	for _, e := range g.effects[from:] {
		if _, ok := e.(Ignored); ok {
			return true
		}
	}
	return false
}

// handleActivated ends a drain. The back end counts as cold if the version has changed.
func (g *Gate) handleActivated(digest contract.Digest) {
	g.drainUntil = zeroTime
	if digest == g.weights {
		return
	}
	g.activatedAt = g.now
	g.stepLimiter(coldstart.VersionActivated{})
	g.setWeights(digest)
}

// isDraining reports whether new work is refused because of a change of the version.
func (g *Gate) isDraining() bool { return g.now.Before(g.drainUntil) }

// setWeights makes digest the active version. Attempts that are pinned to another one are
// refused if they are queued and stopped if they run.
func (g *Gate) setWeights(digest contract.Digest) {
	if digest == g.weights {
		return
	}
	g.weights = digest
	if g.disabled&offPinning != 0 {
		return
	}
	g.refuseQueuedIf(contract.ReasonWeightsMismatch, func(a *attempt) bool { return !g.servesWeights(a.start.Weights) })
	for _, a := range g.matching(func(a *attempt) bool { return !g.servesWeights(a.start.Weights) }) {
		g.stop(a, contract.ReasonWeightsChanged)
	}
}

// servesWeights reports whether an attempt that is pinned to digest may run now.
func (g *Gate) servesWeights(digest contract.Digest) bool {
	return !g.cfg.Model || digest == g.weights
}
