package agent

import (
	"context"
	"math"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/weights"
	"mimosastand.example/mimosastand/weights/rollout"
	"mimosastand.example/mimosastand/weights/swarm"
)

// ManifestIndex is the index of a ChunkRequest that asks for the manifest.
const ManifestIndex = math.MaxUint32

// MaxReplyBytes is how long the joined parts of an honest reply may be.
func MaxReplyBytes(req contract.ChunkRequest) int {
	if req.Index == ManifestIndex {
		return weights.MaxManifestBytes
	}
	return weights.MaxChunkBytes
}

// The largest parts of a chunk in one reply, to peers of the own region and of
// others. Parts are what the pacing spaces: smaller ones delay live traffic less.
const (
	partBytes       = 16 << 10
	remotePartBytes = 8 << 10
)

// ServeHave takes a peer's Have and answers it: a question about the roll-out
// with the own status, anything else with an empty Have.
func (a *Agent) ServeHave(_ context.Context, from contract.MachineID, have contract.Have) contract.Message {
	own := contract.Have{Weights: have.Weights, Seq: uint64(a.opts.Incarnation)}
	if have.Rollout != nil {
		own.Rollout = a.status.Load()
		told := *have.Rollout
		a.post(func() { a.stepRollout(rollout.StatusReceived{From: from, Status: statusOf(told)}) })
		return contract.Message{Kind: contract.KindHave, Have: &own}
	}
	a.post(func() {
		a.stepSwarm(swarm.HaveReceived{
			From: from, Version: have.Weights, Epoch: have.Seq, First: int(have.First), Bitmap: have.Bitmap,
		})
	})
	return contract.Message{Kind: contract.KindHave, Have: &own}
}

// ServeChunk answers a peer's request through send, in paced parts. It returns
// when the answer is sent, or with the first error of send.
func (a *Agent) ServeChunk(ctx context.Context, peer contract.MachineID, req contract.ChunkRequest, send func(contract.Message) error) error {
	if req.Index == ManifestIndex {
		_, encoded := a.store.Manifest(req.Weights)
		return a.sendParts(ctx, req, encoded, parts{bytes: partBytes}, send)
	}
	up := swarm.Upload{Version: req.Weights, Index: int(req.Index), To: peer}
	turn := make(chan bool, 1)
	a.post(func() { a.requested(up, turn) })
	select {
	case ok := <-turn:
		if !ok {
			return send(refusal(req, contract.ReasonTargetFull))
		}
	case <-ctx.Done():
	case <-a.done:
		return send(refusal(req, contract.ReasonShuttingDown))
	}
	defer a.post(func() {
		delete(a.serving, up)
		a.stepSwarm(swarm.UploadEnded{Upload: up})
	})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return a.sendParts(ctx, req, a.store.Get(up.Version, up.Index), a.partsFor(peer), send)
}

// requested hands a peer's request to the swarm. A second one for the same
// chunk is refused while the first is served.
func (a *Agent) requested(up swarm.Upload, turn chan bool) {
	if a.serving[up] != nil {
		a.count(string(swarm.NoteBadRequest))
		turn <- false
		return
	}
	a.serving[up] = turn
	a.stepSwarm(swarm.RequestReceived{Upload: up})
}

// answer tells the handler of a request whether to send.
func (a *Agent) answer(up swarm.Upload, ok bool) {
	if turn := a.serving[up]; turn != nil {
		turn <- ok
		if !ok {
			delete(a.serving, up)
		}
	}
}

func refusal(req contract.ChunkRequest, reason contract.Reason) contract.Message {
	reply := contract.ChunkReply{Weights: req.Weights, Index: req.Index, Refused: reason}
	return contract.Message{Kind: contract.KindChunkReply, ChunkReply: &reply}
}

func (a *Agent) sendParts(ctx context.Context, req contract.ChunkRequest, data []byte, p parts, send func(contract.Message) error) error {
	if len(data) == 0 {
		return send(refusal(req, contract.ReasonNoWeights))
	}
	for len(data) > 0 {
		n := min(p.bytes, len(data))
		if err := p.pace.wait(ctx, n); err != nil {
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

// parts tells how a chunk is divided and paced; a nil pacer does not bound.
type parts struct {
	bytes int
	pace  *pacer
}

// partsFor returns how chunks travel to a peer.
func (a *Agent) partsFor(peer contract.MachineID) parts {
	if abroad := a.abroad.Load(); abroad != nil {
		if region, ok := (*abroad)[peer]; ok {
			return parts{bytes: remotePartBytes, pace: a.remote.of(region)}
		}
	}
	return parts{bytes: partBytes, pace: &a.local}
}
