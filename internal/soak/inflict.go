package soak

import (
	"context"
	"time"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/internal/harness"
	"mimosastand.example/mimosastand/internal/relay"
	standin "mimosastand.example/mimosastand/standin/fleet"
)

const (
	// cutEvents is after how many events a stream is cut.
	cutEvents = 2
	// lateBy is how long after their answers were lost writes are applied.
	lateBy = 2 * time.Second
	// corruptEvery is which pieces of the origin are spoilt.
	corruptEvery = 3
	// pathDelay is how long each part of what is sent is held up on a delayed path.
	pathDelay = 150 * time.Millisecond
)

// inflictor brings faults about and ends them.
type inflictor struct {
	ctx    context.Context
	fleet  *harness.Fleet
	ledger *Checker
	bounds *bounds
}

// begin brings a fault about and returns how to end it; nil if it ends by itself.
func (i *inflictor) begin(e Event) (end func()) {
	switch e.Fault.class() {
	case entries:
		return i.onEntry(e.Fault, i.fleet.Entries[e.Index])
	case targets:
		return i.onTarget(e.Fault, i.fleet.Targets[e.Index])
	case storePaths:
		m := i.fleet.Machines()[e.Index]
		return healing(harm(e.Fault, m.StorePath), m.Impairments.Begin(), i.bounds.path(m.StorePath).Begin())
	case backEndPaths:
		path := i.backEnd(e.Index).Relay
		return healing(harm(e.Fault-DelayBackEndPath+DelayStorePath, path), i.bounds.path(path).Begin())
	case linkPaths:
		m := i.fleet.Machines()[e.Index]
		return healing(harmLinks(e.Fault, m.LinkPath), m.Impairments.Begin(), i.bounds.path(m.StorePath).Begin())
	case services:
		return onService(e.Fault, i.fleet.Services[e.Index])
	case zones:
		zone := string(i.fleet.Spec.Zones[e.Index].Name)
		i.fleet.Store.Evacuate(zone, true)
		start := time.Now()
		return func() {
			i.bounds.evacuated(zone, start, time.Now())
			i.fleet.Store.Evacuate(zone, false)
		}
	default:
		return i.onPlatform(e.Fault)
	}
}

// restart starts a process again. An entry gets callers once it is ready; what keeps
// it from that is looked at when the faults are over.
func (i *inflictor) restart(m *harness.Machine) {
	i.check(m.Start())
	if m.Role == config.RoleEntry {
		_ = m.AwaitReady(i.ctx, recoverWait)
	}
}

// check records that a fault could not be brought about or ended.
func (i *inflictor) check(err error) {
	if err != nil {
		i.ledger.AddViolation(StaysUp, "%v", err)
	}
}

func (i *inflictor) onEntry(f Fault, m *harness.Machine) func() {
	switch f {
	case StopEntry:
		if !m.Stop() {
			i.ledger.AddViolation(PlannedStop, "%s", m.Name)
		}
		return func() { i.restart(m) }
	case ReloadEntry:
		// Until a process listens for it, SIGHUP ends it.
		if m.Serving() {
			i.check(m.Reload())
		}
		return nil
	default:
		return i.onProcess(f, m)
	}
}

// onProcess does what can befall any process.
func (i *inflictor) onProcess(f Fault, m *harness.Machine) func() {
	switch f {
	case KillEntry, KillTarget:
		m.Kill()
		return func() { i.restart(m) }
	case PauseEntry, PauseTarget:
		i.check(m.Pause())
		return func() { i.check(m.Resume()) }
	default:
		calm := m.Impairments.Begin()
		m.StoreAccess.SetDown(true)
		return func() {
			m.StoreAccess.SetDown(false)
			calm()
		}
	}
}

func (i *inflictor) onTarget(f Fault, t *harness.TargetHost) func() {
	engine := t.Engine()
	switch f {
	case LoseTarget:
		t.Lose()
		return func() { i.check(t.Restore()) }
	case HangEngine:
		engine.SetUnresponsive(true)
		return func() { engine.SetUnresponsive(false) }
	case CutStream:
		engine.CutNextStreamAfter(cutEvents)
		return nil
	case CorruptStaged:
		engine.CorruptStagedPieces()
		return nil
	case DrainEngine:
		return i.drain(engine)
	default:
		return i.onProcess(f, t.Machine)
	}
}

// drain has an engine say that it leaves, until it comes back.
func (i *inflictor) drain(e *standin.Engine) func() {
	e.Publish("draining")
	start := time.Now()
	return func() {
		i.bounds.left(e, start, time.Now())
		e.Publish("ready")
	}
}

// backEnd is a back end by its index: the model engines, then the plain services.
func (i *inflictor) backEnd(at int) *standin.Engine {
	return append(i.fleet.Engines(), i.fleet.Services...)[at]
}

// healing returns how to end a harm and the spells that note it. A harm of a moment, which
// needs no heal, is over at once.
func healing(heal func(), spells ...func()) func() {
	end := func() {
		if heal != nil {
			heal()
		}
		for _, over := range spells {
			over()
		}
	}
	if heal == nil {
		end()
		return nil
	}
	return end
}

// harm brings a fault of a path about and returns how to end it; nil if it is of a moment.
func harm(f Fault, path *relay.TCP) (heal func()) {
	switch f {
	case DelayStorePath:
		path.SetDelay(pathDelay)
		return func() { path.SetDelay(0) }
	case ResetStorePath:
		path.Reset()
	case CutToStore:
		path.SetDirectionCut(relay.ToServer, true)
		return func() { path.SetDirectionCut(relay.ToServer, false) }
	case CutFromStore:
		path.SetDirectionCut(relay.ToClient, true)
		return func() { path.SetDirectionCut(relay.ToClient, false) }
	case SilenceStorePath:
		path.Silence()
	}
	return nil
}

// harmLinks does the same to the links that others make to a process.
func harmLinks(f Fault, path *relay.UDP) (heal func()) {
	switch f {
	case DelayLinks:
		path.SetDelay(pathDelay)
		return func() { path.SetDelay(0) }
	case CutToLinks:
		path.SetDirectionCut(relay.ToServer, true)
		return func() { path.SetDirectionCut(relay.ToServer, false) }
	case CutFromLinks:
		path.SetDirectionCut(relay.ToClient, true)
		return func() { path.SetDirectionCut(relay.ToClient, false) }
	case SilenceLinks:
		path.ForgetClients()
	}
	return nil
}

func onService(f Fault, e *standin.Engine) func() {
	if f == LoseAnswers {
		e.SetLosesAnswers(true)
		return func() { e.SetLosesAnswers(false) }
	}
	e.SetUnresponsive(true)
	return func() { e.SetUnresponsive(false) }
}

func (i *inflictor) onPlatform(f Fault) func() {
	switch f {
	case StoreDown:
		calm := i.bounds.store.Begin()
		i.fleet.Store.SetDown(true)
		return func() {
			i.fleet.Store.SetDown(false)
			calm()
		}
	case LateWrites:
		calm := i.bounds.store.Begin()
		i.fleet.Store.SetWriteDelay(lateBy)
		return func() {
			i.fleet.Store.SetWriteDelay(0)
			time.AfterFunc(lateBy, calm)
		}
	case OriginUnavailable:
		i.fleet.Origin.SetUnresponsive(true)
		return func() { i.fleet.Origin.SetUnresponsive(false) }
	case CorruptOrigin:
		i.fleet.Origin.CorruptEvery(corruptEvery)
		return func() { i.fleet.Origin.CorruptEvery(0) }
	case DropHistory:
		i.fleet.Store.DropHistory()
	case AnnounceVersion:
		version := i.fleet.AnnounceNextVersion()
		i.bounds.named(version, time.Now())
	case PublishManifest:
		_, err := i.fleet.PublishNextManifest()
		i.check(err)
	}
	return nil
}
