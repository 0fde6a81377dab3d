package peers

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/platform"
)

// streamTimeout bounds the opening of a pull's stream, the silence within its reply, the
// sending of a stream's first message, and the wait for the first message of a stream
// that a peer opened.
const streamTimeout = 700 * time.Millisecond

// OpenStream opens a stream to a machine and sends its first message.
func (p *Peers) OpenStream(ctx context.Context, id contract.MachineID, m contract.Message) (*link.Stream, error) {
	c, ok := p.liveConn(id)
	if !ok {
		return nil, ErrNoPeer
	}
	s, err := c.Open(ctx)
	if err != nil {
		return nil, err
	}
	_ = s.SetWriteDeadline(time.Now().Add(streamTimeout))
	if err := s.Send(m); err != nil {
		s.Reset()
		return nil, err
	}
	return s, nil
}

// Pull requests a topic's records above an offset from a linked entry; successive calls
// use different entries in turn.
func (p *Peers) Pull(ctx context.Context, topic string, after int64) (contract.Records, error) {
	id, ok := p.nextEntry()
	if !ok {
		return contract.Records{}, ErrNoPeer
	}
	return p.PullFrom(ctx, id, topic, after)
}

// PullFrom requests a topic's records above an offset from a machine. It returns ErrBusy
// if the machine is serving other pulls.
func (p *Peers) PullFrom(ctx context.Context, id contract.MachineID, topic string, after int64) (contract.Records, error) {
	pull := contract.Message{Kind: contract.KindRecordsPull, RecordsPull: &contract.RecordsPull{Topic: topic, After: after, AcceptPacked: true}}
	openCtx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	s, err := p.OpenStream(openCtx, id, pull)
	if err != nil {
		return contract.Records{}, err
	}
	defer s.Close()
	defer context.AfterFunc(ctx, s.Reset)()
	s.SetReadIdleTimeout(streamTimeout)
	m, err := s.Recv()
	if err != nil {
		return contract.Records{}, err
	}
	if m.Kind != contract.KindRecords {
		return contract.Records{}, errors.Wrapf(link.ErrFrame, "unexpected kind %d of the reply to a pull", m.Kind)
	}
	if m.Records.Busy {
		return contract.Records{}, ErrBusy
	}
	if err := unpack(m.Records.Records); err != nil {
		return contract.Records{}, err
	}
	return *m.Records, nil
}

// ServeStream implements link.Handler. It answers requests for members, and passes all other
// streams with their first message to Options.ServeStream.
func (p *Peers) ServeStream(ctx context.Context, _ *link.Conn, s *link.Stream) {
	_ = s.SetReadDeadline(time.Now().Add(streamTimeout))
	m, err := s.Recv()
	if err != nil {
		return
	}
	if m.Kind == contract.KindRecordsPull && m.RecordsPull.Topic == platform.TopicMembers {
		p.serveMembers(*m.RecordsPull, s)
		return
	}
	p.opts.ServeStream(ctx, m, s)
}

// serveMembers sends a peer the member records that it requested.
func (p *Peers) serveMembers(pull contract.RecordsPull, s *link.Stream) {
	records := p.memberFeed.RecordsAfter(pull.After)
	_ = s.SetWriteDeadline(time.Now().Add(streamTimeout))
	if err := s.Send(contract.Message{Kind: contract.KindRecords, Records: &records}); err != nil {
		p.opts.Log.WithError(err).Warn("sending members to peer failed")
	}
}
