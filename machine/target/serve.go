package target

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/target/gate"
)

const (
	// openTimeout bounds the time until a stream's first message.
	openTimeout = 5 * time.Second
	// closeTimeout bounds the time until a sender that was sent a complete answer closes
	// its side of the stream, which confirms that the answer arrived.
	closeTimeout = 3 * time.Second
)

// handler handles the events of the process's link endpoint.
type handler struct{ p *Process }

var _ link.Handler = handler{}

// Heartbeat implements link.Handler.
func (h handler) Heartbeat(peer link.Peer) contract.Heartbeat {
	p := h.p
	p.mu.Lock()
	defer p.mu.Unlock()
	load := p.gate.Load(peer.Machine)
	return contract.Heartbeat{
		Machine: p.cfg.Machine, Incarnation: p.incarnation, SettingsOffset: p.gate.Offset(),
		Load: &load, Zone: p.cfg.Zone, Service: p.cfg.Target.Service,
	}
}

// HeartbeatReceived implements link.Handler.
func (h handler) HeartbeatReceived(c *link.Conn, hb contract.Heartbeat) {
	p := h.p
	if c.Peer().Machine != hb.Machine {
		metrics.CountIgnored(p.scope, contract.ReasonUnauthorized)
		return
	}
	p.peers.addIncoming(c)
	if c.Peer().Role == link.RoleEntry {
		p.step(gate.SenderSeen{Machine: hb.Machine})
	}
	p.observeOffset(hb.SettingsOffset)
}

// observeOffset passes the settings offset of a peer to the follower.
func (p *Process) observeOffset(offset contract.Offset) {
	if p.follower != nil {
		p.follower.Observe(offset)
	}
}

// PeerRejected implements link.Handler.
func (h handler) PeerRejected(err error) {
	reason := contract.ReasonUnauthorized
	if errors.Is(err, link.ErrFrame) {
		reason = contract.ReasonBadFrame
	}
	metrics.CountRefusal(h.p.scope, reason)
}

// ServeStream implements link.Handler.
func (h handler) ServeStream(ctx context.Context, c *link.Conn, s *link.Stream) {
	p := h.p
	_ = s.SetReadDeadline(time.Now().Add(openTimeout))
	m, err := s.Recv()
	if err != nil {
		p.rejectStream(s, err)
		return
	}
	_ = s.SetReadDeadline(time.Time{})
	if p.servePeer(ctx, c.Peer(), s, m) {
		return
	}
	if c.Peer().Role != link.RoleEntry {
		metrics.CountRefusal(p.scope, contract.ReasonUnauthorized)
		s.Reset()
		return
	}
	p.serveAttempt(ctx, c, s, m)
}

// servePeer answers requests for settings records, for the list of held chunks and for
// chunks of weights. It reports whether the message was such a request.
func (p *Process) servePeer(ctx context.Context, from link.Peer, s *link.Stream, m contract.Message) bool {
	switch {
	case m.Kind == contract.KindSettingsPull && p.follower != nil:
		records := p.follower.Serve(*m.SettingsPull)
		_ = s.Send(contract.Message{Kind: contract.KindSettingsRecords, SettingsRecords: &records})
	case m.Kind == contract.KindHave && p.agent != nil && from.Role == link.RoleTarget:
		_ = s.Send(p.agent.ServeHave(ctx, from.Machine, *m.Have))
	case m.Kind == contract.KindChunkRequest && p.agent != nil && from.Role == link.RoleTarget:
		_ = p.agent.ServeChunk(ctx, from.Machine, *m.ChunkRequest, s.Send)
	default:
		return false
	}
	return true
}

func (p *Process) serveAttempt(ctx context.Context, c *link.Conn, s *link.Stream, m contract.Message) {
	switch m.Kind {
	case contract.KindStart:
		p.serveStart(ctx, c.Peer().Machine, s, *m.Start)
	case contract.KindQuery:
		p.serveQuery(ctx, c.Peer().Machine, s, *m.Query)
	case contract.KindCancel:
		p.step(gate.Cancelled{Attempt: m.Cancel.Attempt})
	default:
		p.rejectStream(s, link.ErrFrame)
	}
}

// rejectStream counts and resets a stream that opened without a usable message.
func (p *Process) rejectStream(s *link.Stream, err error) {
	reason := contract.ReasonTruncatedAnswer
	if errors.Is(err, link.ErrFrame) {
		reason = contract.ReasonBadFrame
	}
	metrics.CountIgnored(p.scope, reason)
	s.Reset()
}

func (p *Process) serveStart(ctx context.Context, from contract.MachineID, s *link.Stream, start contract.Start) {
	p.observeOffset(start.SettingsOffset)
	p.received.Add(int64(len(start.Body)))
	f, r, status := p.submit(from, start)
	if status != nil {
		_ = s.Send(contract.Message{Kind: contract.KindStatus, Status: status})
		return
	}
	if f != nil {
		p.sendFeed(ctx, s, f, r)
	}
}

// submit passes an attempt to the gate. It returns the status of an attempt that is already
// known, and otherwise the feed of the attempt with a reader attached to it.
func (p *Process) submit(from contract.MachineID, start contract.Start) (*feed, *reader, *contract.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := start.Attempt
	existing := p.feeds[id]
	f := existing
	if f == nil {
		f = newFeed(id)
		p.feeds[id] = f
	}
	if existing == nil {
		r := f.attach(0, true)
		status := p.stepLocked(gate.Arrived{From: from, Start: start})
		if status != nil {
			delete(p.feeds, id)
		}
		return f, r, status
	}
	return nil, nil, p.stepLocked(gate.Arrived{From: from, Start: start})
}

func (p *Process) serveQuery(ctx context.Context, from contract.MachineID, s *link.Stream, q contract.Query) {
	status, f, r := p.query(from, q)
	if status == nil {
		return
	}
	err := s.Send(contract.Message{Kind: contract.KindStatus, Status: status})
	if f == nil {
		return
	}
	if err != nil {
		p.detachReader(f, r, false, false)
		return
	}
	p.sendFeed(ctx, s, f, r)
}

// query passes a query to the gate and attaches a reader if a resend was requested and the
// answer can be sent.
func (p *Process) query(from contract.MachineID, q contract.Query) (*contract.Status, *feed, *reader) {
	p.mu.Lock()
	defer p.mu.Unlock()
	status := p.stepLocked(gate.Queried{Query: q})
	if status == nil || !q.Resend {
		return status, nil, nil
	}
	if f := p.feeds[status.Attempt]; f != nil && f.record != nil && f.record.CanSendFrom(q.ResendFrom) {
		p.stepLocked(gate.Resumed{Attempt: status.Attempt})
		return status, f, f.attach(q.ResendFrom, false)
	}
	record := p.gate.Answers().Get(status.Attempt)
	if record == nil || !record.HasStarted() {
		return status, nil, nil
	}
	end, ended := record.End()
	if !ended || !record.CanSendFrom(q.ResendFrom) {
		if status.State == contract.AttemptDone {
			status.State = contract.AttemptAnswerDropped
		}
		return status, nil, nil
	}
	end.Load = p.gate.Load(from)
	f := newFeed(status.Attempt)
	f.record, f.end = record, &end
	return status, f, f.attach(q.ResendFrom, false)
}
