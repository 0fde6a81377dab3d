package target

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/target/gate"
)

// follow sends a feed to a stream until the feed ends or the stream breaks.
func (p *Process) follow(ctx context.Context, s *link.Stream, f *feed, r *reader) {
	p.streams.Add(1)
	defer p.streams.Add(-1)
	ctx, broken := context.WithCancel(ctx)
	read := make(chan bool, 1)
	go func() {
		inOrder := p.readCancel(s, f.id)
		if !inOrder {
			broken()
		}
		read <- inOrder
	}()
	whole := p.pump(ctx, s, f, r)
	if whole {
		_ = s.SetReadDeadline(time.Now().Add(closeTimeout))
		_ = s.CloseSend()
	} else {
		s.Reset()
	}
	delivered := <-read && whole
	p.leaveFeed(f, r, whole, delivered)
	broken()
}

// pump sends what the feed has for r. It reports whether the stream was given
// the feed's last message.
func (p *Process) pump(ctx context.Context, s *link.Stream, f *feed, r *reader) (whole bool) {
	batch := make([]contract.Message, 0, batchFrames+2)
	for {
		select {
		case <-r.ready:
		case <-ctx.Done():
			return false
		}
		p.mu.Lock()
		out, last, lost := f.take(r, batch[:0])
		p.mu.Unlock()
		for _, m := range out {
			if s.Send(m) != nil {
				return false
			}
			if m.Chunk != nil {
				p.sent.Add(int64(len(m.Chunk.Data)))
			}
		}
		if last || lost {
			return last && !lost
		}
	}
}

// readCancel reads what the sender says after it opened the stream. It reports
// whether the sender ended its side in order, which breaks nothing.
func (p *Process) readCancel(s *link.Stream, id contract.AttemptID) (inOrder bool) {
	for {
		m, err := s.Recv()
		switch {
		case err != nil:
			return errors.Is(err, io.EOF)
		case m.Kind == contract.KindCancel && m.Cancel.Attempt == id:
			p.step(gate.Cancelled{Attempt: id})
		default:
			metrics.CountIgnored(p.scope, contract.ReasonBadFrame)
		}
	}
}

// leaveFeed detaches a reader and tells the gate if nobody is left to read.
// whole tells that the reader was given all, delivered that its sender has it.
func (p *Process) leaveFeed(f *feed, r *reader, whole, delivered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f.detach(r)
	if delivered {
		delete(p.undelivered, f.id)
	}
	if !whole && len(f.readers) == 0 && p.feeds[f.id] == f {
		p.stepLocked(gate.Disconnected{Attempt: f.id})
	}
}
