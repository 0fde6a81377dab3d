// Package traffic counts the bytes that clients send and receive.
package traffic

import (
	"net"
	"sync/atomic"
)

// Meter counts the bytes of clients, headers of HTTP included. It is safe for
// concurrent use.
type Meter struct {
	sent, received atomic.Uint64
}

// Traffic returns the bytes sent and received so far.
func (m *Meter) Bytes() (sent, received uint64) {
	return m.sent.Load(), m.received.Load()
}

// Conn counts the bytes of one connection.
type Conn struct {
	net.Conn
	meter *Meter
}

// Wrap returns conn with its bytes added to m.
func (m *Meter) Wrap(conn net.Conn) *Conn { return &Conn{Conn: conn, meter: m} }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.sent.Add(uint64(n))
	return n, err
}
