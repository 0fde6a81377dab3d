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
	// dialed reports whether this side made the connection and hence sends heartbeats at
	// the interval. The other side answers each one, so that one packet carries its
	// heartbeat and its acknowledgement.
	dialed bool
	// heartbeatRequests triggers a heartbeat outside the interval.
	heartbeatRequests chan struct{}
}

// Peer returns the identity in the peer's certificate, which was verified.
func (c *Conn) Peer() Peer {
	return c.peer
}

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} {
	return c.qc.Context().Done()
}

// Err returns why the connection ended, or nil while it is open.
func (c *Conn) Err() error {
	if c.qc.Context().Err() == nil {
		return nil
	}
	return translateError(context.Cause(c.qc.Context()))
}

// Close ends the connection and all its streams.
func (c *Conn) Close() {
	_ = c.qc.CloseWithError(codeClosed, "closed")
}

// Open opens a stream to the peer. While the peer's stream limit is reached it waits
// until ctx ends. It fails with ErrClosed or ErrSilent; if ctx ended, the error is
// ErrClosed and wraps ctx's error.
func (c *Conn) Open(ctx context.Context) (*Stream, error) {
	qs, err := c.qc.OpenStreamSync(ctx)
	if err != nil {
		return nil, translateError(err)
	}
	return newStream(qs, c.endpoint.cfg.MaxFrameBytes), nil
}

// start starts the goroutines that exchange heartbeats and accept streams until the
// connection ends.
func (c *Conn) start(heartbeats *Stream) {
	e := c.endpoint
	e.meter.connectionOpened(c)
	e.wg.Add(3)
	go c.sendHeartbeats(heartbeats)
	go c.receiveHeartbeats(heartbeats)
	go c.acceptStreams()
}

// SendHeartbeat triggers a heartbeat now instead of at the next interval.
func (c *Conn) SendHeartbeat() {
	select {
	case c.heartbeatRequests <- struct{}{}:
	default:
	}
}

func (c *Conn) sendHeartbeats(heartbeats *Stream) {
	defer c.endpoint.wg.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var encoder heartbeatEncoder
	for {
		hb := encoder.encode(c.endpoint.handler.Heartbeat(c.peer))
		if err := heartbeats.Send(contract.Message{Kind: contract.KindHeartbeat, Heartbeat: &hb}); err != nil {
			return
		}
		timer.Reset(c.nextHeartbeatDelay())
		select {
		case <-timer.C:
		case <-c.heartbeatRequests:
		case <-c.Done():
			return
		}
	}
}

// nextHeartbeatDelay returns the time until the next heartbeat that is not triggered.
// The side that did not dial sends only triggered ones.
func (c *Conn) nextHeartbeatDelay() time.Duration {
	if !c.dialed {
		return math.MaxInt64
	}
	return c.endpoint.HeartbeatInterval(c.peer.Role)
}

func (c *Conn) receiveHeartbeats(heartbeats *Stream) {
	defer c.endpoint.wg.Done()
	var decoder heartbeatDecoder
	for {
		_ = heartbeats.SetReadDeadline(time.Now().Add(c.endpoint.cfg.SilentAfter))
		m, err := heartbeats.Recv()
		if err != nil {
			c.closeAfterHeartbeatError(err)
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

func (c *Conn) closeAfterHeartbeatError(err error) {
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
	defer c.endpoint.meter.connectionEnded(c)
	for {
		qs, err := c.qc.AcceptStream(c.qc.Context())
		if err != nil {
			return
		}
		c.endpoint.wg.Add(1)
		go c.serveStream(qs)
	}
}

func (c *Conn) serveStream(qs *quic.Stream) {
	defer c.endpoint.wg.Done()
	s := newStream(qs, c.endpoint.cfg.MaxFrameBytes)
	defer s.Close()
	c.endpoint.handler.ServeStream(qs.Context(), c, s)
}
