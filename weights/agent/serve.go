package agent

import (
	"context"
	"math"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/weights"
	"mimosastand.example/mimosastand/weights/rollout"
	"mimosastand.example/mimosastand/weights/swarm"
)

// ManifestIndex is the index of a ChunkRequest for the manifest.
const ManifestIndex = math.MaxUint32

// MaxReplyBytes returns how long the joined parts of a valid reply to req may be.
func MaxReplyBytes(req contract.ChunkRequest) int {
	if req.Index == ManifestIndex {
		return weights.MaxManifestBytes
	}
	return weights.MaxChunkBytes
}

// The size limits of the parts of a reply, to peers of the own region and of other
// regions. The pacer delays each part; smaller parts delay live traffic less.
const (
	partBytes       = 16 << 10
	remotePartBytes = 8 << 10
)

// ServeHave handles a peer's Have and returns the reply: to one with a status of the
// roll-out a Have with the own status, to any other an empty Have.
func (a *Agent) ServeHave(_ context.Context, from contract.MachineID, have contract.Have) contract.Message {
	own := contract.Have{Weights: have.Weights, Seq: uint64(a.opts.Incarnation)}
	if have.Rollout != nil {
		own.Rollout = a.status.Load()
		status := *have.Rollout
		a.post(func() { a.stepRollout(rollout.StatusReceived{From: from, Status: statusOf(status)}) })
		return contract.Message{Kind: contract.KindHave, Have: &own}
	}
	a.post(func() {
		a.stepSwarm(swarm.HaveReceived{
			From: from, Version: have.Weights, Epoch: have.Seq, First: int(have.First), Bitmap: have.Bitmap,
		})
	})
	return contract.Message{Kind: contract.KindHave, Have: &own}
}

// ServeChunk answers a peer's request through send, in paced parts. It returns when the
// reply is sent, or with the first error of send or of ctx.
func (a *Agent) ServeChunk(ctx context.Context, peer contract.MachineID, req contract.ChunkRequest, send func(contract.Message) error) error {
	if req.Index == ManifestIndex {
		_, encoded := a.store.Manifest(req.Weights)
		return a.sendParts(ctx, req, encoded, partPacing{size: partBytes}, send)
	}
	up := swarm.Upload{Version: req.Weights, Index: int(req.Index), To: peer}
	admitted := make(chan bool, 1)
	a.post(func() { a.handleRequest(up, admitted) })
	select {
	case ok := <-admitted:
		if !ok {
			return send(refusal(req, contract.ReasonTargetFull))
		}
	case <-ctx.Done():
	case <-a.done:
		return send(refusal(req, contract.ReasonShuttingDown))
	}
	defer a.post(func() {
		delete(a.uploads, up)
		a.stepSwarm(swarm.UploadEnded{Upload: up})
	})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return a.sendParts(ctx, req, a.store.Get(up.Version, up.Index), a.partsFor(peer), send)
}

// handleRequest passes a peer's request to the swarm. A second request of the peer for
// the same chunk is refused while the first is served.
func (a *Agent) handleRequest(up swarm.Upload, admitted chan bool) {
	if a.uploads[up] != nil {
		a.count(string(swarm.NoteBadRequest))
		admitted <- false
		return
	}
	a.uploads[up] = admitted
	a.stepSwarm(swarm.RequestReceived{Upload: up})
}

// resolveUpload reports to the handler of a request whether to send the chunk.
func (a *Agent) resolveUpload(up swarm.Upload, ok bool) {
	if admitted := a.uploads[up]; admitted != nil {
		admitted <- ok
		if !ok {
			delete(a.uploads, up)
		}
	}
}

// refusal returns the reply that refuses req.
func refusal(req contract.ChunkRequest, reason contract.Reason) contract.Message {
	reply := contract.ChunkReply{Weights: req.Weights, Index: req.Index, Refused: reason}
	return contract.Message{Kind: contract.KindChunkReply, ChunkReply: &reply}
}

// sendParts sends data in paced parts, or a refusal if there is none.
func (a *Agent) sendParts(ctx context.Context, req contract.ChunkRequest, data []byte, p partPacing, send func(contract.Message) error) error {
	if len(data) == 0 {
		return send(refusal(req, contract.ReasonNoWeights))
	}
	for len(data) > 0 {
		n := min(p.size, len(data))
		if err := p.pacer.wait(ctx, n); err != nil {
			return err
		}
		part := contract.ChunkReply{Weights: req.Weights, Index: req.Index, Data: data[:n], More: n < len(data)}
		if err := send(contract.Message{Kind: contract.KindChunkReply, ChunkReply: &part}); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// partPacing is how a reply is divided and paced; a nil pacer does not limit the rate.
type partPacing struct {
	size  int
	pacer *pacer
}

// partsFor returns how chunks are divided and paced for a peer.
func (a *Agent) partsFor(peer contract.MachineID) partPacing {
	if regions := a.remoteRegions.Load(); regions != nil {
		if region, ok := (*regions)[peer]; ok {
			return partPacing{size: remotePartBytes, pacer: a.remotePacers.forRegion(region)}
		}
	}
	return partPacing{size: partBytes, pacer: &a.localPacer}
}
