package link

import "mimosastand.example/mimosastand/contract"

// heartbeatEncoder omits from the heartbeats of one connection the fields that the peer
// knows from earlier ones. The stream is reliable and in order, so that the peer can
// restore them.
type heartbeatEncoder struct {
	sentFirst bool
	weights   contract.Digest
}

// encode returns hb without the fields that the peer knows. It does not modify hb.Load.
func (e *heartbeatEncoder) encode(hb contract.Heartbeat) contract.Heartbeat {
	if e.sentFirst {
		hb.Machine, hb.Incarnation, hb.Zone, hb.Service = "", 0, "", ""
	}
	e.sentFirst = true
	if hb.Load == nil {
		return hb
	}
	load := *hb.Load
	hb.Load = &load
	if load.Weights != "" && load.Weights == e.weights {
		hb.SameWeights = true
		load.Weights = ""
		return hb
	}
	e.weights = load.Weights
	return hb
}

// heartbeatDecoder restores the fields that the peer's heartbeatEncoder omitted.
type heartbeatDecoder struct {
	first    contract.Heartbeat
	hasFirst bool
	// weights are the weights in the last heartbeat with a load.
	weights contract.Digest
}

// decode returns hb with the omitted fields restored.
func (d *heartbeatDecoder) decode(hb contract.Heartbeat) contract.Heartbeat {
	if !d.hasFirst {
		d.hasFirst = true
		d.first = hb
	}
	if hb.Machine == "" {
		hb.Machine, hb.Incarnation = d.first.Machine, d.first.Incarnation
		hb.Zone, hb.Service = d.first.Zone, d.first.Service
	}
	if hb.Load == nil {
		return hb
	}
	if hb.SameWeights {
		hb.Load.Weights = d.weights
	}
	hb.SameWeights = false
	d.weights = hb.Load.Weights
	return hb
}
