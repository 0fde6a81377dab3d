package hostlist

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
)

// Change is the difference between two versions of the host list.
type Change struct {
	Version uint64 `json:"version"`
	// BaseVersion is the version that the change applies to; 0 means that Hosts is the
	// complete list.
	BaseVersion uint64               `json:"after"`
	Hosts       []Host               `json:"hosts"`
	Removed     []contract.MachineID `json:"gone,omitempty"`
}

// Apply returns the list after a change, sorted by machine. It returns l and
// durable.ErrProtocol if the change applies to another version than that of l or leads to
// an older one. A change that leads to the version of l has no effect.
func (l List) Apply(change Change) (List, error) {
	if change.BaseVersion != 0 && change.BaseVersion != l.Version {
		return l, errors.Wrapf(durable.ErrProtocol, "change from version %d, have %d", change.BaseVersion, l.Version)
	}
	if change.BaseVersion != 0 && change.Version < l.Version {
		return l, errors.Wrapf(durable.ErrProtocol, "change to version %d, have %d", change.Version, l.Version)
	}
	if change.BaseVersion != 0 && change.Version == l.Version {
		return l, nil
	}
	merged := map[contract.MachineID]Host{}
	if change.BaseVersion != 0 {
		for _, h := range l.Hosts {
			merged[h.Machine] = h
		}
	}
	for _, h := range change.Hosts {
		merged[h.Machine] = h
	}
	for _, machine := range change.Removed {
		delete(merged, machine)
	}
	return List{Version: change.Version, Hosts: sortHosts(merged)}, nil
}

// sortHosts returns the hosts sorted by machine.
func sortHosts(hosts map[contract.MachineID]Host) []Host {
	sorted := make([]Host, 0, len(hosts))
	for _, h := range hosts {
		sorted = append(sorted, h)
	}
	slices.SortFunc(sorted, func(a, b Host) int { return strings.Compare(string(a.Machine), string(b.Machine)) })
	return sorted
}

// ChangeSince returns the change from an older list to l.
func (l List) ChangeSince(older List) Change {
	change := Change{Version: l.Version, BaseVersion: older.Version, Hosts: []Host{}}
	olderHosts := make(map[contract.MachineID]Host, len(older.Hosts))
	for _, h := range older.Hosts {
		olderHosts[h.Machine] = h
	}
	for _, h := range l.Hosts {
		if previous, ok := olderHosts[h.Machine]; !ok || previous != h {
			change.Hosts = append(change.Hosts, h)
		}
		delete(olderHosts, h.Machine)
	}
	for _, h := range sortHosts(olderHosts) {
		change.Removed = append(change.Removed, h.Machine)
	}
	return change
}
