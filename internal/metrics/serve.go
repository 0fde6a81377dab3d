package metrics

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
)

// pageTimeout limits the time for one request of the page. The connection of a client that
// does not read its answer is closed.
const pageTimeout = 5 * time.Second

// Serve serves the page of a registry, and the other pages, on address until ctx ends. If it cannot, it logs a
// warning and returns; the process goes on without the page.
func (r *Registry) Serve(ctx context.Context, address string, logger log.Interface) {
	mux := http.NewServeMux()
	mux.Handle("/", r.Handler())
	for path, page := range r.pages {
		mux.Handle(path, page)
	}
	server := &http.Server{
		Addr: address, Handler: mux,
		ReadTimeout: pageTimeout, WriteTimeout: pageTimeout, IdleTimeout: pageTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); err != nil && ctx.Err() == nil {
		logger.WithError(err).Warn("no metrics page")
	}
}
