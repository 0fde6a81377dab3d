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
	s.answer(ctx, wire.Status{
		Machine: s.opts.Machine, Ready: s.opts.Follower.Ready(), Offset: view.Offset(),
		Spread:   spreadOf(machines, view.Offset()),
		Zones:    zonesOf(machines, view),
		Services: servicesOf(machines, view),
	})
}

func spreadOf(machines []MachineStatus, own contract.Offset) wire.Spread {
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

func number(t *tree.Tree, s settings.Scope, key settings.Key) int {
	n, _ := strconv.Atoi(t.Effective(s, key).Value)
	return n
}

func zonesOf(machines []MachineStatus, view *tree.View) []wire.ZoneStatus {
	list := []wire.ZoneStatus{}
	for _, zone := range view.Tree().Zones() {
		region := view.Tree().RegionOf(zone)
		z := wire.ZoneStatus{Zone: zone, Region: region, Evacuated: view.Zone(region, zone).Out}
		z.ExpectedEntries = number(view.Tree(), settings.Scope{Zone: zone}, schema.Entries)
		for _, m := range machines {
			if m.Zone == zone && m.Service != "" {
				addTarget(&z, m)
			}
		}
		list = append(list, z)
	}
	return list
}

func addTarget(z *wire.ZoneStatus, m MachineStatus) {
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

func servicesOf(machines []MachineStatus, view *tree.View) []wire.ServiceStatus {
	list := []wire.ServiceStatus{}
	for _, name := range view.Services() {
		settled, _ := view.Service("", "", name)
		s := wire.ServiceStatus{Service: name, Kind: string(settled.Kind), Weights: settled.Weights, Former: settled.Former}
		s.Expected = number(view.Tree(), settings.Scope{Service: name}, schema.Targets)
		for _, m := range machines {
			if m.Service == name && !m.Silent && !m.Leaving {
				addVersion(&s, m)
			}
		}
		list = append(list, s)
	}
	return list
}

func addVersion(s *wire.ServiceStatus, m MachineStatus) {
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
