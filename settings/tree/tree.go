// Package tree holds the tree of settings: values at scopes, what a scope
// inherits and from where, and the tree's INI form.
//
// A value that is set at several scopes of a chain is taken from the most
// specific one: team before service before zone before region before defaults;
// scopes that name more than one level, such as zone and service, override
// those that name only the lower one.
package tree

import (
	"maps"
	"sort"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/schema"
)

// Entry is what a scope holds for a key.
type Entry struct {
	Value string
	// Offset is the record that set the value.
	Offset contract.Offset
	// Unset marks a removed value; it is kept so that a change with an older
	// base still meets it as a conflict.
	Unset bool
}

type node map[settings.Key]Entry

// Tree maps scopes to values. Set must not be called concurrently with any
// other method; a snapshot never changes.
type Tree struct {
	nodes map[settings.Scope]node
}

// New returns an empty tree.
func New() *Tree {
	return &Tree{nodes: map[settings.Scope]node{}}
}

// Snapshot returns an immutable copy. Nodes are shared, because Set replaces a
// node instead of changing it.
func (t *Tree) Snapshot() *Tree {
	return &Tree{nodes: maps.Clone(t.nodes)}
}

// Set applies one checked change made by the record at offset.
func (t *Tree) Set(c settings.Change, offset contract.Offset) {
	n := maps.Clone(t.nodes[c.Scope])
	if n == nil {
		n = node{}
	}
	n[c.Key] = Entry{Value: c.Value, Offset: offset, Unset: c.Unset}
	t.nodes[c.Scope] = n
}

// Forget drops the marks of values that were removed before offset.
func (t *Tree) Forget(c settings.Change, before contract.Offset) {
	n := t.nodes[c.Scope]
	if e, ok := n[c.Key]; !ok || !e.Unset || e.Offset >= before {
		return
	}
	n = maps.Clone(n)
	delete(n, c.Key)
	if len(n) == 0 {
		delete(t.nodes, c.Scope)
		return
	}
	t.nodes[c.Scope] = n
}

// At returns what a scope itself holds for a key, removed values included.
func (t *Tree) At(s settings.Scope, key settings.Key) (Entry, bool) {
	e, ok := t.nodes[s][key]
	return e, ok
}

// Effective is a value with its origin.
type Effective struct {
	Key   settings.Key
	Value string
	// Origin is the scope that sets the value; it has no meaning if BuiltIn.
	Origin settings.Scope
	// BuiltIn tells that no scope sets the key, so that the schema's default holds.
	BuiltIn bool
	// Offset is the record that set the value.
	Offset contract.Offset
}

// Effective returns the value that holds for a scope.
func (t *Tree) Effective(s settings.Scope, key settings.Key) Effective {
	return t.along(s.Chain(t.RegionOf(s.Zone)), key)
}

func (t *Tree) along(chain []settings.Scope, key settings.Key) Effective {
	for _, scope := range chain {
		if e, ok := t.nodes[scope][key]; ok && !e.Unset {
			return Effective{Key: key, Value: e.Value, Origin: scope, Offset: e.Offset}
		}
	}
	f, _ := schema.Lookup(key)
	return Effective{Key: key, Value: f.Default, BuiltIn: true}
}

// RegionOf returns the region of a zone, or "" if the zone is not known.
func (t *Tree) RegionOf(zone contract.ZoneName) contract.RegionName {
	e, ok := t.nodes[settings.Scope{Zone: zone}][schema.Region]
	if !ok || e.Unset {
		return ""
	}
	return contract.RegionName(e.Value)
}

// Changes lists all set values as changes, general scopes first, keys in
// lexical order.
func (t *Tree) Changes() []settings.Change {
	var all []settings.Change
	t.Each(func(s settings.Scope, key settings.Key, e Entry) {
		if !e.Unset {
			all = append(all, settings.Change{Scope: s, Key: key, Value: e.Value})
		}
	})
	return all
}

// Each calls f for every entry, removed values included, in a fixed order.
func (t *Tree) Each(f func(settings.Scope, settings.Key, Entry)) {
	for _, s := range t.scopes() {
		n := t.nodes[s]
		keys := make([]settings.Key, 0, len(n))
		for key := range n {
			keys = append(keys, key)
		}
		sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
		for _, key := range keys {
			f(s, key, n[key])
		}
	}
}

func (t *Tree) scopes() []settings.Scope {
	list := make([]settings.Scope, 0, len(t.nodes))
	for s := range t.nodes {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Less(list[j]) })
	return list
}

// Zones lists the zones that exist, in lexical order.
func (t *Tree) Zones() []contract.ZoneName {
	var zones []contract.ZoneName
	for s := range t.nodes {
		if s == (settings.Scope{Zone: s.Zone}) && t.RegionOf(s.Zone) != "" {
			zones = append(zones, s.Zone)
		}
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i] < zones[j] })
	return zones
}

// Services lists the services that exist, in lexical order.
func (t *Tree) Services() []contract.ServiceName {
	var names []contract.ServiceName
	for s := range t.nodes {
		if t.HasService(s.Service) && s == (settings.Scope{Service: s.Service}) {
			names = append(names, s.Service)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// HasService reports whether a service exists.
func (t *Tree) HasService(name contract.ServiceName) bool {
	e, ok := t.nodes[settings.Scope{Service: name}][schema.ServiceKind]
	return name != "" && ok && !e.Unset
}

// HasTeam reports whether a team exists: its own section sets its share.
func (t *Tree) HasTeam(name contract.TeamName) bool {
	e, ok := t.nodes[settings.Scope{Team: name}][schema.Share]
	return name != "" && ok && !e.Unset
}

// Teams lists the teams that exist, in lexical order.
func (t *Tree) Teams() []contract.TeamName {
	var names []contract.TeamName
	for s := range t.nodes {
		if t.HasTeam(s.Team) && s == (settings.Scope{Team: s.Team}) {
			names = append(names, s.Team)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}
