package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/weights"
)

// fakeStore is a durable.Store and durable.Log in memory.
type fakeStore struct {
	mu      sync.Mutex
	objects map[string][]byte
	gets    map[string]int
	log     map[string][]durable.Record
	down    bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string][]byte{}, gets: map[string]int{}, log: map[string][]durable.Record{}}
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) Get(_ context.Context, name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, durable.ErrUnavailable
	}
	s.gets[name]++
	data, ok := s.objects[name]
	if !ok {
		return nil, durable.ErrNotFound
	}
	return data, nil
}

func (s *fakeStore) Put(_ context.Context, name string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = append([]byte(nil), data...)
	return nil
}

func (s *fakeStore) Append(_ context.Context, stream string, data []byte) (contract.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, durable.ErrUnavailable
	}
	offset := contract.Offset(len(s.log[stream]) + 1)
	s.log[stream] = append(s.log[stream], durable.Record{Offset: offset, Time: time.Now(), Data: data})
	return offset, nil
}

func (s *fakeStore) Read(_ context.Context, stream string, after contract.Offset, _ time.Duration) (durable.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return durable.Batch{Records: s.log[stream][after:]}, nil
}

// fakeEngine verifies the chunks that it receives, as real engines do.
type fakeEngine struct {
	mu        sync.Mutex
	store     *weights.ChunkStore
	active    contract.Digest
	boot      string
	loseReply bool
	fencing   bool
	fence     contract.Fence
	seq       uint64
	// stagedChunks counts the chunks that it received.
	stagedChunks int
	// unloadable is a version that the engine cannot load.
	unloadable contract.Digest
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{store: weights.NewChunkStore(), fencing: true, boot: "b1"}
}

func (e *fakeEngine) update(f func(e *fakeEngine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e)
}

func (e *fakeEngine) Report(context.Context) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	return Report{Boot: e.boot, Seq: e.seq, Digest: e.active, Fencing: e.fencing, Warm: true}, nil
}

func (e *fakeEngine) chunks() *weights.ChunkStore {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.store
}

func (e *fakeEngine) PutManifest(_ context.Context, d contract.Digest, encoded []byte) error {
	_, err := e.chunks().AddVersion(d, encoded)
	return err
}

func (e *fakeEngine) PutChunk(_ context.Context, d contract.Digest, i int, data []byte) error {
	if err := e.chunks().Put(d, i, data); err != nil {
		return errors.Mark(err, ErrEngineRefusedChunk)
	}
	e.update(func(e *fakeEngine) { e.stagedChunks++ })
	return nil
}

func (e *fakeEngine) Order(_ context.Context, o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		return ErrEngineFenced
	}
	if !e.store.Complete(o.Digest) || o.Digest == e.unloadable {
		return ErrEngineIncomplete
	}
	e.fence, e.active = o.Fence, o.Digest
	if e.loseReply {
		e.loseReply = false
		return ErrEngineUncertain
	}
	return nil
}

// fakeNet connects agents by direct calls. Each entry of faults corrupts one reply.
type fakeNet struct {
	mu     sync.Mutex
	agents map[contract.MachineID]*Agent
	faults []string
	// expected is how many agents a complete host list has.
	expected int
}

func newFakeNet() *fakeNet { return &fakeNet{agents: map[contract.MachineID]*Agent{}} }

func (n *fakeNet) add(m contract.MachineID, a *Agent) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.agents[m] = a
}

func (n *fakeNet) remove(m contract.MachineID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.agents, m)
}

func (n *fakeNet) get(m contract.MachineID) *Agent {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.agents[m]
}

func (n *fakeNet) peersOf(self contract.MachineID) Peers { return &fakePeers{net: n, self: self} }

type fakePeers struct {
	net  *fakeNet
	self contract.MachineID
}

var errNoPeer = errors.New("no such peer")

// Known reports whether all agents of the test have started.
func (p *fakePeers) Known() bool {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	return len(p.net.agents) >= p.net.expected
}

func (p *fakePeers) List() []Peer {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	var out []Peer
	for m := range p.net.agents {
		if m != p.self {
			out = append(out, Peer{Machine: m, Zone: "z1", Region: "r1", Service: "s"})
		}
	}
	return out
}

func (p *fakePeers) SendHave(ctx context.Context, to contract.MachineID, have contract.Have) (contract.Have, error) {
	a := p.net.get(to)
	if a == nil {
		return contract.Have{}, errNoPeer
	}
	return *a.ServeHave(ctx, p.self, have).Have, nil
}

func (p *fakePeers) RequestChunk(ctx context.Context, to contract.MachineID, req contract.ChunkRequest) (contract.ChunkReply, error) {
	a := p.net.get(to)
	if a == nil {
		return contract.ChunkReply{}, errNoPeer
	}
	var complete contract.ChunkReply
	err := a.ServeChunk(ctx, p.self, req, func(m contract.Message) error {
		data := append(complete.Data, m.ChunkReply.Data...)
		complete = *m.ChunkReply
		complete.Data = data
		return ctx.Err()
	})
	if err == nil && complete.Refused == "" && req.Index != ManifestIndex {
		p.net.corruptReply(&complete)
	}
	return complete, err
}

// corruptReply applies the next fault to a reply.
func (n *fakeNet) corruptReply(r *contract.ChunkReply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.faults) == 0 {
		return
	}
	fault := n.faults[0]
	n.faults = n.faults[1:]
	r.Data = append([]byte(nil), r.Data...)
	switch fault {
	case "corrupt":
		r.Data[0] ^= 1
	case "short":
		r.Data = r.Data[1:]
	case "long":
		r.Data = append(r.Data, 0)
	case "other":
		r.Index++
	}
}
