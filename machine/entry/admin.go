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

// adminServer serves the operators' API.
type adminServer struct {
	server     *admin.Server
	httpServer *http.Server
	listener   net.Listener
}

// openAdmin opens the address of the operators' API. It does nothing if the entry was
// given Settings of its own instead of following the log. Its error is ErrListen, or
// admin.ErrTokensFile if the tokens file is unusable.
func (e *Entry) openAdmin() error {
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
	e.admin = &adminServer{
		server:     server,
		httpServer: &http.Server{Handler: server.Handler(), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes},
		listener:   listener,
	}
	return nil
}

// run serves until ctx ends. It then lets calls in progress complete, within a time
// limit.
func (a *adminServer) run(ctx context.Context) {
	const finishTimeout = 5 * time.Second
	go func() { _ = a.server.Run(ctx) }()
	go func() { _ = a.httpServer.Serve(a.listener) }()
	<-ctx.Done()
	finish, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	_ = a.httpServer.Shutdown(finish)
}
