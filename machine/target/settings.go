package target

import (
	"context"
	"reflect"
	"time"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/coldstart"
	"mimosastand.example/mimosastand/machine/target/gate"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/follow"
	"mimosastand.example/mimosastand/weights/agent"
)

const (
	defaultCold      = 2
	defaultSlowStart = 10 * time.Second
	reportInterval   = 250 * time.Millisecond
	reportStaleAfter = 3 * time.Second
)

// concern is what of the settings makes a sender stale that does not know it:
// whether the zone is out, and what the service deploys.
type concern struct {
	out       bool
	known     bool
	kind      settings.ServiceKind
	weights   contract.Digest
	former    contract.Digest
	adapters  []string
	modelRole string
}

// settingsLoop brings each new view into force.
func (p *Process) settingsLoop(ctx context.Context) {
	for {
		changed := p.follower.Changed()
		p.applySettings(p.follower)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (p *Process) applySettings(f *follow.Follower) {
	view, ready := f.Current(), f.Ready()
	zone := view.Zone(p.cfg.Region, p.cfg.Zone)
	service, known := view.Service(p.cfg.Region, p.cfg.Zone, p.cfg.Target.Service)
	now := concern{
		out: zone.Out, known: known, kind: service.Kind, weights: service.Weights,
		former: service.Former, adapters: service.Adapters, modelRole: service.ModelRole,
	}
	if p.agent != nil {
		p.agent.Want(wanted(service))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reflect.DeepEqual(now, p.concern) {
		p.concern = now
		p.settings.RelevantOffset = view.Offset()
	}
	p.settings.Ready = ready
	p.settings.Offset = view.Offset()
	p.settings.ZoneEvacuated = zone.Out
	p.settings.Limits = p.limits(service, known)
	p.stepLocked(gate.Configured{Settings: p.settings})
}

// limits takes the bounds of a back end from the settings; the process's own
// file bounds them.
func (p *Process) limits(s settings.ServiceSettings, known bool) coldstart.Settings {
	limits := p.settings.Limits
	if !known {
		return limits
	}
	limits.WarmLimit = p.cfg.Target.MaxRunning
	if s.MaxRunning > 0 {
		limits.WarmLimit = min(limits.WarmLimit, s.MaxRunning)
	}
	limits.ColdLimit = min(limits.WarmLimit, max(1, s.ColdRunning))
	limits.SlowStart = s.SlowStart
	return limits
}

// wanted returns the versions that a deployment asks for.
func wanted(s settings.ServiceSettings) []agent.Wanted {
	if s.Weights == "" {
		return nil
	}
	return []agent.Wanted{{
		Weights: s.Weights, Former: s.Former, Adapters: s.Adapters, Role: s.ModelRole,
		Priority: s.Priority, MinReady: s.MinReady, MaxFailures: s.MaxFailures,
	}}
}

// fileSettings are the bounds in the process's own file. They hold until the
// operators' settings name the service.
func fileSettings(cfg *config.Process) gate.Settings {
	return gate.Settings{
		Ready: cfg.LogURL == "",
		Limits: coldstart.Settings{
			WarmLimit:   cfg.Target.MaxRunning,
			ColdLimit:   min(defaultCold, cfg.Target.MaxRunning),
			SlowStart:   defaultSlowStart,
			ReportsLoad: true,
			StaleAfter:  reportStaleAfter,
		},
	}
}
