package peers

import (
	"fmt"
	"testing"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
)

// newFleet returns the members of three zones, each in a region of its own, with the
// given numbers of entries and targets per zone.
func newFleet(entries, targets int) map[contract.MachineID]Member {
	members := map[contract.MachineID]Member{}
	add := func(role link.Role, zone string, n int) {
		id := contract.MachineID(fmt.Sprintf("%s-%s-%02d", role, zone, n))
		members[id] = Member{Machine: id, Role: role, Zone: contract.ZoneName(zone), Region: contract.RegionName("r" + zone), Address: "a"}
	}
	for _, zone := range []string{"a", "b", "c"} {
		for n := range entries {
			add(link.RoleEntry, zone, n)
		}
		for n := range targets {
			add(link.RoleTarget, zone, n)
		}
	}
	return members
}

// targetsByZone counts the targets among the addresses per zone.
func targetsByZone(addresses map[contract.MachineID]string, members map[contract.MachineID]Member) map[contract.ZoneName]int {
	count := map[contract.ZoneName]int{}
	for id := range addresses {
		if m := members[id]; m.Role == link.RoleTarget {
			count[m.Zone]++
		}
	}
	return count
}

// Guards against links from all entries to all targets: in a fleet of 113 members their
// handshakes saturated the links between regions, and each failed one was followed by
// another.
func TestLargeFleetLinksTargetsOfOwnRegion(t *testing.T) {
	members := newFleet(13, 25)
	allZones := map[contract.ZoneName]bool{"a": true, "b": true, "c": true}
	for name, c := range map[string]struct {
		self        contract.MachineID
		linkedZones map[contract.ZoneName]bool
		starting    bool
		wantB       int
	}{
		"all zones linked":              {"entry-a-00", allZones, false, 0},
		"starting":                      {"entry-a-00", nil, true, 0},
		"zone without entries, first":   {"entry-a-00", map[contract.ZoneName]bool{"a": true, "c": true}, false, 25},
		"zone without entries, another": {"entry-a-01", map[contract.ZoneName]bool{"a": true, "c": true}, false, 0},
	} {
		policy := linkPolicy{self: members[c.self], members: members, linkedZones: c.linkedZones, starting: c.starting}
		got := targetsByZone(policy.desiredLinks(), members)
		if got["a"] != 25 || got["b"] != c.wantB || got["c"] != 0 {
			t.Errorf("%s: targets linked by zone = %v, want 25 in a, %d in b and 0 in c", name, got, c.wantB)
		}
	}
}

func TestSmallFleetLinksAllTargets(t *testing.T) {
	members := newFleet(3, 7)
	policy := linkPolicy{self: members["entry-b-01"], members: members}
	if got := targetsByZone(policy.desiredLinks(), members); got["a"] != 7 || got["b"] != 7 || got["c"] != 7 {
		t.Errorf("targets linked by zone = %v, want 7 in each of a, b and c", got)
	}
}
