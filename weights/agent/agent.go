package agent

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/weights"
)

const (
	retryInterval   = 500 * time.Millisecond
	confirmInterval = 100 * time.Millisecond
	orderTimeout    = 5 * time.Second
	leaseDuration   = 10 * time.Second
	// fenceStreamPrefix precedes the machine in the name of its fence stream.
	fenceStreamPrefix = "fences/"
)

// Agent draws, stages and activates weights for one target.
type Agent struct {
	opts   Options
	store  *weights.ChunkStore
	wakeup chan struct{}

	mu     sync.Mutex
	wanted []Wanted
	active contract.Digest
}

// New returns an agent; Run starts it.
func New(opts Options) *Agent {
	return &Agent{opts: opts, store: weights.NewChunkStore(), wakeup: make(chan struct{}, 1)}
}

// Want replaces the wanted versions.
func (a *Agent) Want(wanted []Wanted) {
	a.mu.Lock()
	a.wanted = slices.Clone(wanted)
	a.mu.Unlock()
	a.wake()
}

func (a *Agent) wake() {
	select {
	case a.wakeup <- struct{}{}:
	default:
	}
}

// Run works until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := a.step(ctx); err != nil && ctx.Err() == nil {
			a.opts.Logger.WithError(err).Warn("step failed")
			a.count("step_failed")
		}
		select {
		case <-ctx.Done():
		case <-a.wakeup:
		case <-time.After(retryInterval):
		}
	}
}

func (a *Agent) count(name string) {
	a.opts.Scope.SubScope("weights").Counter(name).Inc(1)
}

func (a *Agent) step(ctx context.Context) error {
	a.mu.Lock()
	wanted := slices.Clone(a.wanted)
	a.mu.Unlock()
	slices.SortStableFunc(wanted, func(x, y Wanted) int { return y.Priority - x.Priority })
	for _, w := range wanted {
		if !w.Weights.Valid() {
			continue
		}
		if err := a.draw(ctx, w.Weights); err != nil {
			return err
		}
		if w.HoldOnly {
			continue
		}
		if err := a.activate(ctx, w); err != nil {
			return err
		}
	}
	return nil
}

func (a *Agent) draw(ctx context.Context, version contract.Digest) error {
	if a.store.Whole(version) {
		return nil
	}
	m, _ := a.store.Manifest(version)
	if m == nil {
		encoded, err := a.get(ctx, platform.ManifestPrefix+string(version))
		if err != nil {
			return err
		}
		if m, err = a.store.AddVersion(version, encoded); err != nil {
			return err
		}
	}
	for i := range m.Chunks() {
		if a.store.Get(version, i) != nil {
			continue
		}
		data, err := a.get(ctx, platform.ChunkPrefix+string(m.Chunk(i)))
		if err != nil {
			return err
		}
		if err := a.store.Put(version, i, data); err != nil {
			a.count("chunk_refused")
			return err
		}
	}
	return nil
}

// get reads an object from the origin, and from the store if the origin fails.
func (a *Agent) get(ctx context.Context, name string) ([]byte, error) {
	data, err := a.opts.Origin.Get(ctx, name)
	if err == nil || a.opts.Store == nil {
		return data, err
	}
	return a.opts.Store.Get(ctx, name)
}

func (a *Agent) activate(ctx context.Context, w Wanted) error {
	report, err := a.opts.Engine.Report(ctx)
	if err != nil {
		return err
	}
	if report.Digest == w.Weights {
		a.confirm(w.Weights)
		return nil
	}
	if err := a.stage(ctx, w.Weights); err != nil {
		return err
	}
	if a.opts.Drain != nil {
		if err := a.opts.Drain(ctx); err != nil {
			return err
		}
	}
	fence, err := a.fence(ctx)
	if err != nil {
		return err
	}
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err = a.opts.Engine.Order(orderCtx, Order{
		Fence: fence, Kind: OrderActivate, Digest: w.Weights, Adapters: w.Adapters, Role: w.Role,
	})
	if err != nil && !errors.Is(err, ErrEngineUncertain) {
		return err
	}
	return a.awaitActive(orderCtx, w.Weights)
}

func (a *Agent) stage(ctx context.Context, version contract.Digest) error {
	m, encoded := a.store.Manifest(version)
	if err := a.opts.Engine.PutManifest(ctx, version, encoded); err != nil {
		return err
	}
	for i := range m.Chunks() {
		if err := a.opts.Engine.PutChunk(ctx, version, i, a.store.Get(version, i)); err != nil {
			return err
		}
	}
	return nil
}

// fenceRecord is what an orderer appends to its machine's fence stream.
type fenceRecord struct {
	Machine     contract.MachineID   `json:"machine"`
	Incarnation contract.Incarnation `json:"incarnation"`
	Lease       time.Duration        `json:"lease_ns"`
}

func (a *Agent) fence(ctx context.Context) (contract.Fence, error) {
	data, err := json.Marshal(fenceRecord{Machine: a.opts.Machine, Incarnation: a.opts.Incarnation, Lease: leaseDuration})
	if err != nil {
		return 0, err
	}
	offset, err := a.opts.Log.Append(ctx, fenceStreamPrefix+string(a.opts.Machine), data)
	return contract.Fence(offset), err
}

func (a *Agent) awaitActive(ctx context.Context, version contract.Digest) error {
	for {
		report, err := a.opts.Engine.Report(ctx)
		if err == nil && report.Digest == version {
			a.confirm(version)
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "agent: activation not confirmed")
		case <-time.After(confirmInterval):
		}
	}
}

func (a *Agent) confirm(version contract.Digest) {
	a.mu.Lock()
	changed := a.active != version
	a.active = version
	a.mu.Unlock()
	if changed && a.opts.OnActive != nil {
		a.opts.OnActive(version)
	}
}
