// Package fixed holds a settings.View that is written down directly, for
// benchmarks and for tests of packages that read settings.
package fixed

import (
	"sort"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings"
)

// View is the same in every region and zone, but for zones that are out.
type View struct {
	At contract.Offset
	// Out names the zones that operators have taken out.
	Out map[contract.ZoneName]bool
	// Deployed holds the services, Teams the teams; a team may call any service.
	Deployed map[contract.ServiceName]settings.ServiceSettings
	Teams    map[contract.TeamName]settings.TeamSettings
}

var _ settings.View = (*View)(nil)

// Offset implements settings.View.
func (v *View) Offset() contract.Offset {
	return v.At
}

// Zone implements settings.View.
func (v *View) Zone(_ contract.RegionName, zone contract.ZoneName) settings.ZoneSettings {
	return settings.ZoneSettings{Out: v.Out[zone]}
}

// Service implements settings.View.
func (v *View) Service(_ contract.RegionName, _ contract.ZoneName, service contract.ServiceName) (settings.ServiceSettings, bool) {
	s, ok := v.Deployed[service]
	return s, ok
}

// Team implements settings.View.
func (v *View) Team(_ contract.RegionName, _ contract.ZoneName, _ contract.ServiceName, team contract.TeamName) (settings.TeamSettings, bool) {
	t, ok := v.Teams[team]
	return t, ok
}

// Services implements settings.View.
func (v *View) Services() []contract.ServiceName {
	names := make([]contract.ServiceName, 0, len(v.Deployed))
	for name := range v.Deployed {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}
