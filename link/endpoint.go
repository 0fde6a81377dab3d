package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"mimosastand.example/mimosastand/contract"
)

// Handler receives the events of an Endpoint. All methods may be called concurrently.
type Handler interface {
	// Heartbeat returns the heartbeat to send to the peer now.
	Heartbeat(peer Peer) contract.Heartbeat
	// HeartbeatReceived is called for each heartbeat from the peer.
	HeartbeatReceived(c *Conn, hb contract.Heartbeat)
	// ServeStream handles a stream that the peer opened. The stream is closed
	// when it returns.
	ServeStream(ctx context.Context, c *Conn, s *Stream)
	// PeerRejected is called for each connection that is refused because of the peer's
	// identity, and for each heartbeat that cannot be decoded.
	PeerRejected(err error)
}

// Endpoint accepts connections on one UDP socket and dials each connection from a socket
// of its own. Devices on the path track connections by their addresses and ports. If one
// drops the packets of a connection, it would also drop those of a new connection from
// the same port.
type Endpoint struct {
	cfg       Config
	creds     *Credentials
	handler   Handler
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	meter     trafficMeter
}

// Listen opens a UDP socket at address ("ip:port") and serves connections until Close.
func Listen(address string, creds *Credentials, handler Handler, cfg Config) (*Endpoint, error) {
	cfg = cfg.withDefaults()
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "link: listen")
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, errors.Wrap(err, "link: listen")
	}
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(creds.serverConfig(handler.PeerRejected), cfg.quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, errors.Wrap(err, "link: listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Endpoint{cfg: cfg, creds: creds, handler: handler, socket: socket, transport: transport, listener: listener, ctx: ctx, cancel: cancel}
	e.wg.Add(1)
	go e.acceptLoop()
	return e, nil
}

func (c Config) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           c.DialTimeout,
		MaxIdleTimeout:                 c.SilentAfter,
		MaxIncomingStreams:             c.MaxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     c.StreamWindowBytes / 2,
		MaxStreamReceiveWindow:         c.StreamWindowBytes,
		InitialConnectionReceiveWindow: c.ConnWindowBytes / 2,
		MaxConnectionReceiveWindow:     c.ConnWindowBytes,
		DisablePathMTUDiscovery:        true,
	}
}

// Address returns the local UDP address at which connections are accepted.
func (e *Endpoint) Address() string {
	return e.socket.LocalAddr().String()
}

// HeartbeatInterval returns the time between heartbeats to peers with a role, with the present
// number of connections.
func (e *Endpoint) HeartbeatInterval(role Role) time.Duration {
	dialed, entries := e.meter.linkCounts()
	return e.cfg.heartbeatInterval(role, dialed, entries)
}

// Close ends all connections and waits until the handlers have returned.
func (e *Endpoint) Close() {
	e.cancel()
	_ = e.listener.Close()
	_ = e.transport.Close()
	_ = e.socket.Close()
	e.wg.Wait()
}

// Dial makes a connection to address. It fails with ErrDial or ErrPeerIdentity.
func (e *Endpoint) Dial(ctx context.Context, address string) (*Conn, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Mark(err, ErrDial)
	}
	dialCtx, cancel := context.WithTimeout(ctx, e.cfg.DialTimeout)
	defer cancel()
	qc, err := e.dialFromNewSocket(dialCtx, udp)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", address), ErrDial)
	}
	c, err := e.newConn(qc)
	if err != nil {
		return nil, err
	}
	heartbeats, err := qc.OpenStreamSync(dialCtx)
	if err != nil {
		c.Close()
		return nil, errors.Mark(err, ErrDial)
	}
	c.dialed = true
	c.start(newStream(heartbeats, e.cfg.MaxFrameBytes))
	return c, nil
}

// dialFromNewSocket makes a connection from a new socket, which is closed when the
// connection ends.
func (e *Endpoint) dialFromNewSocket(ctx context.Context, to *net.UDPAddr) (*quic.Conn, error) {
	local := &net.UDPAddr{IP: e.socket.LocalAddr().(*net.UDPAddr).IP}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: socket}
	qc, err := transport.Dial(ctx, to, e.creds.clientConfig(e.handler.PeerRejected), e.cfg.quicConfig())
	if err != nil {
		_ = transport.Close()
		_ = socket.Close()
		return nil, err
	}
	e.wg.Add(1)
	go e.releaseSocket(qc, transport, socket)
	return qc, nil
}

// releaseSocket closes the socket of a dialed connection when the connection ends, or
// both when the endpoint is closed.
func (e *Endpoint) releaseSocket(qc *quic.Conn, transport *quic.Transport, socket *net.UDPConn) {
	defer e.wg.Done()
	select {
	case <-qc.Context().Done():
	case <-e.ctx.Done():
		_ = qc.CloseWithError(codeClosed, "closed")
	}
	_ = transport.Close()
	_ = socket.Close()
}

func (e *Endpoint) acceptLoop() {
	defer e.wg.Done()
	for {
		qc, err := e.listener.Accept(e.ctx)
		if err != nil {
			return
		}
		e.wg.Add(1)
		go e.accept(qc)
	}
}

func (e *Endpoint) accept(qc *quic.Conn) {
	defer e.wg.Done()
	c, err := e.newConn(qc)
	if err != nil {
		return
	}
	openCtx, cancel := context.WithTimeout(e.ctx, e.cfg.SilentAfter)
	defer cancel()
	heartbeats, err := qc.AcceptStream(openCtx)
	if err != nil {
		c.Close()
		return
	}
	c.start(newStream(heartbeats, e.cfg.MaxFrameBytes))
}

func (e *Endpoint) newConn(qc *quic.Conn) (*Conn, error) {
	certs := qc.ConnectionState().TLS.PeerCertificates
	peer, err := Peer{}, error(ErrPeerIdentity)
	if len(certs) > 0 {
		peer, err = peerFromCertificate(certs[0])
	}
	if err != nil {
		e.handler.PeerRejected(err)
		_ = qc.CloseWithError(codePeer, "identity")
		return nil, err
	}
	return &Conn{endpoint: e, qc: qc, peer: peer, heartbeatRequests: make(chan struct{}, 1)}, nil
}
