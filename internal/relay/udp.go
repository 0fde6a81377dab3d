// Package relay relays traffic between local addresses and delays, cuts or drops it on
// demand, for tests in which paths fail between processes that keep running.
package relay

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// maxDatagramBytes is the size of the buffers for received packets.
const maxDatagramBytes = 64 << 10

// DropFunc reports whether packets between a client's IP address and the server are
// dropped.
type DropFunc func(client string) bool

// UDP relays packets between clients and one server. It forgets clients on demand, like a
// NAT device that has lost its table: packets of a forgotten client address are dropped for
// good, while new addresses work.
type UDP struct {
	socket *net.UDPConn
	server *net.UDPAddr

	mu   sync.Mutex
	drop DropFunc
	// cut reports for each direction whether the packets of all clients are dropped; delay
	// is the delay of each packet.
	cut       [directionCount]bool
	delay     time.Duration
	clients   map[string]*net.UDPConn
	forgotten map[string]bool
}

// NewUDP listens at address ("ip:port") and relays packets to server.
func NewUDP(address, server string) (*UDP, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	remote, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	u := &UDP{
		socket: socket, server: remote, drop: func(string) bool { return false },
		clients: map[string]*net.UDPConn{}, forgotten: map[string]bool{},
	}
	go u.receivePackets()
	return u, nil
}

// Address returns the address that clients send to.
func (u *UDP) Address() string {
	return u.socket.LocalAddr().String()
}

// Close closes the relay.
func (u *UDP) Close() {
	_ = u.socket.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, conn := range u.clients {
		_ = conn.Close()
	}
}

// SetDropFunc replaces the function that selects the clients whose packets are dropped.
func (u *UDP) SetDropFunc(drop DropFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drop = drop
}

// SetDirectionCut starts or stops dropping all packets of one direction.
func (u *UDP) SetDirectionCut(direction Direction, cut bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cut[direction] = cut
}

// SetDelay delays each packet in both directions; 0 ends the delay.
func (u *UDP) SetDelay(delay time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.delay = delay
}

// forward sends a packet, at once or after the delay. A packet that cannot be sent is dropped,
// which UDP allows for every packet.
func (u *UDP) forward(packet []byte, send func([]byte)) {
	u.mu.Lock()
	delay := u.delay
	u.mu.Unlock()
	if delay == 0 {
		send(packet)
		return
	}
	copied := append([]byte(nil), packet...)
	time.AfterFunc(delay, func() { send(copied) })
}

// ForgetClients drops the packets of all clients known so far, for good.
func (u *UDP) ForgetClients() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for client, conn := range u.clients {
		u.forgotten[client] = true
		_ = conn.Close()
	}
}

// ForgottenCount returns how many clients have been forgotten so far.
func (u *UDP) ForgottenCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.forgotten)
}

func (u *UDP) receivePackets() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, client, err := u.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if conn := u.serverConn(client); conn != nil {
			u.forward(buffer[:n], func(packet []byte) { _, _ = conn.Write(packet) })
		}
	}
}

// serverConn returns the socket to the server for a client, or nil if the packets of the
// client are dropped.
func (u *UDP) serverConn(client *net.UDPAddr) *net.UDPConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.cut[ToServer] || u.isDropped(client) {
		return nil
	}
	conn := u.clients[client.String()]
	if conn != nil {
		return conn
	}
	conn, err := net.DialUDP("udp", nil, u.server)
	if err != nil {
		return nil
	}
	u.clients[client.String()] = conn
	go u.forwardReplies(conn, client)
	return conn
}

// isDropped reports whether the packets of a client are dropped in both directions. mu must
// be held.
func (u *UDP) isDropped(client *net.UDPAddr) bool {
	return u.forgotten[client.String()] || u.drop(client.IP.String())
}

// forwardReplies forwards packets of the server to a client until the socket to the server is
// closed. Reads that fail because the server is down don't end it: they leave the socket
// open.
func (u *UDP) forwardReplies(conn *net.UDPConn, client *net.UDPAddr) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && u.canReply(client) {
			u.forward(buffer[:n], func(packet []byte) { _, _ = u.socket.WriteToUDP(packet, client) })
		}
	}
}

// canReply reports whether packets of the server reach a client.
func (u *UDP) canReply(client *net.UDPAddr) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.cut[ToClient] && !u.isDropped(client)
}
