package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	headerTimeout = 5 * time.Second
	stopTimeout   = 2 * time.Second
)

// serverGroup holds the servers and listeners of all stand-ins.
type serverGroup struct {
	servers   []*http.Server
	listeners []net.Listener
}

// listenAll opens the address of each stand-in.
func listenAll(list []standIn) (*serverGroup, error) {
	g := &serverGroup{}
	for _, s := range list {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			g.closeListeners()
			return nil, errors.Wrapf(err, "standins: [%s]", s.name)
		}
		g.listeners = append(g.listeners, l)
		g.servers = append(g.servers, &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout})
	}
	return g, nil
}

func (g *serverGroup) closeListeners() {
	for _, l := range g.listeners {
		_ = l.Close()
	}
}

// serve runs the servers until ctx ends or one of them fails.
func (g *serverGroup) serve(ctx context.Context) error {
	failed := make(chan error, len(g.servers))
	for i, server := range g.servers {
		go func() { failed <- server.Serve(g.listeners[i]) }()
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	g.stop()
	return err
}

// stop shuts down all servers gracefully and closes those that take longer than
// stopTimeout.
func (g *serverGroup) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, server := range g.servers {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
}
