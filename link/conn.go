package link

import (
	"context"
	"io"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"mimosastand.example/mimosastand/contract"
)

// Conn is one connection to a peer. It is safe for concurrent use.
type Conn struct {
	endpoint *Endpoint
	qc       *quic.Conn
	peer     Peer
	// dialed tells the side that sends heartbeats at the interval; the other
	// side answers each, so that its acknowledgement travels along.
	dialed bool
	// beat asks for a heartbeat now.
	beat chan struct{}
}

// Peer returns the identity that the peer's certificate proves.
func (c *Conn) Peer() Peer {
	return c.peer
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} {
	return c.qc.Context().Done()
}

// Err returns why the connection ended, or nil while it is open.
func (c *Conn) Err() error {
	if c.qc.Context().Err() == nil {
		return nil
	}
	return translate(context.Cause(c.qc.Context()))
}

// Close ends the connection and all its streams.
func (c *Conn) Close() {
	_ = c.qc.CloseWithError(codeClosed, "closed")
}

// Open opens a stream to the peer. It fails with ErrClosed or ErrSilent, or
// with ctx's error while the peer's stream limit is reached.
func (c *Conn) Open(ctx context.Context) (*Stream, error) {
	qs, err := c.qc.OpenStreamSync(ctx)
	if err != nil {
		return nil, translate(err)
	}
	return newStream(qs, c.endpoint.cfg.MaxFrameBytes), nil
}

// start runs the heartbeats and the accept loop until the connection ends.
func (c *Conn) start(beats *Stream) {
	e := c.endpoint
	e.meter.begin(c)
	e.wg.Add(3)
	go c.sendHeartbeats(beats)
	go c.receiveHeartbeats(beats)
	go c.acceptStreams()
}

// Beat sends a heartbeat now instead of at the next interval.
func (c *Conn) SendHeartbeat() {
	select {
	case c.beat <- struct{}{}:
	default:
	}
}

func (c *Conn) sendHeartbeats(beats *Stream) {
	defer c.endpoint.wg.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var encoder beatEncoder
	for {
		hb := encoder.encode(c.endpoint.handler.Heartbeat(c.peer))
		if err := beats.Send(contract.Message{Kind: contract.KindHeartbeat, Heartbeat: &hb}); err != nil {
			return
		}
		timer.Reset(c.nextBeat())
		select {
		case <-timer.C:
		case <-c.beat:
		case <-c.Done():
			return
		}
	}
}

// nextBeat is the time until the next heartbeat that nobody asks for. The side
// that did not dial sends none by itself.
func (c *Conn) nextBeat() time.Duration {
	if !c.dialed {
		return math.MaxInt64
	}
	return c.endpoint.cfg.beatInterval(c.peer.Role, c.endpoint.meter.dialed())
}

func (c *Conn) receiveHeartbeats(beats *Stream) {
	defer c.endpoint.wg.Done()
	var decoder beatDecoder
	for {
		_ = beats.SetReadDeadline(time.Now().Add(c.endpoint.cfg.SilentAfter))
		m, err := beats.Recv()
		if err != nil {
			c.heartbeatsEnded(err)
			return
		}
		if m.Kind != contract.KindHeartbeat {
			continue
		}
		c.endpoint.handler.HeartbeatReceived(c, decoder.decode(*m.Heartbeat))
		if !c.dialed {
			c.SendHeartbeat()
		}
	}
}

func (c *Conn) heartbeatsEnded(err error) {
	if errors.Is(err, ErrFrame) {
		c.endpoint.handler.PeerRejected(err)
	}
	if errors.Is(err, io.EOF) || c.qc.Context().Err() != nil {
		c.Close()
		return
	}
	_ = c.qc.CloseWithError(codeSilent, "silent")
}

func (c *Conn) acceptStreams() {
	defer c.endpoint.wg.Done()
	defer c.endpoint.meter.end(c)
	for {
		qs, err := c.qc.AcceptStream(c.qc.Context())
		if err != nil {
			return
		}
		c.endpoint.wg.Add(1)
		go c.serve(qs)
	}
}

func (c *Conn) serve(qs *quic.Stream) {
	defer c.endpoint.wg.Done()
	s := newStream(qs, c.endpoint.cfg.MaxFrameBytes)
	defer s.Close()
	c.endpoint.handler.ServeStream(qs.Context(), c, s)
}
