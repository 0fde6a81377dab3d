// Package traffic counts the bytes that clients send and receive on their connections.
package traffic

import (
	"net"
	"sync/atomic"
)

// Meter adds up the bytes of all connections that it wraps, including HTTP headers. It is safe
// for concurrent use.
type Meter struct {
	sent, received atomic.Uint64
}

// Bytes returns the bytes sent and received so far.
func (m *Meter) Bytes() (sent, received uint64) {
	return m.sent.Load(), m.received.Load()
}

// Conn is a connection whose bytes a Meter counts.
type Conn struct {
	net.Conn
	meter *Meter
}

// Wrap returns conn as a connection whose bytes m counts.
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
