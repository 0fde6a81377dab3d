package gate

import (
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/coldstart"
)

// reported takes a report of the engine. A digest that the target did not
// order is a change under running work.
func (g *Gate) reported(r coldstart.Report) {
	before := g.limiter.Boot()
	result := len(g.effects)
	g.limit(r)
	if g.rejected(result) {
		return
	}
	taken := g.now.Add(-r.Age)
	restarted := before != "" && g.limiter.Boot() != before
	if restarted || r.Running == 0 {
		g.releaseLingering(taken, restarted)
	}
	if taken.After(g.activated) {
		g.setWeights(r.Digest)
	}
}

// rejected reports whether an effect from index from on says that the event
// was not believed.
func (g *Gate) rejected(from int) bool {
	for _, e := range g.effects[from:] {
		if _, ok := e.(Ignored); ok {
			return true
		}
	}
	return false
}

// activate ends a drain. An engine that serves another version than before is
// cold.
func (g *Gate) activate(digest contract.Digest) {
	g.drainUntil = zeroTime
	if digest == g.weights {
		return
	}
	g.activated = g.now
	g.limit(coldstart.VersionActivated{})
	g.setWeights(digest)
}

// draining reports whether a change of the version holds back new work.
func (g *Gate) draining() bool { return g.now.Before(g.drainUntil) }

// setWeights makes digest the active version: queued attempts pinned to
// another go back, running ones are ended.
func (g *Gate) setWeights(digest contract.Digest) {
	if digest == g.weights {
		return
	}
	g.weights = digest
	if g.off&offPinned != 0 {
		return
	}
	g.returnIf(contract.ReasonWeightsMismatch, func(a *attempt) bool { return !g.pinned(a.start.Weights) })
	for _, a := range g.matching(func(a *attempt) bool { return !g.pinned(a.start.Weights) }) {
		g.stop(a, contract.ReasonWeightsChanged)
	}
}

// pinned reports whether an attempt pinned to digest may run now.
func (g *Gate) pinned(digest contract.Digest) bool {
	return !g.cfg.Model || digest == g.weights
}
