package entry

import (
	"slices"
	"strings"
	"sync"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/admin"
	"mimosastand.example/mimosastand/zone/hostlist"
)

// silentAfter is how old a machine's last heartbeat may be before operators see
// it as silent.
const silentAfter = 5 * time.Second

// seen is the last heartbeat of a machine.
type seen struct {
	heartbeat contract.Heartbeat
	at        time.Time
}

// fleet is what this entry host knows of the machines that it has links to, for
// the operators' status. It is safe for concurrent use.
type fleet struct {
	hosts func() []hostlist.Host

	mu   sync.Mutex
	last map[contract.MachineID]seen
}

func newFleet(hosts func() []hostlist.Host) *fleet {
	return &fleet{hosts: hosts, last: map[contract.MachineID]seen{}}
}

// observe keeps a heartbeat.
func (f *fleet) observe(hb contract.Heartbeat, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last[hb.Machine] = seen{heartbeat: hb, at: now}
}

// Machines implements admin.StatusSource. It lists the hosts of the host list,
// and what their heartbeats told; machines that left the list are forgotten.
func (f *fleet) Machines() []admin.MachineStatus {
	hosts := f.hosts()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	listed := make(map[contract.MachineID]bool, len(hosts))
	var machines []admin.MachineStatus
	for _, h := range hosts {
		listed[h.Machine] = true
		if h.Role == hostlist.Target {
			machines = append(machines, f.status(h, now))
		}
	}
	for machine := range f.last {
		if !listed[machine] {
			delete(f.last, machine)
		}
	}
	slices.SortFunc(machines, func(a, b admin.MachineStatus) int {
		return strings.Compare(string(a.Machine), string(b.Machine))
	})
	return machines
}

func (f *fleet) status(h hostlist.Host, now time.Time) admin.MachineStatus {
	s := admin.MachineStatus{
		Machine: h.Machine, Zone: h.Zone, Region: h.Region, Service: h.Service,
		Leaving: h.State == hostlist.Leaving,
	}
	last, ok := f.last[h.Machine]
	s.Silent = !ok || now.Sub(last.at) > silentAfter
	s.Settings = last.heartbeat.SettingsOffset
	if load := last.heartbeat.Load; load != nil {
		s.Leaving = s.Leaving || load.Leaving
		s.Warm = load.Warm
		s.Running = int(load.Running)
		s.Weights = load.Weights
	}
	return s
}
