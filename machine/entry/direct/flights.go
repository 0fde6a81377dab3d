package direct

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/roster"
)

// beat takes in a peer's heartbeat.
func (w *world) beat(hb contract.Heartbeat) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if e := hb.Engine; e != nil {
		w.roster.Report(now, e.Address, e.Born, roster.Status{
			Version:  e.Version,
			Ready:    e.Up && e.Version > 0,
			Changing: e.Changing,
			Running:  int(e.Running),
			Queued:   int(e.Queued),
		})
		return
	}
	flights := map[roster.TargetID]int{}
	for _, f := range hb.Flights {
		flights[roster.TargetID(f.Target)] = int(f.Count)
	}
	w.setFlights(hb.Machine, flights)
}

// peerDown forgets what a peer had in flight.
func (w *world) peerDown(id contract.MachineID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setFlights(id, nil)
}

func (w *world) setFlights(id contract.MachineID, flights map[roster.TargetID]int) {
	touched := map[roster.TargetID]bool{}
	for target := range w.flights[id] {
		touched[target] = true
	}
	for target := range flights {
		touched[target] = true
	}
	w.flights[id] = flights
	for target := range touched {
		total := 0
		for _, f := range w.flights {
			total += f[target]
		}
		if m := w.roster.Member(target); m != nil {
			w.pool(m.Service).SetOthers(target, float64(total))
		}
	}
}

// ownFlights lists what this entry has in flight, for its heartbeats.
func (w *world) ownFlights() []contract.Flight {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []contract.Flight
	for _, p := range w.pools {
		for id, n := range p.InFlight() {
			list = append(list, contract.Flight{Target: string(id), Count: uint32(n)})
		}
	}
	return list
}
