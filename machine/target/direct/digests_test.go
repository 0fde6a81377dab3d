package direct

import (
	"context"
	"crypto/sha256"
	"sync"
	"testing"
	"time"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/logs"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/peers"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/standin/fleet"
)

const (
	piecesEntry = "entry-1"
	// refusedCheckTime is for how long these tests look whether an engine takes what it must not.
	refusedCheckTime = 3 * time.Second
)

// piecesServer is an entry that answers requests for pieces with a list of digests and the pieces that
// have one.
type piecesServer struct {
	mu      sync.Mutex
	digests [][]byte
}

func (s *piecesServer) setDigests(digests [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.digests = digests
}

func (s *piecesServer) serve(_ context.Context, m contract.Message, stream *link.Stream) {
	if m.Kind != contract.KindPiecesRequest {
		return
	}
	s.mu.Lock()
	digests := s.digests
	s.mu.Unlock()
	send := func(p contract.Pieces) {
		_ = stream.Send(contract.Message{Kind: contract.KindPieces, Pieces: &p})
	}
	send(contract.Pieces{Digests: digests})
	for i := range min(len(digests), stagedPieces) {
		send(contract.Pieces{Index: uint32(i), Data: versionPiece(m.PiecesRequest.Version, i)})
	}
	send(contract.Pieces{End: true})
}

// pieceDigests returns the digests of the pieces of a version.
func pieceDigests(version int64) [][]byte {
	var digests [][]byte
	for i := range stagedPieces {
		digest := sha256.Sum256(versionPiece(version, i))
		digests = append(digests, digest[:])
	}
	return digests
}

// newLinkedTargetOf returns the process beside an engine, linked to an entry that serves pieces.
func newLinkedTargetOf(t *testing.T, e *loadingEngine, s *piecesServer) *Target {
	t.Helper()
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	entry, err := peers.Open(peers.Options{
		Self:          peers.Member{Machine: piecesEntry, Role: link.RoleEntry, Zone: "zone-a", Region: "region-a", Address: "127.0.0.1:0"},
		Store:         platform.NewStore(store.Address()),
		Log:           logs.NewLogger("peers", piecesEntry),
		FillHeartbeat: func(contract.MachineID, *contract.Heartbeat) {},
		OnHeartbeat:   func(contract.Heartbeat) {},
		ServeStream:   s.serve,
	})
	if err != nil {
		t.Fatal(err)
	}
	target := newTargetWith(t, config.Fleet{Store: store.Address(), EngineAddress: e.address})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { entry.Run(ctx) })
	wg.Go(func() { target.peers.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	for end := time.Now().Add(settleTimeout); !target.peers.IsLinked(piecesEntry); time.Sleep(tickInterval) {
		if time.Now().After(end) {
			t.Fatal("the process is not linked to the entry")
		}
	}
	return target
}

// Guards against engines that load what was staged before (WHOLE, inc2): pieces without a digest were
// neither staged nor verified, before the order and after it. The list is the same for all engines.
func TestPiecesWithoutDigestsAreNotLoaded(t *testing.T) {
	sound := pieceDigests(2)
	for name, digests := range map[string][][]byte{
		"no digests":      {},
		"too few digests": sound[:stagedPieces/2],
		"one too many":    append(pieceDigests(2), sound[0]),
	} {
		t.Run(name, func(t *testing.T) {

			e, server := newLoadingEngine(t), &piecesServer{digests: digests}
			target := newLinkedTargetOf(t, e, server)
			target.reconciler.reconcile(t.Context())
			announceVersion(target, 2)
			for end := time.Now().Add(refusedCheckTime); time.Now().Before(end); time.Sleep(tickInterval) {
				target.reconciler.reconcile(t.Context())
			}
			e.mu.Lock()
			orders, bad := e.orders, e.bad
			e.mu.Unlock()
			if orders > 0 {
				t.Errorf("%d orders accepted, bad pieces loaded: %v; want no order on such a list", orders, bad)
			}
			server.setDigests(sound)
			reconcileUntil(t, target, e, 2)
		})
	}
}

// Guards against an engine that never gets a version: the list of digests that came first had a corrupt
// one, and that list was kept for good.
func TestEngineGetsVersionOnceDigestsAreCorrected(t *testing.T) {
	const corruptPiece = 3
	corrupt := pieceDigests(2)
	corrupt[corruptPiece] = make([]byte, sha256.Size)
	e, server := newLoadingEngine(t), &piecesServer{digests: corrupt}
	target := newLinkedTargetOf(t, e, server)
	target.reconciler.reconcile(t.Context())
	announceVersion(target, 2)
	for end := time.Now().Add(settleTimeout); target.reconciler.snapshot().pieceCount < corruptPiece; time.Sleep(tickInterval) {
		if target.reconciler.reconcile(t.Context()); time.Now().After(end) {
			t.Fatal("no pieces were received")
		}
	}
	server.setDigests(pieceDigests(2))
	reconcileUntil(t, target, e, 2)
}
