//go:build review

package harness

import (
	"net/http"
	"time"

	"mimosastand.example/mimosastand/standin/fleet"
)

const (
	modelSlots         = 16
	modelEvents        = 5
	modelEventInterval = 10 * time.Millisecond
)

// ModelHost is a machine with a model engine and the process beside it.
type ModelHost struct {
	Zone   string
	Engine *fleet.Engine
	Target *Machine
}

// NewModelHost starts an engine that holds version 1 of the weights, and prepares the process beside it.
func (d *Deployment) NewModelHost(zone string) (*ModelHost, error) {
	h := &ModelHost{Zone: zone}
	if err := h.startEngine(d, 1); err != nil {
		return nil, err
	}
	h.Target = d.NewTarget("side-"+zone+"-1", zone, h.Engine.Address(), fleet.ModelService)
	return h, nil
}

// startEngine starts an engine that holds a version of the weights; 0 for none.
func (h *ModelHost) startEngine(d *Deployment, version int64) error {
	h.Engine = &fleet.Engine{
		ID: "engine-" + h.Zone, Service: fleet.ModelService, Model: fleet.Model, Zone: h.Zone,
		Slots: modelSlots, EventCount: modelEvents, EventInterval: modelEventInterval,
	}
	d.Record.Printf("%s starts with version %d of the weights", h.Engine.ID, version)
	return h.Engine.Start(d.Store, version)
}

// PowerUp starts the engine again after a loss of power: it holds nothing, at another address.
func (h *ModelHost) PowerUp(d *Deployment) error {
	if err := h.startEngine(d, 0); err != nil {
		return err
	}
	h.Target.SetField("app", h.Engine.Address())
	return nil
}

// ChatRequest returns the request of a client for a stream of the model.
func ChatRequest(entry *Machine, key string) Request {
	const timeout = 6 * time.Second
	return Request{Entry: entry.CallerAddress(), Method: http.MethodPost, Path: fleet.ChatPath + "1", Key: key, Body: "{}", Timeout: timeout}
}
