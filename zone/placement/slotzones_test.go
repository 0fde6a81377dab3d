package placement

import (
	"testing"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/roster"
)

// Guards against slots that are owned across regions, whose answers fill the links between them, and against
// entries that own nothing since their zone has no targets or is evacuated.
func TestSlotsAreOwnedInZoneOfTarget(t *testing.T) {
	members := []*roster.Member{engineMember("a1", "a"), engineMember("a2", "a"), engineMember("b1", "b"), engineMember("b2", "b")}
	zones := map[contract.MachineID]contract.ZoneName{"e1": "a", "e2": "a", "e3": "b", "e4": "b", "e5": "c"}
	ids := []contract.MachineID{"e1", "e2", "e3", "e4", "e5"}
	owned := func(evacuated contract.ZoneName) map[contract.MachineID]map[contract.ZoneName]int {
		counts := map[contract.MachineID]map[contract.ZoneName]int{}
		for _, id := range ids {
			p := newPool(members...)
			p.SetColdShares(ColdShares{EntryShares: EntryShares{Self: id, Entries: ids, Zones: zones}})
			p.SetEvacuated(map[contract.ZoneName]bool{evacuated: true})
			p.ShareSlots(id, ids)
			counts[id] = map[contract.ZoneName]int{}
			for _, m := range members {
				counts[id][m.Zone] += len(p.slots.of(m.ID))
			}
		}
		return counts
	}
	for id, n := range owned("") {
		if zone := zones[id]; zone != "c" && (n[zone] == 0 || n["a"]+n["b"] != n[zone]) || n["a"]+n["b"] == 0 {
			t.Errorf("%s in zone %s owns %d slots in a and %d in b", id, zone, n["a"], n["b"])
		}
	}
	for id, n := range owned("b") {
		if n["a"] == 0 || n["b"] != 0 {
			t.Errorf("with zone b evacuated %s owns %d slots in a and %d in b, want some and none", id, n["a"], n["b"])
		}
	}
}
