package agent

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/weights/activation"
	"mimosastand.example/mimosastand/weights/rollout"
)

const (
	reportTimeout = 2 * time.Second
	logTimeout    = 5 * time.Second
	// fenceWindow is how many records before the own fence record are read.
	fenceWindow = 32
)

// stepActivation applies one event to the activation and carries out the effects.
func (a *Agent) stepActivation(ev activation.Event) {
	effects := append([]activation.Effect(nil), a.activation.Step(a.now(), ev)...)
	for _, e := range effects {
		a.applyActivationEffect(e)
	}
}

func (a *Agent) applyActivationEffect(e activation.Effect) {
	switch e := e.(type) {
	case activation.Stage:
		a.spawn(func() { a.stage(e.Version) })
	case activation.AppendFence:
		a.spawn(func() { a.appendFence(e) })
	case activation.ReadFences:
		a.spawn(func() { a.readFences(e.Own) })
	case activation.RequestTurn:
		a.stepRollout(rollout.ReadyToChange{Version: e.Version})
	case activation.Drain:
		a.startDrain()
	case activation.SendOrder:
		a.spawn(func() { a.sendOrder(e) })
	case activation.RequestReport:
		a.requestReport()
	case activation.Active:
		a.handleActive(e.Version)
	case activation.Failed:
		a.handleFailed(e)
	case activation.Note:
		a.count(string(e.Kind))
		if e.Kind == activation.NoteEngineRestarted || e.Kind == activation.NoteIncomplete {
			a.stager.reset()
		}
	}
}

// resultOf returns the result of a call to the engine that ended with err.
func resultOf(err error) activation.Result {
	switch {
	case err == nil:
		return activation.ResultDone
	case errors.Is(err, ErrEngineFenced):
		return activation.ResultFenced
	case errors.Is(err, ErrEngineIncomplete):
		return activation.ResultIncomplete
	case errors.Is(err, ErrEngineRefusedChunk):
		return activation.ResultCorrupt
	case errors.Is(err, ErrEngineDown):
		return activation.ResultUnavailable
	default:
		return activation.ResultUncertain
	}
}

// fenceRecord is what an orderer appends to its host's fence stream.
type fenceRecord struct {
	Machine     contract.MachineID   `json:"machine"`
	Incarnation contract.Incarnation `json:"incarnation"`
	LeaseMS     int64                `json:"lease_ms"`
}

func (a *Agent) fenceStream() string { return fenceStreamPrefix + string(a.opts.Machine) }

// appendFence appends the own record to the fence stream.
func (a *Agent) appendFence(e activation.AppendFence) {
	ctx, cancel := context.WithTimeout(a.ctx, logTimeout)
	defer cancel()
	data, err := json.Marshal(fenceRecord{Machine: a.opts.Machine, Incarnation: e.Incarnation, LeaseMS: e.Lease.Milliseconds()})
	var offset contract.Offset
	if err == nil {
		offset, err = a.opts.Log.Append(ctx, a.fenceStream(), data)
	}
	if err != nil {
		offset = 0
	}
	a.post(func() { a.stepActivation(activation.FenceAppended{Offset: offset}) })
}

// readFences reads the own fence record and up to fenceWindow records before it.
func (a *Agent) readFences(own contract.Offset) {
	ctx, cancel := context.WithTimeout(a.ctx, logTimeout)
	defer cancel()
	after := own - min(own, fenceWindow+1)
	batch, err := a.opts.Log.Read(ctx, a.fenceStream(), after, 0)
	read := activation.FencesRead{}
	if errors.Is(err, durable.ErrTrimmed) {
		read.Trimmed = true
		batch, err = a.opts.Log.Read(ctx, a.fenceStream(), own-1, 0)
	}
	read.Failed = err != nil
	for _, r := range batch.Records {
		if r.Offset <= own {
			read.Records = append(read.Records, decodeFence(r))
		}
	}
	a.post(func() { a.stepActivation(read) })
}

// decodeFence decodes a record. One that cannot be decoded counts as another orderer's with
// the longest lease that this program requests, which is the default one.
func decodeFence(r durable.Record) activation.FenceRecord {
	var f fenceRecord
	if err := json.Unmarshal(r.Data, &f); err != nil {
		return activation.FenceRecord{Offset: r.Offset, Lease: activation.DefaultLease, Time: r.Time}
	}
	return activation.FenceRecord{
		Offset: r.Offset, Incarnation: f.Incarnation, Lease: time.Duration(f.LeaseMS) * time.Millisecond, Time: r.Time,
	}
}

// sendOrder sends an order unless NotAfter has passed. The time is checked just before the
// call, as the process may have been paused until then.
func (a *Agent) sendOrder(o activation.SendOrder) {
	ctx, cancel := context.WithTimeout(a.ctx, o.Timeout)
	defer cancel()
	req := Order{Fence: o.Fence, Kind: OrderActivate, Digest: o.Version, Adapters: o.Adapters, Role: o.Role}
	result := activation.ResultExpired
	if a.now() <= o.NotAfter {
		result = resultOf(a.opts.Engine.Order(ctx, req))
	}
	a.post(func() { a.stepActivation(activation.OrderEnded{ID: o.ID, Result: result}) })
}

// requestReport requests a report of the engine unless a request is pending.
func (a *Agent) requestReport() {
	if a.reportPending {
		return
	}
	a.reportPending = true
	a.spawn(func() {
		ctx, cancel := context.WithTimeout(a.ctx, reportTimeout)
		defer cancel()
		requestedAt := time.Now()
		r, err := a.opts.Engine.Report(ctx)
		// The report may be as old as the call.
		r.Age += time.Since(requestedAt)
		a.post(func() {
			a.reportPending = false
			if err == nil {
				a.handleReport(r)
			}
		})
	})
}

// handleReport applies a report to the activation and updates the own status.
func (a *Agent) handleReport(r Report) {
	a.warm = r.Warm
	a.stepActivation(activation.ReportReceived{Report: activation.Report{
		Boot: r.Boot, Seq: r.Seq, Digest: r.Digest, Fencing: r.Fencing, Age: r.Age,
	}})
	a.publishStatus()
}
