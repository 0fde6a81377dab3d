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

// silentAfter is the age of a host's last heartbeat above which the status for operators
// lists the host as silent.
const silentAfter = 5 * time.Second

// lastHeartbeat is the last heartbeat received from a host.
type lastHeartbeat struct {
	heartbeat  contract.Heartbeat
	receivedAt time.Time
}

// fleetState holds the last heartbeats of the hosts that this entry host has links to,
// for the status that operators see. It is safe for concurrent use.
type fleetState struct {
	hosts func() []hostlist.Host

	mu         sync.Mutex
	heartbeats map[contract.MachineID]lastHeartbeat
}

func newFleetState(hosts func() []hostlist.Host) *fleetState {
	return &fleetState{hosts: hosts, heartbeats: map[contract.MachineID]lastHeartbeat{}}
}

// recordHeartbeat records a heartbeat as the host's last one.
func (f *fleetState) recordHeartbeat(hb contract.Heartbeat, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heartbeats[hb.Machine] = lastHeartbeat{heartbeat: hb, receivedAt: now}
}

// Machines implements admin.StatusSource. It returns the targets of the host list with
// what their last heartbeats report, in order of their names. Heartbeats of hosts that
// have left the list are dropped.
func (f *fleetState) Machines() []admin.MachineStatus {
	hosts := f.hosts()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	listed := make(map[contract.MachineID]bool, len(hosts))
	var machines []admin.MachineStatus
	for _, h := range hosts {
		listed[h.Machine] = true
		if h.Role == hostlist.Target {
			machines = append(machines, f.hostStatus(h, now))
		}
	}
	for machine := range f.heartbeats {
		if !listed[machine] {
			delete(f.heartbeats, machine)
		}
	}
	slices.SortFunc(machines, func(a, b admin.MachineStatus) int {
		return strings.Compare(string(a.Machine), string(b.Machine))
	})
	return machines
}

func (f *fleetState) hostStatus(h hostlist.Host, now time.Time) admin.MachineStatus {
	s := admin.MachineStatus{
		Machine: h.Machine, Zone: h.Zone, Region: h.Region, Service: h.Service,
		Leaving: h.State == hostlist.Leaving,
	}
	last, ok := f.heartbeats[h.Machine]
	s.Silent = !ok || now.Sub(last.receivedAt) > silentAfter
	s.Settings = last.heartbeat.SettingsOffset
	if load := last.heartbeat.Load; load != nil {
		s.Leaving = s.Leaving || load.Leaving
		s.Warm = load.Warm
		s.Running = int(load.Running)
		s.Weights = load.Weights
	}
	return s
}
