package tree

import (
	"strconv"
	"sync"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/schema"
)

// View answers settings.View from a snapshot. It keeps what it has computed;
// only names that exist are kept, so that callers cannot fill its memory.
type View struct {
	tree     *Tree
	offset   contract.Offset
	computed sync.Map
}

var _ settings.View = (*View)(nil)

// NewView returns the view of a snapshot at an offset.
func NewView(snapshot *Tree, offset contract.Offset) *View {
	return &View{tree: snapshot, offset: offset}
}

// Offset implements settings.View.
func (v *View) Offset() contract.Offset {
	return v.offset
}

// Tree returns the snapshot.
func (v *View) Tree() *Tree {
	return v.tree
}

// Services implements settings.View.
func (v *View) Services() []contract.ServiceName {
	return v.tree.Services()
}

// place is a scope together with the region that the caller names.
type place struct {
	region contract.RegionName
	scope  settings.Scope
}

func newPlace(region contract.RegionName, scope settings.Scope) place {
	if scope.Zone == "" {
		scope.Region = region
	}
	return place{region: region, scope: scope}
}

// reader reads typed values along one chain.
type reader struct {
	tree  *Tree
	chain []settings.Scope
}

func (v *View) reader(p place) reader {
	region := p.region
	if known := v.tree.RegionOf(p.scope.Zone); known != "" {
		region = known
	}
	return reader{tree: v.tree, chain: p.scope.Chain(region)}
}

func (r reader) text(key settings.Key) string {
	return r.tree.along(r.chain, key).Value
}

func (r reader) flag(key settings.Key) bool {
	return r.text(key) == "true"
}

func (r reader) number(key settings.Key) int {
	n, _ := strconv.Atoi(r.text(key))
	return n
}

func (r reader) float(key settings.Key) float64 {
	x, _ := strconv.ParseFloat(r.text(key), 64)
	return x
}

func (r reader) duration(key settings.Key) time.Duration {
	d, _ := time.ParseDuration(r.text(key))
	return d
}

// Zone implements settings.View.
func (v *View) Zone(region contract.RegionName, zone contract.ZoneName) settings.ZoneSettings {
	p := newPlace(region, settings.Scope{Zone: zone})
	if kept, ok := v.computed.Load(p); ok {
		return kept.(settings.ZoneSettings)
	}
	z := settings.ZoneSettings{Out: v.reader(p).flag(schema.Out)}
	if v.tree.RegionOf(zone) != "" {
		v.computed.Store(p, z)
	}
	return z
}

// Service implements settings.View.
func (v *View) Service(region contract.RegionName, zone contract.ZoneName, service contract.ServiceName) (settings.ServiceSettings, bool) {
	if !v.tree.HasService(service) {
		return settings.ServiceSettings{}, false
	}
	p := newPlace(region, settings.Scope{Zone: zone, Service: service})
	if kept, ok := v.computed.Load(p); ok {
		return kept.(settings.ServiceSettings), true
	}
	s := v.reader(p).service()
	if v.tree.RegionOf(zone) != "" {
		v.computed.Store(p, s)
	}
	return s, true
}

func (r reader) service() settings.ServiceSettings {
	s := settings.ServiceSettings{
		Kind:        settings.ServiceKind(r.text(schema.ServiceKind)),
		Weights:     contract.Digest(r.text(schema.Weights)),
		Former:      contract.Digest(r.text(schema.Former)),
		Adapters:    schema.List(r.text(schema.Adapters)),
		ModelRole:   r.text(schema.ModelRole),
		Priority:    r.number(schema.Priority),
		MaxRunning:  r.number(schema.MaxRunning),
		ColdRunning: r.number(schema.ColdRunning),
		SlowStart:   r.duration(schema.SlowStart),
		QueueLength: r.number(schema.QueueLength),
		RetryShare:  r.float(schema.RetryShare),
		MinReady:    r.float(schema.MinReady),
		MaxFailures: r.number(schema.MaxFailures),
		Spill:       r.flag(schema.Spill),
	}
	s.ColdRunning = min(s.ColdRunning, s.MaxRunning)
	return s
}

// Team implements settings.View.
func (v *View) Team(region contract.RegionName, zone contract.ZoneName, service contract.ServiceName, team contract.TeamName) (settings.TeamSettings, bool) {
	if !v.tree.HasTeam(team) {
		return settings.TeamSettings{}, false
	}
	p := newPlace(region, settings.Scope{Zone: zone, Service: service, Team: team})
	if kept, ok := v.computed.Load(p); ok {
		return kept.(settings.TeamSettings), true
	}
	r := v.reader(p)
	t := settings.TeamSettings{
		Share:       r.float(schema.Share),
		RetryShare:  r.float(schema.TeamRetries),
		MaxPriority: r.number(schema.MaxPriority),
	}
	if v.tree.RegionOf(zone) != "" && v.tree.HasService(service) {
		v.computed.Store(p, t)
	}
	return t, true
}
