package agent

import (
	"context"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/weights/activation"
	"mimosastand.example/mimosastand/weights/rollout"
)

const statusTimeout = 3 * time.Second

// stepRollout applies one event to the roll-out and carries out the effects.
func (a *Agent) stepRollout(ev rollout.Event) {
	effects := append([]rollout.Effect(nil), a.rollout.Step(a.now(), ev)...)
	for _, e := range effects {
		switch e := e.(type) {
		case rollout.RequestStatus:
			a.requestStatus(e.To)
		case rollout.Grant:
			a.stepActivation(activation.TurnChanged{Version: e.Version, Granted: true})
		case rollout.Revoke:
			a.stepActivation(activation.TurnChanged{Version: e.Version})
		case rollout.Waiting:
			a.count(string(e.Reason))
			a.opts.Logger.WithField("reason", string(e.Reason)).Info("version change waits")
			if e.Reason == rollout.ReasonFailures && !a.stopped {
				a.stopped = true
				a.updatePlan()
			}
		}
	}
}

// requestStatus exchanges statuses with another target of the zone.
func (a *Agent) requestStatus(to contract.MachineID) {
	own := a.status.Load()
	a.spawn(func() {
		ctx, cancel := context.WithTimeout(a.ctx, statusTimeout)
		defer cancel()
		reply, err := a.opts.Peers.SendHave(ctx, to, contract.Have{Rollout: own})
		a.post(func() {
			if err != nil || reply.Rollout == nil {
				a.stepRollout(rollout.StatusUnavailable{From: to})
				return
			}
			a.stepRollout(rollout.StatusReceived{From: to, Status: statusOf(*reply.Rollout)})
		})
	})
}

func statusOf(s contract.RolloutStatus) rollout.Status {
	return rollout.Status{
		Active: s.Active, Failed: s.Failed, Serving: s.Serving, Running: int(s.Running), Limit: int(s.Limit),
	}
}

// publishStatus updates the own status for the roll-out and for peers that request it.
func (a *Agent) publishStatus() {
	s := *a.status.Load()
	s.Serving = s.Active != "" && a.warm && !a.draining
	if a.opts.Load != nil {
		running, limit := a.opts.Load()
		s.Running, s.Limit = uint32(max(running, 0)), uint32(max(limit, 0))
	}
	a.status.Store(&s)
	a.stepRollout(rollout.SelfStatus{Status: statusOf(s)})
}

// handleActive reports the version that the engine confirmed to the gate and the roll-out.
func (a *Agent) handleActive(version contract.Digest) {
	a.stopDrain()
	s := *a.status.Load()
	s.Active = version
	if s.Failed == version {
		s.Failed = ""
	}
	a.status.Store(&s)
	a.opts.Logger.WithField("version", version.Short()).Info("version active")
	if a.opts.OnActive != nil {
		a.opts.OnActive(version)
	}
	a.publishStatus()
}

// handleFailed records that the target could not change to a version.
func (a *Agent) handleFailed(e activation.Failed) {
	a.count("activation_failed")
	a.opts.Logger.WithField("version", e.Version.Short()).WithField("reason", string(e.Reason)).Error("version change failed")
	s := *a.status.Load()
	s.Failed = e.Version
	a.status.Store(&s)
	a.publishStatus()
}

// startDrain closes the gate and reports to the activation when no work runs.
func (a *Agent) startDrain() {
	a.draining = true
	a.publishStatus()
	if a.opts.Drain == nil {
		a.spawn(func() { a.post(func() { a.stepActivation(activation.Drained{}) }) })
		return
	}
	ctx, cancel := context.WithCancel(a.ctx)
	a.drain = cancel
	a.spawn(func() {
		defer cancel()
		if err := a.opts.Drain(ctx); err != nil {
			return
		}
		a.post(func() { a.stepActivation(activation.Drained{}) })
	})
}

// stopDrain ends a drain in progress.
func (a *Agent) stopDrain() {
	a.draining = false
	if a.drain != nil {
		a.drain()
		a.drain = nil
	}
}
