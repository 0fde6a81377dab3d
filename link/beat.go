package link

import "mimosastand.example/mimosastand/contract"

// beatEncoder leaves out of the heartbeats of one connection what the peer has
// been told. The stream is reliable and in order, so the peer can fill it in.
type beatEncoder struct {
	told    bool
	weights contract.Digest
}

// encode returns hb as it goes on the wire.
func (b *beatEncoder) encode(hb contract.Heartbeat) contract.Heartbeat {
	if b.told {
		hb.Machine, hb.Incarnation, hb.Zone, hb.Service = "", 0, "", ""
	}
	b.told = true
	if hb.Load == nil {
		return hb
	}
	load := *hb.Load
	hb.Load = &load
	if load.Weights != "" && load.Weights == b.weights {
		hb.SameWeights = true
		load.Weights = ""
		return hb
	}
	b.weights = load.Weights
	return hb
}

// beatDecoder fills in what the peer has left out.
type beatDecoder struct {
	first contract.Heartbeat
	known bool
	// weights is that of the heartbeat before.
	weights contract.Digest
}

// decode returns hb as the peer meant it.
func (b *beatDecoder) decode(hb contract.Heartbeat) contract.Heartbeat {
	if !b.known {
		b.known = true
		b.first = hb
	}
	if hb.Machine == "" {
		hb.Machine, hb.Incarnation = b.first.Machine, b.first.Incarnation
		hb.Zone, hb.Service = b.first.Zone, b.first.Service
	}
	if hb.Load == nil {
		return hb
	}
	if hb.SameWeights {
		hb.Load.Weights = b.weights
	}
	hb.SameWeights = false
	b.weights = hb.Load.Weights
	return hb
}
