package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/internal/logs"
	"mimosastand.example/mimosastand/machine/entry/admin"
)

// administration serves the operators' API.
type administration struct {
	server   *admin.Server
	http     *http.Server
	listener net.Listener
}

// openAdministration opens the API's address, unless the settings are not
// followed from the log. It fails with ErrListen, or with admin.ErrTokens if the
// tokens file cannot be used.
func (e *Entry) openAdministration() error {
	if e.follower == nil {
		return nil
	}
	tokens, err := admin.LoadTokens(e.process.Entry.TokensFile)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", e.process.AdminAddress)
	if err != nil {
		return errors.Mark(err, ErrListen)
	}
	server := admin.New(admin.Options{
		Machine:  e.process.Machine,
		Follower: e.follower,
		Tokens:   tokens,
		Status:   e.links.fleet,
		Scope:    e.metrics.Scope(),
		Logger:   logs.NewLogger("admin", e.process.Machine),
	})
	e.admin = &administration{
		server:   server,
		http:     &http.Server{Handler: server.Handler(), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes},
		listener: listener,
	}
	return nil
}

// run serves until ctx ends; changes under way are then finished.
func (a *administration) run(ctx context.Context) {
	const finishTimeout = 5 * time.Second
	go func() { _ = a.server.Run(ctx) }()
	go func() { _ = a.http.Serve(a.listener) }()
	<-ctx.Done()
	finish, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	_ = a.http.Shutdown(finish)
}
