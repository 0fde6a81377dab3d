package link

import (
	"sync"

	"github.com/quic-go/quic-go"
)

// Traffic counts the bytes and packets of an Endpoint's connections since it was
// opened, as QUIC counts them: with retransmissions, without UDP and IP headers.
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

// trafficMeter sums the traffic of open and ended connections.
type trafficMeter struct {
	mu    sync.Mutex
	open  map[*Conn]bool
	ended Traffic
}

func (m *trafficMeter) connectionOpened(c *Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.open == nil {
		m.open = map[*Conn]bool{}
	}
	m.open[c] = true
}

func (m *trafficMeter) connectionEnded(c *Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.open[c] {
		delete(m.open, c)
		m.ended.add(c.qc.ConnectionStats())
	}
}

// linkCounts returns the number of open connections that this side has made, and that of all to
// entries.
func (m *trafficMeter) linkCounts() (dialed, entries int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.open {
		if c.dialed {
			dialed++
		}
		if c.peer.Role == RoleEntry {
			entries++
		}
	}
	return dialed, entries
}

func (m *trafficMeter) openConnections() []*Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	open := make([]*Conn, 0, len(m.open))
	for c := range m.open {
		open = append(open, c)
	}
	return open
}

func (m *trafficMeter) total() Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := m.ended
	for c := range m.open {
		total.add(c.qc.ConnectionStats())
	}
	return total
}

// Traffic returns the traffic of all connections since Listen.
func (e *Endpoint) Traffic() Traffic {
	return e.meter.total()
}

// SendHeartbeats triggers a heartbeat on every connection now, so that peers learn at
// once of a change, such as the shutdown of this process.
func (e *Endpoint) SendHeartbeats() {
	for _, c := range e.meter.openConnections() {
		c.SendHeartbeat()
	}
}
