package weightcache

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/peers"
	"mimosastand.example/mimosastand/weights/pieces"
)

const (
	// messageTimeout is how long a peer may take to send the next message.
	messageTimeout = 2 * time.Second
	// peerProgressTimeout is how long a peer that sends pieces as it gets them may have none
	// to send: it may be stuck where another peer is not.
	peerProgressTimeout = 1800 * time.Millisecond
)

// ErrNoProgress means that a peer has been waiting for pieces itself for too long.
var ErrNoProgress = errors.New("weightcache: peer sent no piece within the progress timeout")

// FetchMode is what is requested from a machine.
type FetchMode uint8

const (
	// FetchFollow requests the pieces as the machine gets them.
	FetchFollow FetchMode = iota
	// FetchHeld requests only the pieces that the machine holds already.
	FetchHeld
	// FetchFromOrigin requests the machine to download the pieces from the origin at once.
	FetchFromOrigin
	// FetchDigests requests only the digests, if the machine has them.
	FetchDigests
)

// Fetch requests the missing pieces of a version from a machine and returns how many were
// added. currentSet returns the set of pieces or nil, and initSet creates it from the
// digests, unless they are invalid. In the mode FetchFollow it fails with ErrNoProgress if the machine reports that
// it waits itself and has sent no piece for peerProgressTimeout.
func Fetch(ctx context.Context, p *peers.Peers, peer contract.MachineID, v Version, mode FetchMode,
	currentSet func() *pieces.Set, initSet func([][]byte) (*pieces.Set, error)) (int, error) {
	request := contract.PiecesRequest{
		Model: v.Model, Version: v.Number, HeldOnly: mode == FetchHeld || mode == FetchDigests, DigestsOnly: mode == FetchDigests, FromOrigin: mode == FetchFromOrigin, Have: heldIndexes(currentSet()),
	}
	s, err := p.OpenStream(ctx, peer, contract.Message{Kind: contract.KindPiecesRequest, PiecesRequest: &request})
	if err != nil {
		return 0, err
	}
	defer s.Reset()
	stop := context.AfterFunc(ctx, s.Reset)
	defer stop()
	return receivePieces(s, mode, initSet)
}

// heldIndexes returns the indexes of the pieces that are held.
func heldIndexes(set *pieces.Set) []uint32 {
	if set == nil {
		return nil
	}
	var list []uint32
	for i := range set.Len() {
		if set.Get(i) != nil {
			list = append(list, uint32(i))
		}
	}
	return list
}

// receivePieces receives messages until the last one and returns how many pieces were added.
func receivePieces(s *link.Stream, mode FetchMode, initSet func([][]byte) (*pieces.Set, error)) (int, error) {
	var set *pieces.Set
	var digests [][]byte
	got := 0
	lastPieceAt := time.Now()
	for {
		_ = s.SetReadDeadline(time.Now().Add(messageTimeout))
		m, err := s.Recv()
		if err != nil {
			return got, err
		}
		switch {
		case m.Kind != contract.KindPieces:
			return got, errors.Wrapf(link.ErrFrame, "message of kind %d in reply to a request for pieces", m.Kind)
		case m.Pieces.End:
			return got, nil
		case m.Pieces.Wait:
			if mode == FetchFollow && time.Since(lastPieceAt) >= peerProgressTimeout {
				return got, ErrNoProgress
			}
		case m.Pieces.Digests != nil:
			digests = m.Pieces.Digests
			if set, err = initSet(digests); err != nil {
				return got, err
			}
		case set == nil:
			return got, errors.Wrap(link.ErrFrame, "piece received before the digests")
		default:
			isNew, err := set.AddFrom(digests, int(m.Pieces.Index), m.Pieces.Data)
			if err != nil {
				return got, err
			}
			if isNew {
				got++
			}
			lastPieceAt = time.Now()
		}
	}
}
