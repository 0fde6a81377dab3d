package follow

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/platform"
)

// Tails reports whether a machine is one of the n of its zone that tail the
// log: the first by rendezvous hashing among the zone's live entry hosts, or
// among its targets if it has no entry host. A machine that the list does not
// name tails, because its peers may not know it either.
func Tails(hosts []platform.Host, machine contract.MachineID, zone contract.ZoneName, n int) bool {
	var entries, targets []contract.MachineID
	listed := false
	for _, h := range hosts {
		listed = listed || h.Machine == machine
		if h.Zone != zone || h.State != platform.HostLive {
			continue
		}
		if h.Role == platform.HostEntry {
			entries = append(entries, h.Machine)
		} else {
			targets = append(targets, h.Machine)
		}
	}
	if !listed {
		return true
	}
	if len(entries) == 0 {
		entries = targets
	}
	return isAmongFirst(entries, machine, n)
}

func isAmongFirst(members []contract.MachineID, machine contract.MachineID, n int) bool {
	sort.Slice(members, func(i, j int) bool {
		a, b := weight(members[i]), weight(members[j])
		return a > b || a == b && members[i] < members[j]
	})
	for _, m := range members[:min(n, len(members))] {
		if m == machine {
			return true
		}
	}
	return false
}

func weight(m contract.MachineID) uint64 {
	return xxhash.Sum64String("settings-tail/" + string(m))
}
