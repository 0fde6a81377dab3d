// Package relay passes traffic between local addresses and loses it on demand,
// for tests of paths that fail between processes that live on.
package relay

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const maxDatagramBytes = 64 << 10

// Cut reports whether packets between a client's IP address and the server are lost.
type DropFunc func(client string) bool

// UDP passes packets between clients and one server. It forgets clients on
// demand, as a device on the path does that has lost its table: packets of a
// forgotten client's address are dropped for good, while new addresses work.
type UDP struct {
	front  *net.UDPConn
	server *net.UDPAddr

	mu  sync.Mutex
	cut DropFunc
	// lose tells which direction is lost for all clients, delay how long packets are held
	// up.
	lose    [ways]bool
	delay   time.Duration
	clients map[string]*net.UDPConn
	lost    map[string]bool
}

// NewUDP listens at address ("ip:port") and passes packets on to server.
func NewUDP(address, server string) (*UDP, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	remote, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	front, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	u := &UDP{
		front: front, server: remote, cut: func(string) bool { return false },
		clients: map[string]*net.UDPConn{}, lost: map[string]bool{},
	}
	go u.run()
	return u, nil
}

// Address is where clients send to.
func (u *UDP) Address() string {
	return u.front.LocalAddr().String()
}

// Close ends the relay.
func (u *UDP) Close() {
	_ = u.front.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, back := range u.clients {
		_ = back.Close()
	}
}

// SetCut replaces what is lost from now on.
func (u *UDP) SetDropFunc(cut DropFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cut = cut
}

// SetCutWay loses all packets of one direction, or no longer does.
func (u *UDP) SetDirectionCut(way Direction, cut bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lose[way] = cut
}

// SetDelay holds up packets in each direction; 0 ends that.
func (u *UDP) SetDelay(delay time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.delay = delay
}

// carry sends a packet on, at once or after the delay. A packet that cannot be sent is
// lost, as any may be.
func (u *UDP) carry(packet []byte, send func([]byte)) {
	u.mu.Lock()
	delay := u.delay
	u.mu.Unlock()
	if delay == 0 {
		send(packet)
		return
	}
	held := append([]byte(nil), packet...)
	time.AfterFunc(delay, func() { send(held) })
}

// Forget loses all clients seen so far, for good.
func (u *UDP) ForgetClients() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for client, back := range u.clients {
		u.lost[client] = true
		_ = back.Close()
	}
}

// Lost returns how many clients were forgotten.
func (u *UDP) ForgottenCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.lost)
}

func (u *UDP) run() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, client, err := u.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if back := u.back(client); back != nil {
			u.carry(buffer[:n], func(packet []byte) { _, _ = back.Write(packet) })
		}
	}
}

// back returns the socket towards the server for a client, nil if its packets
// are lost.
func (u *UDP) back(client *net.UDPAddr) *net.UDPConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lose[ToServer] || u.isLost(client) {
		return nil
	}
	back := u.clients[client.String()]
	if back != nil {
		return back
	}
	back, err := net.DialUDP("udp", nil, u.server)
	if err != nil {
		return nil
	}
	u.clients[client.String()] = back
	go u.reply(back, client)
	return back
}

func (u *UDP) isLost(client *net.UDPAddr) bool {
	return u.lost[client.String()] || u.cut(client.IP.String())
}

// reply passes packets to a client until its socket is closed. A server that is
// down makes reads fail without closing the socket.
func (u *UDP) reply(back *net.UDPConn, client *net.UDPAddr) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := back.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && u.passes(client) {
			u.carry(buffer[:n], func(packet []byte) { _, _ = u.front.WriteToUDP(packet, client) })
		}
	}
}

func (u *UDP) passes(client *net.UDPAddr) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.lose[ToClient] && !u.isLost(client)
}
