package direct

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/roster"
)

// beat takes in a peer's heartbeat.
func (w *world) beat(hb contract.Heartbeat) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.versionsTold(hb)
	if e := hb.Engine; e != nil {
		w.roster.Report(now, e.Address, e.Born, roster.Status{
			Version:  e.Version,
			Ready:    e.Up && e.Version > 0,
			Changing: e.Changing,
		})
		w.watched[hb.Machine] = e.Address
		return
	}
	if hb.SameFlights {
		return
	}
	flights := map[uint32]int{}
	for _, f := range hb.Flights {
		flights[f.Target] = int(f.Count)
	}
	w.setFlights(hb.Machine, flights)
}

// unwatch forgets what the processes told that this entry no longer wants a link to.
func (w *world) unwatch(wants func(contract.MachineID) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, address := range w.watched {
		if !wants(id) {
			w.roster.ClearStatus(address)
			delete(w.watched, id)
		}
	}
}

// flightKey is what stands for a target in heartbeats. Two targets of one key, one
// pair in some million, are each taken for as busy as both.
func flightKey(id roster.TargetID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// peerDown forgets what a peer had in flight.
func (w *world) peerDown(id contract.MachineID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setFlights(id, nil)
}

func (w *world) setFlights(id contract.MachineID, flights map[uint32]int) {
	touched := map[uint32]bool{}
	for key := range w.flights[id] {
		touched[key] = true
	}
	for key := range flights {
		touched[key] = true
	}
	w.flights[id] = flights
	for name, p := range w.pools {
		for _, m := range w.roster.Members(name) {
			if key := flightKey(m.ID); touched[key] {
				p.SetPeerLoad(m.ID, float64(w.othersAt(key)))
			}
		}
	}
}

// othersAt is what all other entries have at a target.
func (w *world) othersAt(key uint32) int {
	total := 0
	for _, f := range w.flights {
		total += f[key]
	}
	return total
}

// ownFlights lists what this entry has in flight, for its heartbeats.
func (w *world) ownFlights() []contract.Flight {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []contract.Flight
	for _, p := range w.pools {
		for id, n := range p.InFlight() {
			list = append(list, contract.Flight{Target: flightKey(id), Count: uint32(n)})
		}
	}
	return list
}
