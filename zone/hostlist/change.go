package hostlist

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
)

// Change is what changed in the host list from one version to another.
type Change struct {
	Version uint64 `json:"version"`
	// After is the version that the change starts from; 0 means that Hosts is
	// the whole list.
	BaseVersion uint64               `json:"after"`
	Hosts       []Host               `json:"hosts"`
	Removed     []contract.MachineID `json:"gone,omitempty"`
}

// Apply returns the list after a change, sorted by machine. It fails with
// durable.ErrProtocol, and returns l, if the change starts from another version or goes
// back.
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

func sortHosts(set map[contract.MachineID]Host) []Host {
	hosts := make([]Host, 0, len(set))
	for _, h := range set {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(string(a.Machine), string(b.Machine)) })
	return hosts
}

// Since returns the change from an older list to l.
func (l List) ChangeSince(older List) Change {
	change := Change{Version: l.Version, BaseVersion: older.Version, Hosts: []Host{}}
	former := make(map[contract.MachineID]Host, len(older.Hosts))
	for _, h := range older.Hosts {
		former[h.Machine] = h
	}
	for _, h := range l.Hosts {
		if was, ok := former[h.Machine]; !ok || was != h {
			change.Hosts = append(change.Hosts, h)
		}
		delete(former, h.Machine)
	}
	for _, h := range sortHosts(former) {
		change.Removed = append(change.Removed, h.Machine)
	}
	return change
}
