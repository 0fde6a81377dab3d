package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/kataras/iris/v12"
	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/periodic"
	"mimosastand.example/mimosastand/machine/entry/admin/wire"
	"mimosastand.example/mimosastand/settings/follow"
)

// MachineStatus is what an entry host sees of one machine.
type MachineStatus struct {
	Machine contract.MachineID
	Zone    contract.ZoneName
	Region  contract.RegionName
	// Service is empty for an entry host.
	Service contract.ServiceName
	Leaving bool
	// Silent tells that no heartbeat arrives.
	Silent  bool
	Warm    bool
	Running int
	// Weights is the version that the engine confirmed.
	Weights contract.Digest
	// Settings is the machine's settings offset, 0 if it has not told one.
	Settings contract.Offset
}

// StatusSource tells what an entry host sees of the machines it has links to.
type StatusSource interface {
	Machines() []MachineStatus
}

// Options configures a Server. Scope, Logger and Status may be nil.
type Options struct {
	Machine  contract.MachineID
	Follower *follow.Follower
	Tokens   *Tokens
	Status   StatusSource
	Scope    tally.Scope
	Logger   log.Interface
}

const (
	submitTimeout  = 10 * time.Second
	tokensInterval = 5 * time.Second
	maxBodyBytes   = 1 << 20
)

// Server answers the administration API.
type Server struct {
	opts  Options
	app   *iris.Application
	scope tally.Scope
}

// New returns a server; its Handler is ready at once.
func New(opts Options) *Server {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Logger == nil {
		opts.Logger = &log.Logger{Handler: discard.New()}
	}
	s := &Server{opts: opts, app: iris.New(), scope: opts.Scope.SubScope("admin")}
	s.app.Logger().SetLevel("disable")
	s.routes()
	if err := s.app.Build(); err != nil {
		panic(err) // only a mistake in routes can cause it
	}
	return s
}

// Handler serves the API. It may be mounted on any HTTP server.
func (s *Server) Handler() http.Handler {
	return s.app
}

// Run reloads the tokens file until ctx ends, and returns ctx's error.
func (s *Server) Run(ctx context.Context) error {
	periodic.Run(ctx, tokensInterval, s.reloadTokens)
	return ctx.Err()
}

// reloadTokens reads the tokens file; an unusable one leaves the former tokens in force.
func (s *Server) reloadTokens() {
	if err := s.opts.Tokens.Reload(); err != nil {
		s.scope.Counter("token_reload_failures").Inc(1)
		s.opts.Logger.Errorf("tokens kept, the file is unusable: %v", err)
	}
}

func (s *Server) routes() {
	s.app.UseRouter(s.identify)
	read, change := s.allow(RoleRead), s.allow(RoleTeam)
	s.app.Get(wire.PathSettings, read, s.getTree)
	s.app.Get(wire.PathEffective, read, s.getEffective)
	s.app.Get(wire.PathSchema, read, s.getSchema)
	s.app.Get(wire.PathChanges, read, s.getHistory)
	s.app.Get(wire.PathStatus, read, s.getStatus)
	s.app.Post(wire.PathChanges, change, s.postChange)
	s.app.Post(wire.PathZones+"/{zone:string}/{action:string}", change, s.postZone)
	s.app.Post(wire.PathServices+"/{service:string}/deploy", change, s.postDeploy)
	s.app.Post(wire.PathServices+"/{service:string}/rollback", change, s.postRollback)
	s.app.OnAnyErrorCode(s.notFound)
}
