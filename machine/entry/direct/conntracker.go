package direct

import (
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// tcpConn is what is used of a *net.TCPConn.
type tcpConn interface {
	net.Conn
	CloseWrite() error
	SetLinger(seconds int) error
}

// acceptGrace is how long connections that the kernel has already set up are accepted
// before the listener is closed.
const acceptGrace = 50 * time.Millisecond

// pastDeadline makes a read return at once: with what has already been taken from the
// socket, or else with a timeout.
var pastDeadline = time.Unix(1, 0)

// connTracker follows the connections of callers. It counts and logs those that the entry
// ends after it has read from them and before it has written anything in response, which
// neither the handler nor net/http records. It ends connections that wait for a request.
type connTracker struct {
	log    log.Interface
	meters *meters

	mu   sync.Mutex
	open map[*callerConn]struct{}
	// listeners counts those that accept connections.
	listeners int
}

func newConnTracker(l log.Interface, m *meters) *connTracker {
	return &connTracker{log: l, meters: m, open: map[*callerConn]struct{}{}}
}

// listener returns a listener whose connections are tracked.
func (t *connTracker) listener(lis net.Listener) *callerListener {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeners++
	return &callerListener{Listener: lis, tracker: t}
}

// observe is the ConnState hook of the server: a connection that becomes idle waits for a
// request.
func (t *connTracker) observe(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.waitForRequest()
	case http.StateActive:
		c.requestRead()
	}
}

// endWaiting ends the connections that wait for a request and that were accepted at least
// minAge ago.
func (t *connTracker) endWaiting(minAge time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		if time.Since(c.acceptedAt) >= minAge {
			c.endIfWaiting()
		}
	}
}

func (t *connTracker) add(conn tcpConn) *callerConn {
	c := &callerConn{tcpConn: conn, tracker: t, acceptedAt: time.Now(), waiting: true}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[c] = struct{}{}
	return c
}

func (t *connTracker) remove(c *callerConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}

// isEmpty reports whether no connection is open and none can be accepted.
func (t *connTracker) isEmpty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open) == 0 && t.listeners == 0
}

// recordUnanswered logs and counts a connection that ends without a response to what was
// read from it.
func (t *connTracker) recordUnanswered(c *callerConn, bytes int) {
	t.meters.countUnanswered()
	t.log.WithField("caller", c.RemoteAddr().String()).WithField("bytes", bytes).
		WithField("open_ms", time.Since(c.acceptedAt).Milliseconds()).Warn("connection ended without a response")
}

// callerListener tracks the connections that it accepts.
type callerListener struct {
	net.Listener
	tracker *connTracker
	closed  sync.Once
}

// stopAccepting closes the listener after acceptGrace; http.Server.Serve then returns.
// Until then connections are still accepted.
func (l *callerListener) stopAccepting() error {
	return l.Listener.(interface{ SetDeadline(time.Time) error }).SetDeadline(time.Now().Add(acceptGrace))
}

// Close implements net.Listener.
func (l *callerListener) Close() error {
	l.closed.Do(func() {
		l.tracker.mu.Lock()
		defer l.tracker.mu.Unlock()
		l.tracker.listeners--
	})
	return l.Listener.Close()
}

// Accept implements net.Listener. After stopAccepting it returns net.ErrClosed, since
// http.Server.Serve would repeat an Accept that timed out.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed
	}
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(tcpConn)
	if !ok {
		return nil, errors.CombineErrors(errors.Newf("entry: listener accepted a %T, want a TCP connection", conn), conn.Close())
	}
	return l.tracker.add(tcp), nil
}

// callerConn is a connection of a caller.
type callerConn struct {
	tcpConn
	tracker    *connTracker
	acceptedAt time.Time
	ended      sync.Once

	mu sync.Mutex
	// unanswered counts the bytes read since the last write began.
	unanswered int
	// callerLeft is set once the caller has closed its side or the connection has failed.
	callerLeft bool
	// waiting is set while nothing of the next request has been read, ending once the
	// connection is to end unless a request arrives first.
	waiting, ending bool
}

// waitForRequest notes that the response to the last request is complete. The server may have
// read the beginning of the next request already.
func (c *callerConn) waitForRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = c.unanswered == 0
}

// endIfWaiting makes a connection that waits for a request end: the pending read, or the
// next one, times out if it has read nothing, and the server closes the connection. A read
// that has taken bytes from the socket wins: its request is served.
func (c *callerConn) endIfWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		c.ending = true
		_ = c.SetReadDeadline(pastDeadline)
	}
}

// requestBegun notes that bytes of a request have been read; the rest gets until deadline
// if the connection was to end.
func (c *callerConn) requestBegun(deadline time.Time) {
	c.waiting = false
	if c.ending {
		c.ending = false
		_ = c.SetReadDeadline(deadline)
	}
}

// requestRead notes that the server has read the head of a request. It may have come from
// the server's buffer, without a read. The server sets no deadline for the body.
func (c *callerConn) requestRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestBegun(time.Time{})
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.tcpConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.unanswered += n
		c.requestBegun(time.Now().Add(headerTimeout))
	}
	c.noteError(err)
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	c.answerBegun()
	n, err := c.tcpConn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteError(err)
	return n, err
}

// answerBegun notes that what was read so far is being answered. Bytes of the next request may be
// read while the answer is written.
func (c *callerConn) answerBegun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = 0
}

// noteError records an error that is neither a timeout nor due to the entry's own close.
func (c *callerConn) noteError(err error) {
	own := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
	c.callerLeft = c.callerLeft || err != nil && !own
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.ended.Do(func() {
		c.mu.Lock()
		bytes, callerLeft := c.unanswered, c.callerLeft
		c.mu.Unlock()
		if bytes > 0 && !callerLeft {
			c.tracker.recordUnanswered(c, bytes)
		}
		c.tracker.remove(c)
	})
	return c.tcpConn.Close()
}
