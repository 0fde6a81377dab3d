package direct

import (
	"net"
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

// connTracker follows the connections of callers. It counts and logs those that the entry
// ends after it has read from them and before it has written anything in response, which
// neither the handler nor net/http records.
type connTracker struct {
	log    log.Interface
	meters *meters

	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func newConnTracker(l log.Interface, m *meters) *connTracker {
	return &connTracker{log: l, meters: m, open: map[*callerConn]struct{}{}}
}

// listener returns a listener whose connections are tracked.
func (t *connTracker) listener(lis net.Listener) net.Listener {
	return &callerListener{Listener: lis, tracker: t}
}

func (t *connTracker) add(conn tcpConn) *callerConn {
	c := &callerConn{tcpConn: conn, tracker: t, acceptedAt: time.Now()}
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

// isEmpty reports whether no connection is open.
func (t *connTracker) isEmpty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open) == 0
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
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
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
	// unanswered counts the bytes read since the last byte was written.
	unanswered int
	// callerLeft is set once the caller has closed its side or the connection has failed.
	callerLeft bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.tcpConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered += n
	c.noteError(err)
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.tcpConn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.unanswered = 0
	}
	c.noteError(err)
	return n, err
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
