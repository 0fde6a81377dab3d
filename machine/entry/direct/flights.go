package direct

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/placement"
	"mimosastand.example/mimosastand/zone/roster"
)

// applyHeartbeat applies a peer's heartbeat: the ages of versions, rate limits of targets, what
// crashes targets, which of them leave, and the state of an engine or the flights of an entry. It
// reports whether the heartbeat had news on targets, which entries pass on at once.
func (fs *fleetState) applyHeartbeat(hb contract.Heartbeat) (hasNews bool) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	now := time.Now()
	fs.applyPeerAges(hb)
	news := fs.applyPeerLimits(hb) + fs.applyPeerPoison(hb) + fs.applyPeerLeaving(hb)
	hasNews = fs.applyPeerState(now, hb) || news > 0
	fs.dispatchReported(now)
	return hasNews
}

// applyPeerState applies the state of an engine, or what an entry has in flight and knows of engines.
// It reports whether the process beside the engine has news of it.
func (fs *fleetState) applyPeerState(now time.Time, hb contract.Heartbeat) (hasNews bool) {
	if e := hb.Engine; e != nil {
		fs.engineAddresses[hb.Machine] = e.Address
		return fs.applyEngineStatus(now, e)
	}
	fs.applyTargetReports(now, hb.TargetReports)
	if !hb.SameInFlight {
		fs.applyFlights(hb)
	}
	return false
}

// applyFlights applies what an entry has in flight.
func (fs *fleetState) applyFlights(hb contract.Heartbeat) {
	flights := map[uint32]int{}
	for _, f := range hb.InFlight {
		flights[f.Target] = int(f.Count)
	}
	fs.setFlights(hb.Machine, flights)
}

// forgetUnlinked drops the reports of processes to which this entry no longer maintains a
// link.
func (fs *fleetState) forgetUnlinked(maintainsLink func(contract.MachineID) bool) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	for id, address := range fs.engineAddresses {
		if !maintainsLink(id) {
			fs.roster.ClearStatus(address)
			delete(fs.engineAddresses, id)
		}
	}
}

// flightKey returns the number that stands for a target in heartbeats. Two targets with
// the same key, one pair in 2^32, each count as being as busy as both together.
func flightKey(id roster.TargetID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// forgetFlights drops the flights of a peer whose link has ended.
func (fs *fleetState) forgetFlights(id contract.MachineID) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.setFlights(id, nil)
}

func (fs *fleetState) setFlights(id contract.MachineID, flights map[uint32]int) {
	changed := map[uint32]bool{}
	for key := range fs.peerFlights[id] {
		changed[key] = true
	}
	for key := range flights {
		changed[key] = true
	}
	fs.peerFlights[id] = flights
	for key := range changed {
		for _, t := range fs.flightTargets[key] {
			t.pool.SetPeerLoad(t.id, float64(fs.flightsOfPeers(key)))
		}
	}
}

// pooledTarget is a target and the pool that it is in.
type pooledTarget struct {
	pool *placement.Pool
	id   roster.TargetID
}

// indexFlightTargets finds the targets in all pools that each number stands for.
func (fs *fleetState) indexFlightTargets() {
	fs.flightTargets = map[uint32][]pooledTarget{}
	for name, p := range fs.pools {
		for _, m := range fs.roster.Members(name) {
			key := flightKey(m.ID)
			fs.flightTargets[key] = append(fs.flightTargets[key], pooledTarget{p, m.ID})
		}
	}
}

// flightsOfPeers returns how many attempts all other entries have in flight at a target.
func (fs *fleetState) flightsOfPeers(key uint32) int {
	total := 0
	for _, f := range fs.peerFlights {
		total += f[key]
	}
	return total
}

// ownFlights lists this entry's attempts in flight, for its heartbeats.
func (fs *fleetState) ownFlights() []contract.TargetInFlight {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	var list []contract.TargetInFlight
	for _, p := range fs.pools {
		for id, n := range p.InFlight() {
			list = append(list, contract.TargetInFlight{Target: flightKey(id), Count: uint32(n)})
		}
	}
	return list
}
