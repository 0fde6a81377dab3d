package target

import (
	"context"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/hostlist"
)

// pullSettings requests settings records from targets and connected entry hosts of the zone
// and returns the first reply. It tries up to maxSettingsPeers of them, starting with a
// different one on each call.
func (p *peers) pullSettings(ctx context.Context, after contract.Offset) (contract.SettingsRecords, error) {
	pull := contract.Message{Kind: contract.KindSettingsPull, SettingsPull: &contract.SettingsPull{After: after}}
	lastErr := error(errPeerFailed)
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
			lastErr = err
		}
	}
	return contract.SettingsRecords{}, lastErr
}

// settingsSources returns the peers to request settings from, in the order to try them.
func (p *peers) settingsSources() []contract.MachineID {
	var list []contract.MachineID
	for _, h := range p.hostList() {
		if h.Machine == p.self || h.Zone != p.zone {
			continue
		}
		if h.Role == hostlist.Target || p.isConnected(h.Machine) {
			list = append(list, h.Machine)
		}
	}
	if len(list) == 0 {
		return nil
	}
	p.mu.Lock()
	p.nextSource++
	first := p.nextSource
	p.mu.Unlock()
	var picked []contract.MachineID
	for i := range min(maxSettingsPeers, len(list)) {
		picked = append(picked, list[(first+i)%len(list)])
	}
	return picked
}

func (p *peers) isConnected(machine contract.MachineID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.byMachine[machine]
	return v != nil && v.conn != nil && v.conn.Err() == nil
}
