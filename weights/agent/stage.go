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

// stager sends chunks to the engine, each once per boot of the engine: some while the
// version is still being downloaded, and the rest when it is complete.
type stager struct {
	engine Engine
	store  *weights.ChunkStore

	// stageMu lets one chunk through at a time, so that none is sent twice.
	stageMu sync.Mutex

	mu sync.Mutex
	// boot counts resets, so that a call that began before a reset records nothing.
	boot   int
	staged map[contract.Digest]*stagedVersion
}

// stagedVersion is what the engine received of one version.
type stagedVersion struct {
	manifest bool
	chunks   map[int]bool
}

// reset discards the record of what the engine received. It is called when the engine
// restarted, or when staging failed or the engine does not hold a version.
func (s *stager) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boot++
	s.staged = nil
}

// stagedState returns whether the engine received the manifest and chunk i, and the boot.
func (s *stager) stagedState(d contract.Digest, i int) (manifest, chunk bool, boot int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.staged[d]
	if v == nil {
		return false, false, s.boot
	}
	return v.manifest, v.chunks[i], s.boot
}

// recordStaged records that the engine received the manifest and chunk i, unless a reset
// came after boot was read.
func (s *stager) recordStaged(d contract.Digest, i, boot int) {
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

// stageChunk stages one held chunk, and the manifest before the first one.
func (s *stager) stageChunk(ctx context.Context, d contract.Digest, i int) error {
	s.stageMu.Lock()
	defer s.stageMu.Unlock()
	manifest, chunk, boot := s.stagedState(d, i)
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
	s.recordStaged(d, i, boot)
	return nil
}

// stageVersion stages what the engine has not received of a complete version.
func (s *stager) stageVersion(ctx context.Context, d contract.Digest) error {
	m, _ := s.store.Manifest(d)
	if m == nil || !s.store.Complete(d) {
		return ErrEngineIncomplete
	}
	for i := range m.Chunks() {
		if err := s.stageChunk(ctx, d, i); err != nil {
			return err
		}
	}
	return nil
}

// stageEarly stages a chunk that was just verified, if its version is the one that the
// engine is to run. A failure is harmless, as missing chunks are staged when the version
// is complete.
func (a *Agent) stageEarly(ctx context.Context, d contract.Digest, i int) {
	if target := a.desiredVersion.Load(); target == nil || *target != d {
		return
	}
	if a.stager.stageChunk(ctx, d, i) != nil {
		a.count("stage_ahead_failed")
	}
}

// stage stages what the engine has not received of a complete version and reports the
// result to the activation.
func (a *Agent) stage(version contract.Digest) {
	ctx, cancel := context.WithTimeout(a.ctx, stageTimeout)
	defer cancel()
	err := a.stager.stageVersion(ctx, version)
	if a.ctx.Err() != nil {
		return
	}
	if err != nil {
		a.opts.Logger.WithError(err).Warn("staging to the engine failed")
	}
	a.post(func() {
		if err != nil {
			a.stager.reset()
		}
		a.stepActivation(activation.StageEnded{Version: version, Result: resultOf(err)})
	})
}
