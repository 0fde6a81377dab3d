package soak

import (
	"context"
	"strconv"
	"time"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/internal/harness"
	"mimosastand.example/mimosastand/internal/relay"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

const (
	// cutAfterEvents is the number of events after which a stream is cut.
	cutAfterEvents = 2
	// lateWriteDelay is the time from the lost answer to a write until the store applies
	// the write.
	lateWriteDelay = 2 * time.Second
	// corruptEvery makes the origin corrupt every third piece.
	corruptEvery = 3
	// pathDelay is the delay of each chunk or packet on a delayed path.
	pathDelay = 150 * time.Millisecond
	// limitPerSecond is the rate to which a back end limits all entries together: less than
	// one request a second of each.
	limitPerSecond = 1.5
	// restoreAge is how old the copy is from which the store comes back, and rewriteTime how
	// long operators and engines may take to write again what was lost.
	restoreAge  = 3 * time.Second
	rewriteTime = time.Second
)

// injector starts and ends faults.
type injector struct {
	ctx     context.Context
	fleet   *harness.Fleet
	checker *Checker
	bounds  *bounds
	traffic *Traffic
}

// inject starts the fault of an event and returns a function that ends it, or nil if the
// fault ends by itself.
func (i *injector) inject(e Event) (end func()) {
	switch e.Fault.class() {
	case entries:
		return i.injectEntryFault(e.Fault, i.fleet.Entries[e.Index])
	case targets:
		return i.injectTargetFault(e.Fault, i.fleet.Targets[e.Index])
	case storePaths:
		m := i.fleet.Machines()[e.Index]
		return combineEnds(injectPathFault(e.Fault, m.StorePath), m.Impairments.Begin(), i.bounds.impairmentsOf(m.StorePath).Begin())
	case backEndPaths:
		path := i.backEndAt(e.Index).Relay
		return combineEnds(injectPathFault(e.Fault-DelayBackEndPath+DelayStorePath, path), i.bounds.impairmentsOf(path).Begin())
	case linkPaths:
		m := i.fleet.Machines()[e.Index]
		return combineEnds(injectLinkFault(e.Fault, m.LinkPath), m.Impairments.Begin(), i.bounds.impairmentsOf(m.StorePath).Begin())
	case services:
		return injectServiceFault(e.Fault, i.fleet.Services[e.Index])
	case backEnds:
		return i.injectAnswerFault(e, i.backEndAt(e.Index))
	case prompts:
		if e.Fault == CrashRequest {
			return i.crashOnRequest(Kind(e.Variant))
		}
		return i.crashOnPart(e.Variant)
	case zones:
		zone := string(i.fleet.Spec.Zones[e.Index].Name)
		i.fleet.Store.Evacuate(zone, true)
		start := time.Now()
		return func() {
			i.bounds.addEvacuation(zone, start, time.Now())
			i.fleet.Store.Evacuate(zone, false)
		}
	default:
		return i.injectPlatformFault(e.Fault)
	}
}

// restart starts the process of a machine again. An entry receives requests once it is
// ready. An entry that does not become ready is reported after all faults are over.
func (i *injector) restart(m *harness.Machine) {
	i.recordFailure(m.Start())
	if m.Role == config.RoleEntry {
		_ = m.AwaitReady(i.ctx, recoveryTimeout)
	}
}

// recordFailure records that a fault could not be started or ended.
func (i *injector) recordFailure(err error) {
	if err != nil {
		i.checker.AddViolation(StaysUp, "%v", err)
	}
}

func (i *injector) injectEntryFault(f Fault, m *harness.Machine) func() {
	switch f {
	case StopEntry:
		if !m.Stop() {
			i.checker.AddViolation(PlannedStop, "%s did not stop cleanly", m.Name)
		}
		return func() { i.restart(m) }
	case ReloadEntry:
		// SIGHUP terminates a process that has not yet installed a handler for it.
		if m.Serving() {
			i.recordFailure(m.Reload())
		}
		return nil
	default:
		return i.injectProcessFault(f, m)
	}
}

// injectProcessFault injects the faults that entries and targets have in common.
func (i *injector) injectProcessFault(f Fault, m *harness.Machine) func() {
	switch f {
	case KillEntry, KillTarget:
		m.Kill()
		return func() { i.restart(m) }
	case PauseEntry, PauseTarget:
		i.recordFailure(m.Pause())
		return func() { i.recordFailure(m.Resume()) }
	default:
		endImpairment := m.Impairments.Begin()
		m.StoreAccess.SetDown(true)
		return func() {
			m.StoreAccess.SetDown(false)
			endImpairment()
		}
	}
}

func (i *injector) injectTargetFault(f Fault, t *harness.TargetHost) func() {
	engine := t.Engine()
	switch f {
	case LoseTarget:
		t.Lose()
		return func() { i.recordFailure(t.Restore()) }
	case HangEngine:
		engine.SetUnresponsive(true)
		return func() { engine.SetUnresponsive(false) }
	case CutStream:
		engine.CutNextStreamAfter(cutAfterEvents)
		return nil
	case CorruptStaged:
		engine.CorruptStagedPieces()
		return nil
	case SilenceEngine:
		engine.SilenceFor(silenceDuration)
		return nil
	case DrainEngine:
		return i.drainEngine(engine)
	default:
		return i.injectProcessFault(f, t.Machine)
	}
}

// limitRate has a back end limit its rate until the returned function is called.
func (i *injector) limitRate(e *standins.Engine) func() {
	e.SetRateLimit(strconv.FormatFloat(limitPerSecond, 'f', -1, 64))
	start := time.Now()
	return func() {
		i.bounds.addLimit(limitSpan{engine: e, perSecond: limitPerSecond, from: start, to: time.Now()})
		e.SetRateLimit("")
	}
}

// drainEngine lists the engine as draining until the returned function lists it as ready.
func (i *injector) drainEngine(e *standins.Engine) func() {
	e.Publish("draining")
	start := time.Now()
	return func() {
		i.bounds.addDrain(e, start, time.Now())
		e.Publish("ready")
	}
}

// backEndAt returns the back end with the given index: the model engines come first, then
// the plain services.
func (i *injector) backEndAt(index int) *standins.Engine {
	return append(i.fleet.Engines(), i.fleet.Services...)[index]
}

// combineEnds returns a function that ends a fault and the impairments recorded for it. A
// momentary fault, which has no endFault, is over at once: its impairments are ended and
// the result is nil.
func combineEnds(endFault func(), endImpairments ...func()) func() {
	end := func() {
		if endFault != nil {
			endFault()
		}
		for _, endImpairment := range endImpairments {
			endImpairment()
		}
	}
	if endFault == nil {
		end()
		return nil
	}
	return end
}

// injectPathFault starts a fault of a path and returns a function that ends it, or nil if
// the fault is momentary.
func injectPathFault(f Fault, path *relay.TCP) (end func()) {
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

// injectLinkFault does the same for the links that other processes make to a process.
func injectLinkFault(f Fault, path *relay.UDP) (end func()) {
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

func injectServiceFault(f Fault, e *standins.Engine) func() {
	if f == LoseAnswers {
		e.SetLosesAnswers(true)
		return func() { e.SetLosesAnswers(false) }
	}
	e.SetUnresponsive(true)
	return func() { e.SetUnresponsive(false) }
}

func (i *injector) injectPlatformFault(f Fault) func() {
	switch f {
	case StoreDown:
		endImpairment := i.bounds.storeImpairments.Begin()
		i.fleet.Store.SetDown(true)
		return func() {
			i.fleet.Store.SetDown(false)
			endImpairment()
		}
	case LateWrites:
		endImpairment := i.bounds.storeImpairments.Begin()
		i.fleet.Store.SetWriteDelay(lateWriteDelay)
		return func() {
			i.fleet.Store.SetWriteDelay(0)
			time.AfterFunc(lateWriteDelay, endImpairment)
		}
	case RestoreStore:
		endImpairment := i.bounds.storeImpairments.Begin()
		i.fleet.Store.SetDown(true)
		return func() {
			i.fleet.Store.Restore(restoreAge)
			i.fleet.Store.SetDown(false)
			time.AfterFunc(rewriteTime, endImpairment)
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
		i.bounds.addAnnouncement(version, time.Now())
	case PublishManifest:
		_, err := i.fleet.PublishNextManifest()
		i.recordFailure(err)
	}
	return nil
}
