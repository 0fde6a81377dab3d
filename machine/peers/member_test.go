package peers

import (
	"fmt"
	"testing"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
)

// fleetOf is a fleet of three zones, each a region, with the given numbers in a zone.
func fleetOf(entries, targets int) map[contract.MachineID]Member {
	known := map[contract.MachineID]Member{}
	add := func(role link.Role, zone string, n int) {
		id := contract.MachineID(fmt.Sprintf("%s-%s-%02d", role, zone, n))
		known[id] = Member{Machine: id, Role: role, Zone: contract.ZoneName(zone), Region: contract.RegionName("r" + zone), Address: "a"}
	}
	for _, zone := range []string{"a", "b", "c"} {
		for n := range entries {
			add(link.RoleEntry, zone, n)
		}
		for n := range targets {
			add(link.RoleTarget, zone, n)
		}
	}
	return known
}

func targetsOf(wanted map[contract.MachineID]string, known map[contract.MachineID]Member) map[contract.ZoneName]int {
	n := map[contract.ZoneName]int{}
	for id := range wanted {
		if m := known[id]; m.Role == link.RoleTarget {
			n[m.Zone]++
		}
	}
	return n
}

// In a fleet of 113 the links of all entries with all targets filled the links between
// regions with handshakes, each failed one followed by the next.
func TestLargeFleetsLinkTargetsWithinTheRegion(t *testing.T) {
	known := fleetOf(13, 25)
	all := map[contract.ZoneName]bool{"a": true, "b": true, "c": true}
	for name, c := range map[string]struct {
		self   contract.MachineID
		linked map[contract.ZoneName]bool
		young  bool
		farB   int
	}{
		"calm":                          {"entry-a-00", all, false, 0},
		"starting":                      {"entry-a-00", nil, true, 0},
		"zone without entries, first":   {"entry-a-00", map[contract.ZoneName]bool{"a": true, "c": true}, false, 25},
		"zone without entries, another": {"entry-a-01", map[contract.ZoneName]bool{"a": true, "c": true}, false, 0},
	} {
		v := linkView{self: known[c.self], known: known, linked: c.linked, young: c.young}
		got := targetsOf(v.wanted(), known)
		if got["a"] != 25 || got["b"] != c.farB || got["c"] != 0 {
			t.Errorf("%s: targets linked by zone: %v", name, got)
		}
	}
}

func TestSmallFleetsLinkAllTargets(t *testing.T) {
	known := fleetOf(3, 7)
	v := linkView{self: known["entry-b-01"], known: known}
	if got := targetsOf(v.wanted(), known); got["a"] != 7 || got["b"] != 7 || got["c"] != 7 {
		t.Errorf("targets linked by zone: %v", got)
	}
}
