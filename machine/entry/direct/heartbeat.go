package direct

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
)

// fillHeartbeat adds the state of this entry to a heartbeat to a peer. Targets need only what
// operators have written and the ages of versions. Entries of other regions send requests here only when their own region is
// full; they get flights at a lower rate, since these use the links between regions.
func (e *Entry) fillHeartbeat(peer contract.MachineID, hb *contract.Heartbeat) {
	member, _ := e.peers.Member(peer)
	if member.Role == link.RoleEntry {
		hb.SameInFlight = member.Region != e.process.Region && !e.remoteFlights.due(peer, time.Now())
		if !hb.SameInFlight {
			hb.InFlight = e.fleet.ownFlights()
		}
		hb.TargetReports = e.fleet.reportsFor(member.Region)
		hb.RateLimits = e.fleet.rateLimitReports()
		hb.PoisonObservations, hb.PoisonVerdicts = e.fleet.poisonReports()
		hb.LeavingTargets = e.fleet.leavingReports()
		hb.OriginOutage = e.origin.Report()
		hb.Targets = e.targetsFeed.Progress()
	}
	hb.Announced = e.fleet.versionAges()
	hb.StoreEra = e.store.Era()
	hb.Operators = e.operatorsFeed.Progress()
}

// handleHeartbeat applies a peer's heartbeat.
func (e *Entry) handleHeartbeat(hb contract.Heartbeat) {
	e.store.LearnEra(hb.StoreEra)
	e.observeOperators(hb)
	e.origin.Apply(hb.OriginOutage)
	if hb.Zone == e.process.Zone {
		e.targetsCatchup.ObservePeer(hb.Machine, hb.Targets)
	}
	if e.fleet.applyHeartbeat(hb) {
		e.peers.SendNews()
	}
}
