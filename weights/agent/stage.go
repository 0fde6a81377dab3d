package agent

import (
	"context"
	"sync"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/weights"
	"mimosastand.example/mimosastand/weights/activation"
)

const stageTimeout = 10 * time.Minute

// stager puts chunks to the engine, each once in a boot of the engine: while the
// version is still being drawn, and the rest when it is whole.
type stager struct {
	engine Engine
	store  *weights.ChunkStore

	// putting lets one chunk through at a time, so that none is put twice.
	putting sync.Mutex

	mu sync.Mutex
	// boot counts resets, so that a call from before one changes nothing.
	boot   int
	staged map[contract.Digest]*stagedVersion
}

// stagedVersion is what the engine took of one version.
type stagedVersion struct {
	manifest bool
	chunks   map[int]bool
}

// reset forgets what the engine took: it restarted, or lost a version.
func (s *stager) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boot++
	s.staged = nil
}

// known returns whether the engine took the manifest and chunk i, and the boot.
func (s *stager) known(d contract.Digest, i int) (manifest, chunk bool, boot int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.staged[d]
	if v == nil {
		return false, false, s.boot
	}
	return v.manifest, v.chunks[i], s.boot
}

// took notes that the engine took the manifest and chunk i.
func (s *stager) took(d contract.Digest, i, boot int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if boot != s.boot {
		return
	}
	if s.staged == nil {
		s.staged = map[contract.Digest]*stagedVersion{}
	}
	if s.staged[d] == nil {
		s.staged[d] = &stagedVersion{chunks: map[int]bool{}}
	}
	s.staged[d].manifest = true
	s.staged[d].chunks[i] = true
}

// put stages one held chunk, and the manifest before the first one.
func (s *stager) put(ctx context.Context, d contract.Digest, i int) error {
	s.putting.Lock()
	defer s.putting.Unlock()
	manifest, chunk, boot := s.known(d, i)
	if chunk {
		return nil
	}
	data := s.store.Get(d, i)
	if data == nil {
		return ErrEngineIncomplete
	}
	if !manifest {
		_, encoded := s.store.Manifest(d)
		if err := s.engine.PutManifest(ctx, d, encoded); err != nil {
			return err
		}
	}
	if err := s.engine.PutChunk(ctx, d, i, data); err != nil {
		return err
	}
	s.took(d, i, boot)
	return nil
}

// putAll stages what the engine lacks of a whole version.
func (s *stager) putAll(ctx context.Context, d contract.Digest) error {
	m, _ := s.store.Manifest(d)
	if m == nil || !s.store.Whole(d) {
		return ErrEngineIncomplete
	}
	for i := range m.Chunks() {
		if err := s.put(ctx, d, i); err != nil {
			return err
		}
	}
	return nil
}

// stageAhead puts a chunk that was just verified, if its version is the one that
// the engine shall run. A failure does not matter: the rest is put when the
// version is whole.
func (a *Agent) stageAhead(ctx context.Context, d contract.Digest, i int) {
	if target := a.target.Load(); target == nil || *target != d {
		return
	}
	if a.stager.put(ctx, d, i) != nil {
		a.count("stage_ahead_failed")
	}
}

// stage puts what the engine still lacks of a whole version.
func (a *Agent) stage(version contract.Digest) {
	ctx, cancel := context.WithTimeout(a.ctx, stageTimeout)
	defer cancel()
	err := a.stager.putAll(ctx, version)
	if a.ctx.Err() != nil {
		return
	}
	if err != nil {
		a.opts.Logger.WithError(err).Warn("staging failed")
	}
	a.post(func() {
		if err != nil {
			a.stager.reset()
		}
		a.stepOrders(activation.StageEnded{Version: version, Result: resultOf(err)})
	})
}
