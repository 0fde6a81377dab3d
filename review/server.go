//go:build review

package review

import (
	"net"
	"net/http"
	"sync"
)

// server is an HTTP server that can end as a process does that is killed.
type server struct {
	http     *http.Server
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// listenAndServe starts a server at an address.
func listenAndServe(address string, handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{listener: listener, conns: map[net.Conn]struct{}{}}
	s.http = &http.Server{Handler: handler, ConnState: s.track}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

func (s *server) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	}
}

// close stops listening and resets all connections.
func (s *server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for conn := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	s.mu.Unlock()
	_ = s.http.Close()
}
