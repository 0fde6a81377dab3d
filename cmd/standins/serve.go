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

// group is the servers of all stand-ins.
type group struct {
	servers   []*http.Server
	listeners []net.Listener
}

// listen opens the address of each stand-in.
func listen(list []standIn) (*group, error) {
	g := &group{}
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

func (g *group) closeListeners() {
	for _, l := range g.listeners {
		_ = l.Close()
	}
}

// serve runs until ctx ends, or until a server fails.
func (g *group) serve(ctx context.Context) error {
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

// stop ends all servers, at first without cutting calls.
func (g *group) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, server := range g.servers {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
}
