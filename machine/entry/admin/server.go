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

// MachineStatus describes one host as this entry host sees it.
type MachineStatus struct {
	Machine contract.MachineID
	Zone    contract.ZoneName
	Region  contract.RegionName
	// Service is empty for an entry host.
	Service contract.ServiceName
	Leaving bool
	// Silent reports that no heartbeats arrive from the host.
	Silent  bool
	Warm    bool
	Running int
	// Weights is the version that the engine confirmed.
	Weights contract.Digest
	// Settings is the host's settings offset; 0 if the host has not reported one.
	Settings contract.Offset
}

// StatusSource reports the status of the hosts that an entry host has links to.
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
	submitTimeout        = 10 * time.Second
	tokensReloadInterval = 5 * time.Second
	maxBodyBytes         = 1 << 20
)

// Server serves the administration API.
type Server struct {
	opts  Options
	app   *iris.Application
	scope tally.Scope
}

// New returns a server whose Handler can be used at once.
func New(opts Options) *Server {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Logger == nil {
		opts.Logger = &log.Logger{Handler: discard.New()}
	}
	s := &Server{opts: opts, app: iris.New(), scope: opts.Scope.SubScope("admin")}
	s.app.Logger().SetLevel("disable")
	s.registerRoutes()
	if err := s.app.Build(); err != nil {
		panic(err) // only an error in registerRoutes can cause this
	}
	return s
}

// Handler returns the handler of the API. It may be mounted on any HTTP server.
func (s *Server) Handler() http.Handler {
	return s.app
}

// Run reloads the tokens file periodically until ctx ends, and returns ctx's error.
func (s *Server) Run(ctx context.Context) error {
	periodic.Run(ctx, tokensReloadInterval, s.reloadTokens)
	return ctx.Err()
}

// reloadTokens reads the tokens file again. If the file is unusable, the tokens read
// before stay valid.
func (s *Server) reloadTokens() {
	if err := s.opts.Tokens.Reload(); err != nil {
		s.scope.Counter("token_reload_failures").Inc(1)
		s.opts.Logger.Errorf("tokens file is unusable, keeping the previous tokens: %v", err)
	}
}

func (s *Server) registerRoutes() {
	s.app.UseRouter(s.assignRequestID)
	read, change := s.requireRole(RoleRead), s.requireRole(RoleTeam)
	s.app.Get(wire.PathSettings, read, s.getTree)
	s.app.Get(wire.PathEffective, read, s.getEffective)
	s.app.Get(wire.PathSchema, read, s.getSchema)
	s.app.Get(wire.PathChanges, read, s.getHistory)
	s.app.Get(wire.PathStatus, read, s.getStatus)
	s.app.Post(wire.PathChanges, change, s.postChange)
	s.app.Post(wire.PathZones+"/{zone:string}/{action:string}", change, s.postZone)
	s.app.Post(wire.PathServices+"/{service:string}/deploy", change, s.postDeploy)
	s.app.Post(wire.PathServices+"/{service:string}/rollback", change, s.postRollback)
	s.app.OnAnyErrorCode(s.handleRouterError)
}
