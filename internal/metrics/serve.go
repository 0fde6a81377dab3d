package metrics

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
)

// pageTimeout bounds one reading of the page: a reader that does not read is cut.
const pageTimeout = 5 * time.Second

// Serve shows the page of a registry on address until ctx ends. A page that cannot be
// shown costs a log line, never the process.
func (r *Registry) Serve(ctx context.Context, address string, logger log.Interface) {
	server := &http.Server{
		Addr: address, Handler: r.Handler(),
		ReadTimeout: pageTimeout, WriteTimeout: pageTimeout, IdleTimeout: pageTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); err != nil && ctx.Err() == nil {
		logger.WithError(err).Warn("no metrics page")
	}
}
