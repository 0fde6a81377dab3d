package target

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const headerTimeout = 5 * time.Second

// listenHTTP serves the health and metrics pages.
func (p *Process) listenHTTP() error {
	lis, err := net.Listen("tcp", p.cfg.HTTPAddress)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	p.httpAddr = lis.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", p.readyz)
	mux.Handle("GET /metrics", p.registry.Handler())
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go func() { _ = p.server.Serve(lis) }()
	return nil
}

func (p *Process) readyz(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	ready := p.gate.Ready()
	p.mu.Unlock()
	if !ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
