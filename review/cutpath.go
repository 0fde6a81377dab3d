//go:build review

package review

import (
	"io"
	"net"
	"sync"
)

// CutPath is a network path to a server that can be cut silently: no bytes pass, and connections
// that were open or are made meanwhile stay without an answer.
type CutPath struct {
	Address string

	server   string
	listener net.Listener

	mu    sync.Mutex
	isCut bool
	open  map[net.Conn]bool
}

// NewCutPath opens a path to a server at an address.
func NewCutPath(address, server string) (*CutPath, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &CutPath{Address: address, server: server, listener: listener, open: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// SetCut cuts the path or ends the cut. Connections of the time of a cut stay silent.
func (p *CutPath) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = cut
	if cut {
		for conn := range p.open {
			p.open[conn] = true
		}
	}
}

func (p *CutPath) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.open[client] = p.isCut
		p.mu.Unlock()
		go p.carry(client)
	}
}

// carry connects a client's connection with the server and copies both directions.
func (p *CutPath) carry(client net.Conn) {
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		_ = client.Close()
		return
	}
	go p.copy(client, server, client)
	p.copy(server, client, client)
	_ = client.Close()
	_ = server.Close()
	p.mu.Lock()
	delete(p.open, client)
	p.mu.Unlock()
}

// copy copies one direction of a client's connection; what arrives while it is silent is lost.
func (p *CutPath) copy(to, from, client net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		isSilent := p.open[client]
		p.mu.Unlock()
		if n > 0 && !isSilent {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF && !isSilent {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}
