package target

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/backend"
	"mimosastand.example/mimosastand/machine/target/gate"
	"mimosastand.example/mimosastand/weights/agent"
)

// drainGrace is how long running work may go on before a change of the version
// hands over what another target can resume.
const drainGrace = 5 * time.Second

// drain holds back new work and waits until none runs, for the agent. If ctx
// ends first, new work is let in again.
func (p *Process) drain(ctx context.Context) error {
	p.step(gate.Drain{})
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	again := time.NewTicker(drainGrace)
	defer again.Stop()
	for !p.idle() {
		select {
		case <-ctx.Done():
			p.step(gate.Reopen{})
			return ctx.Err()
		case <-again.C:
			p.step(gate.Drain{})
			p.step(gate.HandOver{})
		case <-ticker.C:
		}
	}
	return nil
}

// runningAndLimit tells the agent what the roll-out counts as capacity.
func (p *Process) runningAndLimit() (running, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gate.Units()
}

// engineOrders is the engine as the agent sees it.
type engineOrders struct{ engine *backend.EngineClient }

var _ agent.Engine = engineOrders{}

// Report implements agent.Engine.
func (e engineOrders) Report(ctx context.Context) (agent.Report, error) {
	r, err := e.engine.Report(ctx)
	if err != nil {
		return agent.Report{}, engineError(err, agent.ErrEngineDown)
	}
	return agent.Report{
		Boot: r.Boot, Seq: r.Seq, Digest: r.Digest, Role: r.Role, Warm: r.Warm,
		Fencing: r.Fencing, Age: r.Age(),
	}, nil
}

// PutManifest implements agent.Engine.
func (e engineOrders) PutManifest(ctx context.Context, version contract.Digest, encoded []byte) error {
	return engineError(e.engine.PutManifest(ctx, version, encoded), agent.ErrEngineNotWhole)
}

// PutChunk implements agent.Engine.
func (e engineOrders) PutChunk(ctx context.Context, version contract.Digest, index int, data []byte) error {
	return engineError(e.engine.PutChunk(ctx, version, uint32(index), data), agent.ErrEngineChunk)
}

// Order implements agent.Engine.
func (e engineOrders) Order(ctx context.Context, o agent.Order) error {
	err := e.engine.Order(ctx, backend.OrderRequest{
		Fence: o.Fence, Order: string(o.Kind), Digest: o.Digest, Adapters: o.Adapters, Role: o.Role,
	})
	return engineError(err, agent.ErrEngineNotWhole)
}

// engineError turns an error of the back end's client into the agent's;
// notWhole is what a failed verification means for the call.
func engineError(err, notWhole error) error {
	var fenced *backend.FencedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &fenced):
		return errors.Mark(err, agent.ErrEngineFence)
	case errors.Is(err, backend.ErrNotVerified):
		return errors.Mark(err, notWhole)
	case errors.Is(err, backend.ErrNotSent), errors.Is(err, backend.ErrRefused):
		return errors.Mark(err, agent.ErrEngineDown)
	default:
		return errors.Mark(err, agent.ErrEngineUncertain)
	}
}
