package link

import (
	"sync"

	"github.com/quic-go/quic-go"
)

// Traffic counts the bytes and packets of an Endpoint's connections since it was
// opened, as QUIC sees them: retransmissions included, UDP and IP headers left out.
type Traffic struct {
	SentBytes, ReceivedBytes     uint64
	SentPackets, ReceivedPackets uint64
}

func (t *Traffic) add(s quic.ConnectionStats) {
	t.SentBytes += s.BytesSent
	t.ReceivedBytes += s.BytesReceived
	t.SentPackets += s.PacketsSent
	t.ReceivedPackets += s.PacketsReceived
}

// meter adds up open and ended connections.
type meter struct {
	mu    sync.Mutex
	open  map[*Conn]bool
	ended Traffic
}

func (m *meter) begin(c *Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.open == nil {
		m.open = map[*Conn]bool{}
	}
	m.open[c] = true
}

func (m *meter) end(c *Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.open[c] {
		delete(m.open, c)
		m.ended.add(c.qc.ConnectionStats())
	}
}

// dialed counts the open connections that this side has made.
func (m *meter) dialed() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for c := range m.open {
		if c.dialed {
			n++
		}
	}
	return n
}

func (m *meter) connections() []*Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	open := make([]*Conn, 0, len(m.open))
	for c := range m.open {
		open = append(open, c)
	}
	return open
}

func (m *meter) total() Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := m.ended
	for c := range m.open {
		total.add(c.qc.ConnectionStats())
	}
	return total
}

// Traffic returns the bytes and packets of all connections since Listen.
func (e *Endpoint) Traffic() Traffic {
	return e.meter.total()
}

// BeatAll sends a heartbeat on every connection now, so that peers learn of a
// change, such as a stop, at once.
func (e *Endpoint) SendHeartbeats() {
	for _, c := range e.meter.connections() {
		c.SendHeartbeat()
	}
}
