package follow

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings/follow/spread"
	"mimosastand.example/mimosastand/zone/hostlist"
)

// auditGap is the mean time between two audits of the log in one zone.
const auditGap = 500 * time.Millisecond

// Duty returns how closely a machine is to follow the log itself. The first n of
// its zone by rendezvous hashing tail it, the rest take turns at auditing it.
// Both are drawn from the zone's live entry hosts, or from its targets if it has
// no entry host. A machine that the list does not name tails, because its peers
// may not know it either.
func Duty(hosts []hostlist.Host, machine contract.MachineID, zone contract.ZoneName, n int) spread.Tailing {
	var entries, targets []contract.MachineID
	listed := false
	for _, h := range hosts {
		listed = listed || h.Machine == machine
		if h.Zone != zone || h.State != hostlist.Live {
			continue
		}
		if h.Role == hostlist.Entry {
			entries = append(entries, h.Machine)
		} else {
			targets = append(targets, h.Machine)
		}
	}
	if !listed {
		return spread.Tailing{On: true}
	}
	if len(entries) == 0 {
		entries = targets
	}
	return dutyAmong(entries, machine, n)
}

func dutyAmong(members []contract.MachineID, machine contract.MachineID, n int) spread.Tailing {
	sort.Slice(members, func(i, j int) bool {
		a, b := weight(members[i]), weight(members[j])
		return a > b || a == b && members[i] < members[j]
	})
	for i, m := range members {
		if m == machine {
			return spread.Tailing{On: i < n, Audit: time.Duration(len(members)) * auditGap}
		}
	}
	return spread.Tailing{}
}

func weight(m contract.MachineID) uint64 {
	return xxhash.Sum64String("settings-tail/" + string(m))
}
