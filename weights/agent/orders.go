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
	// fenceWindow is how many records before the own one are read.
	fenceWindow = 32
)

// stepOrders hands one event to the activation and carries out the effects.
func (a *Agent) stepOrders(ev activation.Event) {
	effects := append([]activation.Effect(nil), a.orders.Step(a.now(), ev)...)
	for _, e := range effects {
		a.carryOutOrders(e)
	}
}

func (a *Agent) carryOutOrders(e activation.Effect) {
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
		a.spawn(func() { a.order(e) })
	case activation.RequestReport:
		a.askReport()
	case activation.Active:
		a.active(e.Version)
	case activation.Failed:
		a.failed(e)
	case activation.Note:
		a.count(string(e.Kind))
		if e.Kind == activation.NoteEngineRestarted || e.Kind == activation.NoteIncomplete {
			a.stager.reset()
		}
	}
}

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

// fenceRecord is what an orderer appends to its machine's fence stream.
type fenceRecord struct {
	Machine     contract.MachineID   `json:"machine"`
	Incarnation contract.Incarnation `json:"incarnation"`
	LeaseMS     int64                `json:"lease_ms"`
}

func (a *Agent) fenceStream() string { return fenceStreamPrefix + string(a.opts.Machine) }

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
	a.post(func() { a.stepOrders(activation.FenceAppended{Offset: offset}) })
}

// readFences reads the records before the own one, and the own one.
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
			read.Records = append(read.Records, fenceOf(r))
		}
	}
	a.post(func() { a.stepOrders(read) })
}

// fenceOf decodes a record. One that cannot be read counts as another orderer's
// with the longest lease that this program gives.
func fenceOf(r durable.Record) activation.FenceRecord {
	var f fenceRecord
	if err := json.Unmarshal(r.Data, &f); err != nil {
		return activation.FenceRecord{Offset: r.Offset, Lease: activation.DefaultLease, Time: r.Time}
	}
	return activation.FenceRecord{
		Offset: r.Offset, Incarnation: f.Incarnation, Lease: time.Duration(f.LeaseMS) * time.Millisecond, Time: r.Time,
	}
}

// order sends an order, unless its time is over: the check comes last before
// the call, because the process may have been paused until here.
func (a *Agent) order(o activation.SendOrder) {
	ctx, cancel := context.WithTimeout(a.ctx, o.Timeout)
	defer cancel()
	req := Order{Fence: o.Fence, Kind: OrderActivate, Digest: o.Version, Adapters: o.Adapters, Role: o.Role}
	result := activation.ResultExpired
	if a.now() <= o.NotAfter {
		result = resultOf(a.opts.Engine.Order(ctx, req))
	}
	a.post(func() { a.stepOrders(activation.OrderEnded{ID: o.ID, Result: result}) })
}

// askReport fetches one report at a time.
func (a *Agent) askReport() {
	if a.asking {
		return
	}
	a.asking = true
	a.spawn(func() {
		ctx, cancel := context.WithTimeout(a.ctx, reportTimeout)
		defer cancel()
		asked := time.Now()
		r, err := a.opts.Engine.Report(ctx)
		// The report may be as old as the call.
		r.Age += time.Since(asked)
		a.post(func() {
			a.asking = false
			if err == nil {
				a.reported(r)
			}
		})
	})
}

func (a *Agent) reported(r Report) {
	a.warm = r.Warm
	a.stepOrders(activation.ReportReceived{Report: activation.Report{
		Boot: r.Boot, Seq: r.Seq, Digest: r.Digest, Fencing: r.Fencing, Age: r.Age,
	}})
	a.tellStatus()
}
