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
	// stall is how long a peer may take for the next message.
	stall = 2 * time.Second
	// waitTime is how long a peer that is asked for pieces as they come may have none: it
	// may be stuck where another is not.
	waitTime = 1800 * time.Millisecond
)

// ErrNoProgress means that a peer waits for the pieces itself.
var ErrNoProgress = errors.New("depot: no piece for some time")

// Wanted is what a machine is asked for.
type FetchMode uint8

const (
	// AsTheyCome asks for the pieces as the machine gets them.
	FetchFollow FetchMode = iota
	// Kept asks only for what the machine holds already.
	FetchHeld
	// Drawn asks the machine to draw the pieces from the origin, at once.
	FetchFromOrigin
)

// Fetch asks a machine for the missing pieces of a version and returns how many
// came. It fails with ErrNoProgress if the machine has none to send as they come. current returns the set of pieces or nil, begin makes it from the digests.
func Fetch(ctx context.Context, p *peers.Peers, id contract.MachineID, v Version, wanted FetchMode,
	current func() *pieces.Set, begin func([][]byte) *pieces.Set) (int, error) {
	request := contract.PiecesRequest{
		Model: v.Model, Version: v.Number, Kept: wanted == FetchHeld, Draw: wanted == FetchFromOrigin, Have: have(current()),
	}
	s, err := p.OpenStream(ctx, id, contract.Message{Kind: contract.KindPiecesRequest, PiecesRequest: &request})
	if err != nil {
		return 0, err
	}
	defer s.Reset()
	stop := context.AfterFunc(ctx, s.Reset)
	defer stop()
	return receive(s, wanted, begin)
}

func have(set *pieces.Set) []uint32 {
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

func receive(s *link.Stream, wanted FetchMode, begin func([][]byte) *pieces.Set) (int, error) {
	var set *pieces.Set
	got := 0
	last := time.Now()
	for {
		_ = s.SetReadDeadline(time.Now().Add(stall))
		m, err := s.Recv()
		if err != nil {
			return got, err
		}
		switch {
		case m.Kind != contract.KindPieces:
			return got, errors.Wrapf(link.ErrFrame, "reply of kind %d", m.Kind)
		case m.Pieces.End:
			return got, nil
		case m.Pieces.Wait:
			if wanted == FetchFollow && time.Since(last) >= waitTime {
				return got, ErrNoProgress
			}
		case m.Pieces.Digests != nil:
			set = begin(m.Pieces.Digests)
		case set == nil:
			return got, errors.Wrap(link.ErrFrame, "piece before digests")
		default:
			news, err := set.Add(int(m.Pieces.Index), m.Pieces.Data)
			if err != nil {
				return got, err
			}
			if news {
				got++
			}
			last = time.Now()
		}
	}
}
