package spread

import (
	"mimosastand.example/mimosastand/contract"
)

// Serve answers a peer's pull.
func (m *Machine) Serve(pull contract.SettingsPull) contract.SettingsRecords {
	var reply contract.SettingsRecords
	if m.ready {
		reply.Newest = m.state.Offset()
	}
	if pull.After >= m.state.Offset() {
		return reply
	}
	if records, ok := m.recent.after(pull.After); ok {
		reply.First, reply.Records = pull.After+1, records
		return reply
	}
	data, err := encodeCheckpoint(m.state)
	if err != nil {
		return reply
	}
	reply.Checkpoint, reply.First = data, m.state.Offset()+1
	return reply
}
