package link

import (
	"sync"

	"github.com/quic-go/quic-go"
)

// Traffic counts the bytes of an Endpoint's connections as QUIC sees them,
// retransmissions included and UDP and IP headers left out.
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
	open  map[*quic.Conn]bool
	ended Traffic
}

func (m *meter) begin(qc *quic.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.open == nil {
		m.open = map[*quic.Conn]bool{}
	}
	m.open[qc] = true
}

func (m *meter) end(qc *quic.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.open[qc] {
		delete(m.open, qc)
		m.ended.add(qc.ConnectionStats())
	}
}

func (m *meter) total() Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := m.ended
	for qc := range m.open {
		total.add(qc.ConnectionStats())
	}
	return total
}

// Traffic returns the bytes and packets of all connections since Listen.
func (e *Endpoint) Traffic() Traffic {
	return e.meter.total()
}
