package admin

import (
	"strconv"

	"github.com/kataras/iris/v12"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/admin/wire"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/schema"
	"mimosastand.example/mimosastand/settings/tree"
)

func (s *Server) getStatus(ctx iris.Context) {
	var machines []MachineStatus
	if s.opts.Status != nil {
		machines = s.opts.Status.Machines()
	}
	view := s.opts.Follower.Tree()
	s.writeJSON(ctx, wire.Status{
		Machine: s.opts.Machine, Ready: s.opts.Follower.Ready(), Offset: view.Offset(),
		Spread:   settingsSpread(machines, view.Offset()),
		Zones:    zoneStatuses(machines, view),
		Services: serviceStatuses(machines, view),
	})
}

// settingsSpread compares the settings offsets of the hosts with this entry host's own
// one. Silent hosts and hosts that have not reported an offset are left out.
func settingsSpread(machines []MachineStatus, own contract.Offset) wire.Spread {
	spread := wire.Spread{Lowest: own, Highest: own}
	for _, m := range machines {
		if m.Settings == 0 || m.Silent {
			continue
		}
		spread.Machines++
		spread.Lowest = min(spread.Lowest, m.Settings)
		spread.Highest = max(spread.Highest, m.Settings)
		if m.Settings < own {
			spread.Behind++
		}
	}
	return spread
}

// intSetting returns the effective value of an integer setting.
func intSetting(t *tree.Tree, s settings.Scope, key settings.Key) int {
	n, _ := strconv.Atoi(t.Effective(s, key).Value)
	return n
}

func zoneStatuses(machines []MachineStatus, view *tree.View) []wire.ZoneStatus {
	list := []wire.ZoneStatus{}
	for _, zone := range view.Tree().Zones() {
		region := view.Tree().RegionOf(zone)
		z := wire.ZoneStatus{Zone: zone, Region: region, Evacuated: view.Zone(region, zone).Out}
		z.ExpectedEntries = intSetting(view.Tree(), settings.Scope{Zone: zone}, schema.Entries)
		for _, m := range machines {
			if m.Zone == zone && m.Service != "" {
				countTarget(&z, m)
			}
		}
		list = append(list, z)
	}
	return list
}

// countTarget adds a target to the counts of its zone.
func countTarget(z *wire.ZoneStatus, m MachineStatus) {
	switch {
	case m.Silent:
		z.Silent++
		return
	case m.Leaving:
		z.Leaving++
	default:
		z.Live++
	}
	if m.Warm {
		z.Warm++
	}
	z.Running += m.Running
}

func serviceStatuses(machines []MachineStatus, view *tree.View) []wire.ServiceStatus {
	list := []wire.ServiceStatus{}
	for _, name := range view.Services() {
		current, _ := view.Service("", "", name)
		s := wire.ServiceStatus{Service: name, Kind: string(current.Kind), Weights: current.Weights, Former: current.Former}
		s.Expected = intSetting(view.Tree(), settings.Scope{Service: name}, schema.Targets)
		for _, m := range machines {
			if m.Service == name && !m.Silent && !m.Leaving {
				countLiveTarget(&s, m)
			}
		}
		list = append(list, s)
	}
	return list
}

// countLiveTarget adds a live target to the counts of its service.
func countLiveTarget(s *wire.ServiceStatus, m MachineStatus) {
	s.Live++
	if m.Weights == "" {
		return
	}
	if s.Versions == nil {
		s.Versions = map[contract.Digest]int{}
	}
	s.Versions[m.Weights]++
	if m.Weights == s.Weights {
		s.Deployed++
	}
}
