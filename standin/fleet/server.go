package fleet

import (
	"net/http"
	"net/http/httptest"
	"strings"
)

// loopbackServer serves a stand-in on a loopback address.
type loopbackServer struct{ *httptest.Server }

func newLoopbackServer(handler http.Handler) loopbackServer {
	return loopbackServer{httptest.NewServer(handler)}
}

// Address returns the "ip:port" of the server.
func (s loopbackServer) Address() string { return strings.TrimPrefix(s.URL, "http://") }

// Close closes all connections, also those in use, and stops the server.
func (s loopbackServer) Close() {
	s.CloseClientConnections()
	s.Server.Close()
}
