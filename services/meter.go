package services

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
func (m *Meter) Traffic() (sent, received uint64) {
	return m.sent.Load(), m.received.Load()
}

// meteredConn counts the bytes of one connection.
type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (m *meteredConn) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	m.meter.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (m *meteredConn) Write(b []byte) (int, error) {
	n, err := m.Conn.Write(b)
	m.meter.sent.Add(uint64(n))
	return n, err
}
