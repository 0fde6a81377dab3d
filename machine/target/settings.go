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
	defaultColdLimit = 2
	defaultSlowStart = 10 * time.Second
	reportInterval   = 250 * time.Millisecond
	reportStaleAfter = 3 * time.Second
)

// relevantSettings are the settings that senders have to know: whether the zone is
// evacuated, and the deployment of the service. An attempt of a sender with older ones is
// refused as stale.
type relevantSettings struct {
	zoneEvacuated bool
	known         bool
	kind          settings.ServiceKind
	weights       contract.Digest
	former        contract.Digest
	adapters      []string
	modelRole     string
}

// settingsLoop applies each new view of the settings.
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
	relevant := relevantSettings{
		zoneEvacuated: zone.Out, known: known, kind: service.Kind, weights: service.Weights,
		former: service.Former, adapters: service.Adapters, modelRole: service.ModelRole,
	}
	if p.agent != nil {
		p.agent.SetDesiredVersions(desiredVersions(service))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reflect.DeepEqual(relevant, p.relevant) {
		p.relevant = relevant
		p.settings.RelevantOffset = view.Offset()
	}
	p.settings.Ready = ready
	p.settings.Offset = view.Offset()
	p.settings.ZoneEvacuated = zone.Out
	p.settings.Limits = p.limitsFor(service, known)
	p.stepLocked(gate.Configured{Settings: p.settings})
}

// limitsFor returns the limits of the back end from the service's settings, bounded by the
// process's own configuration file. If the service is not known, the current limits stay.
func (p *Process) limitsFor(s settings.ServiceSettings, known bool) coldstart.Settings {
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

// desiredVersions returns the versions that a deployment specifies.
func desiredVersions(s settings.ServiceSettings) []agent.DesiredVersion {
	if s.Weights == "" {
		return nil
	}
	return []agent.DesiredVersion{{
		Weights: s.Weights, Former: s.Former, Adapters: s.Adapters, Role: s.ModelRole,
		Priority: s.Priority, MinReady: s.MinReady, MaxFailures: s.MaxFailures,
	}}
}

// fileSettings returns the limits from the process's own configuration file. They apply
// until the operators' settings contain the service.
func fileSettings(cfg *config.Process) gate.Settings {
	return gate.Settings{
		Ready: cfg.LogURL == "",
		Limits: coldstart.Settings{
			WarmLimit:   cfg.Target.MaxRunning,
			ColdLimit:   min(defaultColdLimit, cfg.Target.MaxRunning),
			SlowStart:   defaultSlowStart,
			ReportsLoad: true,
			StaleAfter:  reportStaleAfter,
		},
	}
}
