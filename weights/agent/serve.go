package agent

import (
	"context"
	"math"

	"mimosastand.example/mimosastand/contract"
)

// ManifestIndex is the index of a ChunkRequest that asks for the manifest.
const ManifestIndex = math.MaxUint32

// ServeHave answers a peer's Have with the own one.
func (a *Agent) ServeHave(_ context.Context, _ contract.MachineID, have contract.Have) contract.Message {
	own := contract.Have{Weights: have.Weights, Bitmap: a.bitmap(have.Weights)}
	return contract.Message{Kind: contract.KindHave, Have: &own}
}

func (a *Agent) bitmap(version contract.Digest) []byte {
	m, _ := a.store.Manifest(version)
	if m == nil {
		return nil
	}
	bits := make([]byte, (m.Chunks()+7)/8)
	for i := range m.Chunks() {
		if a.store.Get(version, i) != nil {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// ServeChunkRequest answers a peer's request with the chunk or a refusal.
func (a *Agent) ServeChunkRequest(_ context.Context, _ contract.MachineID, req contract.ChunkRequest) contract.Message {
	reply := contract.ChunkReply{Weights: req.Weights, Index: req.Index}
	reply.Data = a.object(req)
	if reply.Data == nil {
		reply.Refused = contract.ReasonNoWeights
	}
	return contract.Message{Kind: contract.KindChunkReply, ChunkReply: &reply}
}

func (a *Agent) object(req contract.ChunkRequest) []byte {
	if req.Index == ManifestIndex {
		_, encoded := a.store.Manifest(req.Weights)
		return encoded
	}
	return a.store.Get(req.Weights, int(req.Index))
}
