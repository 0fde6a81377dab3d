package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/weights"
	"mimosastand.example/mimosastand/weights/activation"
	"mimosastand.example/mimosastand/weights/swarm"
)

const haveTimeout = 5 * time.Second

// stepSwarm hands one event to the swarm and carries out the effects.
func (a *Agent) stepSwarm(ev swarm.Event) {
	effects := append([]swarm.Effect(nil), a.swarm.Step(a.now(), ev)...)
	for _, e := range effects {
		a.carryOutSwarm(e)
	}
}

func (a *Agent) carryOutSwarm(e swarm.Effect) {
	switch e := e.(type) {
	case swarm.Request:
		a.request(e.Draw)
	case swarm.CancelRequest:
		if cancel := a.flights[e.Draw]; cancel != nil {
			cancel()
			delete(a.flights, e.Draw)
		}
	case swarm.Serve:
		a.answer(e.Upload, true)
	case swarm.Refuse:
		a.answer(e.Upload, false)
	case swarm.SendHave:
		a.sendHave(e)
	case swarm.SetRates:
		a.local.setRate(e.Upload)
		a.remote.setRate(e.Region)
	case swarm.Whole:
		a.opts.Logger.WithField("version", e.Version.Short()).Info("version is whole")
		a.stepOrders(activation.VersionVerified{Version: e.Version})
	case swarm.Note:
		a.count(string(e.Kind))
	}
}

// request draws one chunk beside the loop.
func (a *Agent) request(d swarm.Draw) {
	ctx, cancel := context.WithCancel(a.ctx)
	a.flights[d] = cancel
	a.spawn(func() {
		defer cancel()
		err := a.fetch(ctx, d)
		if ctx.Err() != nil {
			return
		}
		a.post(func() { a.fetched(d, err) })
		if err == nil {
			a.stageAhead(a.ctx, d.Version, d.Index)
		}
	})
}

// Why a peer did not send a chunk.
var (
	errBusy    = errors.New("agent: peer is busy")
	errMissing = errors.New("agent: peer lacks the chunk")
)

// fetch gets a chunk from a peer or the origin, verifies and keeps it.
func (a *Agent) fetch(ctx context.Context, d swarm.Draw) error {
	m, _ := a.store.Manifest(d.Version)
	if m == nil {
		return weights.ErrUnknownVersion
	}
	if d.From == "" {
		data, err := a.get(ctx, durable.ChunkPrefix+string(m.Chunk(d.Index)))
		if err != nil {
			return err
		}
		return a.store.Put(d.Version, d.Index, data)
	}
	req := contract.ChunkRequest{Weights: d.Version, Index: uint32(d.Index)}
	reply, err := a.opts.Peers.RequestChunk(ctx, d.From, req)
	switch {
	case err != nil:
		return err
	case reply.Refused == contract.ReasonTargetFull:
		return errBusy
	case reply.Refused != "":
		return errMissing
	case reply.Weights != d.Version || int(reply.Index) != d.Index:
		return errors.Wrapf(weights.ErrChunkIndex, "asked for %d, got %d", d.Index, reply.Index)
	default:
		return a.store.Put(d.Version, d.Index, reply.Data)
	}
}

// fetched tells the swarm how a request ended.
func (a *Agent) fetched(d swarm.Draw, err error) {
	if _, ok := a.flights[d]; !ok {
		return
	}
	delete(a.flights, d)
	if err == nil {
		a.stepSwarm(swarm.ChunkVerified{Draw: d})
		return
	}
	a.stepSwarm(swarm.ChunkFailed{Draw: d, Cause: cause(err)})
}

func cause(err error) swarm.Failure {
	switch {
	case errors.Is(err, errBusy):
		return swarm.FailureBusy
	case errors.Is(err, errMissing):
		return swarm.FailureMissing
	case errors.Is(err, weights.ErrChunkDigest):
		return swarm.FailureCorrupt
	case errors.Is(err, weights.ErrChunkSize), errors.Is(err, weights.ErrChunkIndex):
		return swarm.FailureSize
	default:
		return swarm.FailureLink
	}
}

func (a *Agent) sendHave(e swarm.SendHave) {
	a.spawn(func() {
		ctx, cancel := context.WithTimeout(a.ctx, haveTimeout)
		defer cancel()
		have := contract.Have{Weights: e.Version, Seq: e.Epoch, First: uint32(e.First), Bitmap: e.Bitmap}
		if _, err := a.opts.Peers.SendHave(ctx, e.To, have); err != nil && a.ctx.Err() == nil {
			a.post(func() { a.stepSwarm(swarm.HaveFailed{To: e.To, Version: e.Version}) })
		}
	})
}
