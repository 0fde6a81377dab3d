package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/weights"
)

// fakeStore is a platform.Store and platform.Log in memory.
type fakeStore struct {
	mu      sync.Mutex
	objects map[string][]byte
	gets    map[string]int
	appends int
	down    bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string][]byte{}, gets: map[string]int{}}
}

func (s *fakeStore) Get(_ context.Context, name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gets[name]++
	if s.down {
		return nil, platform.ErrUnavailable
	}
	data, ok := s.objects[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return data, nil
}

func (s *fakeStore) Put(_ context.Context, name string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = append([]byte(nil), data...)
	return nil
}

func (s *fakeStore) Append(context.Context, string, []byte) (contract.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	return contract.Offset(s.appends), nil
}

func (s *fakeStore) Read(context.Context, string, contract.Offset, time.Duration) (platform.Batch, error) {
	return platform.Batch{}, platform.ErrUnavailable
}

// fakeEngine verifies what it is given, as the real ones do.
type fakeEngine struct {
	mu     sync.Mutex
	store  *weights.ChunkStore
	active contract.Digest
	orders []Order
	// loseReply makes the next order take effect without a reply.
	loseReply bool
	fencing   bool
	fence     contract.Fence
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{store: weights.NewChunkStore(), fencing: true}
}

func (e *fakeEngine) Report(context.Context) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Report{Boot: "b1", Digest: e.active, Fencing: e.fencing}, nil
}

func (e *fakeEngine) PutManifest(_ context.Context, d contract.Digest, encoded []byte) error {
	_, err := e.store.AddVersion(d, encoded)
	return err
}

func (e *fakeEngine) PutChunk(_ context.Context, d contract.Digest, i int, data []byte) error {
	if err := e.store.Put(d, i, data); err != nil {
		return errors.Mark(err, ErrEngineChunk)
	}
	return nil
}

func (e *fakeEngine) Order(_ context.Context, o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	if o.Fence < e.fence {
		return ErrEngineFence
	}
	if !e.store.Whole(o.Digest) {
		return ErrEngineNotWhole
	}
	e.fence, e.active = o.Fence, o.Digest
	if e.loseReply {
		e.loseReply = false
		return ErrEngineUncertain
	}
	return nil
}
