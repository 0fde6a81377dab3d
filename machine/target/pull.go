package target

import (
	"context"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/hostlist"
)

// pullSettings asks one peer for settings records: a connected entry host, or
// else a target of the zone. Successive calls ask different ones.
func (p *peers) pullSettings(ctx context.Context, after contract.Offset) (contract.SettingsRecords, error) {
	pull := contract.Message{Kind: contract.KindSettingsPull, SettingsPull: &contract.SettingsPull{After: after}}
	last := error(errPeer)
	for _, machine := range p.settingsSources() {
		c, err := p.connect(ctx, machine)
		if err == nil {
			var reply contract.Message
			reply, err = call(ctx, c, pull)
			if err == nil && reply.Kind == contract.KindSettingsRecords {
				return *reply.SettingsRecords, nil
			}
		}
		if err != nil {
			last = err
		}
	}
	return contract.SettingsRecords{}, last
}

// settingsSources returns the next few peers to ask for settings.
func (p *peers) settingsSources() []contract.MachineID {
	var list []contract.MachineID
	for _, h := range p.hostList() {
		if h.Machine == p.self || h.Zone != p.zone {
			continue
		}
		if h.Role == hostlist.Target || p.connected(h.Machine) {
			list = append(list, h.Machine)
		}
	}
	if len(list) == 0 {
		return nil
	}
	p.mu.Lock()
	p.turn++
	turn := p.turn
	p.mu.Unlock()
	var picked []contract.MachineID
	for i := range min(maxSettingPulls, len(list)) {
		picked = append(picked, list[(turn+i)%len(list)])
	}
	return picked
}

func (p *peers) connected(machine contract.MachineID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.known[machine]
	return v != nil && v.conn != nil && v.conn.Err() == nil
}
