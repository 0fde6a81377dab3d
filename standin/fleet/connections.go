package fleet

import (
	"net"
	"sync"
	"time"
)

// connections are the open connections of an engine's server.
type connections struct {
	mu   sync.Mutex
	open map[*connection]bool
	// silentUntil is when the connections send again.
	silentUntil time.Time
}

// connection is a connection that sends nothing while its engine is silent.
type connection struct {
	net.Conn
	owner *connections
}

// trackingListener adds the connections that it accepts to those of the engine.
type trackingListener struct {
	net.Listener
	owner *connections
}

// SilenceFor has the engine send nothing on any connection for d. It then goes on with all
// answers; nothing is lost.
func (e *Engine) SilenceFor(d time.Duration) {
	e.connections.mu.Lock()
	defer e.connections.mu.Unlock()
	e.connections.silentUntil = time.Now().Add(d)
}

func (c *connections) track(listener net.Listener) net.Listener {
	return &trackingListener{listener, c}
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.owner.mu.Lock()
	defer l.owner.mu.Unlock()
	if l.owner.open == nil {
		l.owner.open = map[*connection]bool{}
	}
	c := &connection{accepted, l.owner}
	l.owner.open[c] = true
	return c, nil
}

// Write implements net.Conn. It waits while the engine is silent.
func (c *connection) Write(data []byte) (int, error) {
	for {
		c.owner.mu.Lock()
		left := time.Until(c.owner.silentUntil)
		c.owner.mu.Unlock()
		if left <= 0 {
			return c.Conn.Write(data)
		}
		time.Sleep(left)
	}
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// closeAll closes all open connections.
func (c *connections) closeAll() {
	for _, conn := range c.list() {
		_ = conn.Close()
	}
}

// breakAll ends all open connections as the end of their process does: every second one is
// reset.
func (c *connections) breakAll() {
	for i, conn := range c.list() {
		if tcp, ok := conn.Conn.(*net.TCPConn); ok && i%2 == 0 {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (c *connections) list() []*connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*connection
	for conn := range c.open {
		list = append(list, conn)
	}
	return list
}
