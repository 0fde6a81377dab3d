package peers

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
)

// ErrMalformedMember marks a record that does not describe a member.
var ErrMalformedMember = errors.New("peers: malformed member record")

// Member describes one process of the system, as published in its member record.
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
		return Member{}, errors.Mark(errors.Wrapf(err, "member %s", key), ErrMalformedMember)
	}
	if string(m.Machine) != key || m.Address == "" || m.Fingerprint == "" {
		return Member{}, errors.Wrapf(ErrMalformedMember, "member %s: address or fingerprint is missing, or machine differs from the key", key)
	}
	return m, nil
}
