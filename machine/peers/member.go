// Package peers finds the system's other processes through the platform's store
// and keeps links to them.
//
// Each process makes a key when it starts and publishes its address and the
// fingerprint of its certificate. It accepts exactly the peers whose fingerprint
// stands in the store: who may write there is who may join.
package peers

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
)

// ErrMember marks a record that names no member.
var ErrMember = errors.New("peers: malformed member")

// Member is one process of the system.
type Member struct {
	Machine contract.MachineID  `json:"machine"`
	Role    link.Role           `json:"role"`
	Zone    contract.ZoneName   `json:"zone"`
	Region  contract.RegionName `json:"region"`
	// Address is the UDP address of the member's links.
	Address     string           `json:"address"`
	Fingerprint link.Fingerprint `json:"fingerprint"`
}

func (m Member) encode() ([]byte, error) {
	data, err := json.Marshal(m)
	return data, errors.Wrap(err, "peers: encode member")
}

func decodeMember(key string, data []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(data, &m); err != nil {
		return Member{}, errors.Mark(errors.Wrapf(err, "member %s", key), ErrMember)
	}
	if string(m.Machine) != key || m.Address == "" || m.Fingerprint == "" {
		return Member{}, errors.Wrapf(ErrMember, "member %s: fields are missing", key)
	}
	return m, nil
}

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
