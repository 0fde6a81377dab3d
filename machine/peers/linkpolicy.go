package peers

import (
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
)

// maxMembersForRemoteTargets is the number of members beyond which an entry links only to
// the targets of its own region: otherwise the handshakes and heartbeats of all entries
// with all targets would saturate the links between regions.
const maxMembersForRemoteTargets = 60

// linkPolicy decides which peers a process links to.
type linkPolicy struct {
	self    Member
	members map[contract.MachineID]Member
	// linkedZones are the zones that have a linked entry. starting means that the process
	// started a short time ago and its links are still being established.
	linkedZones map[contract.ZoneName]bool
	starting    bool
}

// desiredLinks returns the addresses of the peers to link to.
func (p linkPolicy) desiredLinks() map[contract.MachineID]string {
	addresses := map[contract.MachineID]string{}
	for id, m := range p.members {
		if shouldDial(p.self, m) && p.allowsLink(m) {
			addresses[id] = m.Address
		}
	}
	return addresses
}

// allowsLink reports whether the process may link to a peer. In a large fleet an entry
// leaves the targets of other regions to the entries of their zones. Once the links are
// established, the first entry of each zone also links to the targets of the zones that
// have no linked entry.
func (p linkPolicy) allowsLink(m Member) bool {
	if m.Role != link.RoleTarget || m.Region == p.self.Region || len(p.members) <= maxMembersForRemoteTargets {
		return true
	}
	return !p.starting && !p.linkedZones[m.Zone] && p.isFirstInZone()
}

// isFirstInZone reports whether self is the first entry of its zone by machine name.
func (p linkPolicy) isFirstInZone() bool {
	for _, m := range p.members {
		if m.Role == link.RoleEntry && m.Zone == p.self.Zone && m.Machine < p.self.Machine {
			return false
		}
	}
	return true
}

// shouldDial reports whether self is the one that dials other. Entries dial targets; of
// two entries the one with the lower machine name dials.
func shouldDial(self, other Member) bool {
	if self.Role != link.RoleEntry || self.Machine == other.Machine {
		return false
	}
	return other.Role == link.RoleTarget || self.Machine < other.Machine
}
