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

// sendFeed sends a feed to a stream until the feed ends or the stream breaks.
func (p *Process) sendFeed(ctx context.Context, s *link.Stream, f *feed, r *reader) {
	p.openStreams.Add(1)
	defer p.openStreams.Add(-1)
	ctx, cancel := context.WithCancel(ctx)
	readDone := make(chan bool, 1)
	go func() {
		closed := p.readCancels(s, f.id)
		if !closed {
			cancel()
		}
		readDone <- closed
	}()
	complete := p.sendMessages(ctx, s, f, r)
	if complete {
		_ = s.SetReadDeadline(time.Now().Add(closeTimeout))
		_ = s.CloseSend()
	} else {
		s.Reset()
	}
	delivered := <-readDone && complete
	p.detachReader(f, r, complete, delivered)
	cancel()
}

// sendMessages sends the messages of the feed that r has not read. It reports whether the
// complete feed was sent.
func (p *Process) sendMessages(ctx context.Context, s *link.Stream, f *feed, r *reader) (complete bool) {
	batch := make([]contract.Message, 0, batchFrames+2)
	for {
		select {
		case <-r.ready:
		case <-ctx.Done():
			return false
		}
		p.mu.Lock()
		messages, last, lost := f.nextMessages(r, batch[:0])
		p.mu.Unlock()
		for _, m := range messages {
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

// readCancels reads the messages that the sender sends after it opened the stream, until
// the stream ends. It reports whether the sender closed its side of the stream in order; the
// answer is still sent then.
func (p *Process) readCancels(s *link.Stream, id contract.AttemptID) (closed bool) {
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

// detachReader detaches a reader from a feed and reports to the gate if no reader is left
// before the answer was sent. complete is set if the complete feed was sent to the reader,
// delivered if the sender also confirmed it.
func (p *Process) detachReader(f *feed, r *reader, complete, delivered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f.detach(r)
	if delivered {
		delete(p.undelivered, f.id)
	}
	if !complete && len(f.readers) == 0 && p.feeds[f.id] == f {
		p.stepLocked(gate.Disconnected{Attempt: f.id})
	}
}
