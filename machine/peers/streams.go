package peers

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
)

// pullTimeout bounds the opening of a pull, the silence within its reply, the sending
// of a stream's first message, and the wait for the first message of a peer's stream.
const pullTimeout = 700 * time.Millisecond

// Open opens a stream to a machine and sends its first message.
func (p *Peers) OpenStream(ctx context.Context, id contract.MachineID, m contract.Message) (*link.Stream, error) {
	c, ok := p.conn(id)
	if !ok {
		return nil, ErrNoPeer
	}
	s, err := c.Open(ctx)
	if err != nil {
		return nil, err
	}
	_ = s.SetWriteDeadline(time.Now().Add(pullTimeout))
	if err := s.Send(m); err != nil {
		s.Reset()
		return nil, err
	}
	return s, nil
}

// Pull asks one linked entry for a topic's records above an offset; successive
// calls ask different ones.
func (p *Peers) Pull(ctx context.Context, topic string, after int64) (contract.Records, error) {
	id, ok := p.next()
	if !ok {
		return contract.Records{}, ErrNoPeer
	}
	return p.PullFrom(ctx, id, topic, after)
}

// PullFrom asks a machine for a topic's records above an offset.
func (p *Peers) PullFrom(ctx context.Context, id contract.MachineID, topic string, after int64) (contract.Records, error) {
	pull := contract.Message{Kind: contract.KindRecordsPull, RecordsPull: &contract.RecordsPull{Topic: topic, After: after}}
	opening, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	s, err := p.OpenStream(opening, id, pull)
	if err != nil {
		return contract.Records{}, err
	}
	defer s.Close()
	s.SetReadPatience(pullTimeout)
	m, err := s.Recv()
	if err != nil {
		return contract.Records{}, err
	}
	if m.Kind != contract.KindRecords {
		return contract.Records{}, errors.Wrapf(link.ErrFrame, "reply of kind %d", m.Kind)
	}
	if m.Records.Busy {
		return contract.Records{}, ErrBusy
	}
	return *m.Records, nil
}

// ServeStream implements link.Handler.
func (p *Peers) ServeStream(ctx context.Context, _ *link.Conn, s *link.Stream) {
	_ = s.SetReadDeadline(time.Now().Add(pullTimeout))
	m, err := s.Recv()
	if err != nil {
		return
	}
	p.opts.ServeStream(ctx, m, s)
}
