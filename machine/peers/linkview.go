package peers

import (
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
)

// manyMembers is the number of members beyond which an entry links to the targets of
// its own region only: handshakes and heartbeats of all entries with all targets fill
// the links between regions.
const manyMembers = 60

// linkView is what decides which peers a process links to.
type linkView struct {
	self  Member
	known map[contract.MachineID]Member
	// linked are the zones of which an entry is linked. While the process is young
	// links are still being made.
	linked map[contract.ZoneName]bool
	young  bool
}

// wanted lists the peers to link to, with their addresses.
func (v linkView) wanted() map[contract.MachineID]string {
	wanted := map[contract.MachineID]string{}
	for id, m := range v.known {
		if dials(v.self, m) && v.near(m) {
			wanted[id] = m.Address
		}
	}
	return wanted
}

// near reports whether a peer is near enough for a link. In a large fleet targets of
// other regions are left to the entries there; if none of these is linked, one entry
// of each zone links to the targets.
func (v linkView) near(m Member) bool {
	if m.Role != link.RoleTarget || m.Region == v.self.Region || len(v.known) <= manyMembers {
		return true
	}
	return !v.young && !v.linked[m.Zone] && v.firstOfZone()
}

// firstOfZone reports whether self is the first entry of its zone, by machine.
func (v linkView) firstOfZone() bool {
	for _, m := range v.known {
		if m.Role == link.RoleEntry && m.Zone == v.self.Zone && m.Machine < v.self.Machine {
			return false
		}
	}
	return true
}

// dials reports whether self makes the link to other: entries link to targets
// and to each other, and of two entries the lower name dials.
func dials(self, other Member) bool {
	if self.Role != link.RoleEntry || self.Machine == other.Machine {
		return false
	}
	return other.Role == link.RoleTarget || self.Machine < other.Machine
}
