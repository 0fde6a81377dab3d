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

// drainGrace is how long running work may continue before a change of the version hands
// over the attempts that another target can resume.
const drainGrace = 5 * time.Second

// drain refuses new work and waits until the gate is idle. It repeats the drain every
// drainGrace, so that it does not time out. If ctx ends first, new work is accepted again.
func (p *Process) drain(ctx context.Context) error {
	p.step(gate.Drain{})
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	handOver := time.NewTicker(drainGrace)
	defer handOver.Stop()
	for !p.isIdle() {
		select {
		case <-ctx.Done():
			p.step(gate.Reopen{})
			return ctx.Err()
		case <-handOver.C:
			p.step(gate.Drain{})
			p.step(gate.HandOver{})
		case <-ticker.C:
		}
	}
	return nil
}

// runningAndLimit returns the number of running units and their limit, from which the
// agent's roll-out determines capacity.
func (p *Process) runningAndLimit() (running, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gate.Units()
}

// engineAdapter adapts the client of the engine to the agent.
type engineAdapter struct{ engine *backend.EngineClient }

var _ agent.Engine = engineAdapter{}

// Report implements agent.Engine.
func (e engineAdapter) Report(ctx context.Context) (agent.Report, error) {
	r, err := e.engine.Report(ctx)
	if err != nil {
		return agent.Report{}, convertEngineError(err, agent.ErrEngineDown)
	}
	return agent.Report{
		Boot: r.Boot, Seq: r.Seq, Digest: r.Digest, Role: r.Role, Warm: r.Warm,
		Fencing: r.Fencing, Age: r.Age(),
	}, nil
}

// PutManifest implements agent.Engine.
func (e engineAdapter) PutManifest(ctx context.Context, version contract.Digest, encoded []byte) error {
	return convertEngineError(e.engine.PutManifest(ctx, version, encoded), agent.ErrEngineIncomplete)
}

// PutChunk implements agent.Engine.
func (e engineAdapter) PutChunk(ctx context.Context, version contract.Digest, index int, data []byte) error {
	return convertEngineError(e.engine.PutChunk(ctx, version, uint32(index), data), agent.ErrEngineRefusedChunk)
}

// Order implements agent.Engine.
func (e engineAdapter) Order(ctx context.Context, o agent.Order) error {
	err := e.engine.Order(ctx, backend.OrderRequest{
		Fence: o.Fence, Order: string(o.Kind), Digest: o.Digest, Adapters: o.Adapters, Role: o.Role,
	})
	return convertEngineError(err, agent.ErrEngineIncomplete)
}

// convertEngineError converts an error of the back end's client to one of the agent.
// notVerified is the agent's error for a failed verification in this call.
func convertEngineError(err, notVerified error) error {
	var fenced *backend.FencedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &fenced):
		return errors.Mark(err, agent.ErrEngineFenced)
	case errors.Is(err, backend.ErrNotVerified):
		return errors.Mark(err, notVerified)
	case errors.Is(err, backend.ErrNotSent), errors.Is(err, backend.ErrRefused):
		return errors.Mark(err, agent.ErrEngineDown)
	default:
		return errors.Mark(err, agent.ErrEngineUncertain)
	}
}
