package placement

import (
	"fmt"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/roster"
)

// slotFleet returns the pools of entries that share the slots of engines with four slots each.
func slotFleet(entries, engines int) (pools []*Pool, members []*roster.Member, ids []contract.MachineID) {
	for i := range engines {
		members = append(members, engineMember(fmt.Sprintf("engine-%02d", i), "a"))
	}
	for i := range entries {
		ids = append(ids, contract.MachineID(fmt.Sprintf("entry-%02d", i)))
	}
	for _, id := range ids {
		p := newPool(members...)
		p.SetEntryCount(entries)
		p.ShareSlots(id, ids)
		pools = append(pools, p)
	}
	return pools, members, ids
}

// Guards the sum of what the owners of slots send: they own exactly the slots of each engine, and
// entries with the same demand own the same number, within two.
func TestOwnersDivideAllSlots(t *testing.T) {
	for _, size := range [][2]int{{2, 3}, {3, 3}, {9, 12}, {44, 34}, {78, 45}} {
		pools, members, _ := slotFleet(size[0], size[1])
		least, most := 1<<30, 0
		perEngine := map[roster.TargetID]int{}
		for _, p := range pools {
			total := 0
			for _, m := range members {
				perEngine[m.ID] += len(p.slots.of(m.ID))
				total += len(p.slots.of(m.ID))
			}
			least, most = min(least, total), max(most, total)
		}
		for id, n := range perEngine {
			if n != 4 {
				t.Errorf("%v: %d slots of %s have owners, want 4", size, n, id)
			}
		}
		if most-least > 2 {
			t.Errorf("%v: entries own between %d and %d slots, want at most 2 apart", size, least, most)
		}
	}
}

// Guards against entries whose member lists differ by one entry overfilling engines: few slots have
// two owners.
func TestDifferentMemberListsOverlapLittle(t *testing.T) {
	const entries, engines = 44, 34
	pools, members, ids := slotFleet(entries, engines)
	overlap := 0
	for i, p := range pools[1:] {
		if i%2 == 0 {
			p.ShareSlots(ids[i+1], ids[1:])
		}
	}
	for _, m := range members {
		owners := 0
		for _, p := range pools {
			owners += len(p.slots.of(m.ID))
		}
		overlap += max(owners-4, 0)
		if owners > 4+2 {
			t.Errorf("%d slots of %s have owners, want at most 6 of 4", owners, m.ID)
		}
	}
	if most := 2 * engines * 4 / entries; overlap > most {
		t.Errorf("%d slots have a second owner, want at most %d", overlap, most)
	}
}

// Guards the rule for slots: an entry uses its own at an engine that counts as full, no more than it
// owns, and those of others only if there is much room or once it knows what their owners use.
func TestSlotRules(t *testing.T) {
	pools, members, _ := slotFleet(2, 1)
	p, r := pools[0], roster.New(0)
	r.Update(start, members[0].Target, time.Time{})
	p.SetMembers(start, r.Members(""))
	now := start
	report := func(load int) {
		r.Report(now, members[0].Address, 0, roster.Status{Version: 1, Ready: true, Load: load, HasLoad: true})
	}
	report(0)
	pick := func() Refusal {
		c, outcome := p.Pick(now, Requirements{}, 300*time.Millisecond)
		if outcome == Placed {
			p.Sent(now, c.ID)
		}
		return outcome
	}
	now = now.Add(time.Minute)
	report(4)
	if got := []Refusal{pick(), pick(), pick()}; got[0] != Placed || got[1] != Placed || got[2] != Full {
		t.Errorf("Pick() = %v at a full engine of which the entry owns 2 slots, want 2 placed and one refused", got)
	}
	now = now.Add(time.Second)
	report(0)
	if got := pick(); got != Placed {
		t.Errorf("Pick() = %v for a slot of another entry at an idle engine, want Placed", got)
	}
	now = now.Add(2 * time.Second)
	if got := pick(); got != Full {
		t.Errorf("Pick() = %v for a slot of another entry at an engine of unknown load, want Full", got)
	}
	alone := newPool(members...)
	alone.ShareSlots("entry-00", []contract.MachineID{})
	for i, want := range []Refusal{Placed, Full} {
		c, got := alone.Pick(now, Requirements{}, 300*time.Millisecond)
		if got != want {
			t.Errorf("attempt %d of an entry that knows no others and no loads: Pick() = %v, want %v", i, got, want)
		}
		alone.Sent(now, c.ID)
	}
}

// Guards the bound on what a cold target gets from all entries together, one included that the others
// do not know, while the owners of its slots have larger parts than equal ones.
func TestOwnersKeepColdLimit(t *testing.T) {
	const total = 26
	for _, entries := range []int{2, 3, 9, 44, 78} {
		pools, members, ids := slotFleet(entries, 5)
		others := ids[1:]
		for _, m := range members {
			sum, owners := 0, 0
			for i, p := range pools {
				known := others
				if i == 0 {
					known = ids
				}
				p.SetColdShares(ColdShares{EntryShares: EntryShares{Self: ids[i], Entries: known, ShareCount: len(known) + 1}, TotalLimit: total})
				p.ShareSlots(ids[i], known)
				limit, ok := p.ownerColdLimit(start.Add(time.Hour), m)
				if !ok {
					limit = p.coldShares.ColdLimit(start.Add(time.Hour), m.ID)
				}
				sum += limit
				if limit > 0 {
					owners++
				}
			}
			if sum > total || owners == 0 {
				t.Errorf("%d entries: %d may send %d requests a second to a cold target, want at most %d", entries, owners, sum, total)
			}
		}
	}
}
