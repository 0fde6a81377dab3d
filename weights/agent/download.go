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

// stepSwarm applies one event to the swarm and carries out the effects.
func (a *Agent) stepSwarm(ev swarm.Event) {
	effects := append([]swarm.Effect(nil), a.swarm.Step(a.now(), ev)...)
	for _, e := range effects {
		a.applySwarmEffect(e)
	}
}

func (a *Agent) applySwarmEffect(e swarm.Effect) {
	switch e := e.(type) {
	case swarm.Request:
		a.downloadChunk(e.Download)
	case swarm.CancelRequest:
		if cancel := a.downloads[e.Download]; cancel != nil {
			cancel()
			delete(a.downloads, e.Download)
		}
	case swarm.Serve:
		a.resolveUpload(e.Upload, true)
	case swarm.Refuse:
		a.resolveUpload(e.Upload, false)
	case swarm.SendHave:
		a.sendHave(e)
	case swarm.SetRates:
		a.localPacer.setRate(e.Upload)
		a.remotePacers.setRate(e.Region)
	case swarm.VersionComplete:
		a.opts.Logger.WithField("version", e.Version.Short()).Info("version complete")
		a.stepActivation(activation.VersionVerified{Version: e.Version})
	case swarm.Note:
		a.count(string(e.Kind))
	}
}

// downloadChunk downloads one chunk in its own goroutine.
func (a *Agent) downloadChunk(d swarm.Download) {
	ctx, cancel := context.WithCancel(a.ctx)
	a.downloads[d] = cancel
	a.spawn(func() {
		defer cancel()
		err := a.fetchChunk(ctx, d)
		if ctx.Err() != nil {
			return
		}
		a.post(func() { a.finishDownload(d, err) })
		if err == nil {
			a.stageEarly(a.ctx, d.Version, d.Index)
		}
	})
}

// Reasons why a peer did not send a chunk.
var (
	errBusy    = errors.New("agent: peer is busy")
	errMissing = errors.New("agent: peer does not hold the chunk")
)

// fetchChunk requests a chunk from a peer or the origin, verifies and stores it.
func (a *Agent) fetchChunk(ctx context.Context, d swarm.Download) error {
	m, _ := a.store.Manifest(d.Version)
	if m == nil {
		return weights.ErrUnknownVersion
	}
	if d.From == "" {
		data, err := a.getObject(ctx, durable.ChunkPrefix+string(m.Chunk(d.Index)))
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
		return errors.Wrapf(weights.ErrChunkIndex, "requested chunk %d, got chunk %d", d.Index, reply.Index)
	default:
		return a.store.Put(d.Version, d.Index, reply.Data)
	}
}

// finishDownload reports the result of a download to the swarm.
func (a *Agent) finishDownload(d swarm.Download, err error) {
	if _, ok := a.downloads[d]; !ok {
		return
	}
	delete(a.downloads, d)
	if err == nil {
		a.stepSwarm(swarm.ChunkVerified{Download: d})
		return
	}
	a.stepSwarm(swarm.ChunkFailed{Download: d, Cause: failureOf(err)})
}

// failureOf returns the swarm's kind of failure for the error of a download.
func failureOf(err error) swarm.Failure {
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

// sendHave reports to a peer which chunks are held.
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
