package gate

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/devkeys"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/target"
	"mimosastand.example/mimosastand/standin/engine"
	"mimosastand.example/mimosastand/standin/service"
)

const (
	hopRunning  = 64
	hopValidity = time.Hour
	readyPoll   = 10 * time.Millisecond
	tokenDelay  = 2 * time.Millisecond
)

// rig is one stand-in, a target process in front of it and an entry host's
// endpoint, in one process.
type rig struct {
	kind    string
	dir     string
	back    *http.Server
	backURL string
	process *target.Process
	entry   *link.Endpoint
	conn    *link.Conn
	stop    context.CancelFunc
	stopped sync.WaitGroup
}

type silent struct{}

func (silent) Heartbeat(link.Peer) contract.Heartbeat                { return contract.Heartbeat{Machine: "entry-1"} }
func (silent) HeartbeatReceived(*link.Conn, contract.Heartbeat)      {}
func (silent) ServeStream(context.Context, *link.Conn, *link.Stream) {}
func (silent) PeerRejected(error)                                    {}

func backEnd(kind string) http.Handler {
	if kind == config.BackendPlain {
		return service.New(service.Config{Limit: hopRunning})
	}
	return engine.New(engine.Config{
		WarmLimit: hopRunning, ColdLimit: hopRunning, TokenDelay: tokenDelay, Digest: digest,
	})
}

// rigs are started and stopped together.
type rigs []*rig

// newRigs starts a rig for each kind of back end.
func newRigs() (rigs, error) {
	list := rigs{{kind: config.BackendPlain}, {kind: config.BackendModel}}
	failed := make([]error, len(list))
	var wg sync.WaitGroup
	for i, r := range list {
		wg.Go(func() { failed[i] = r.start(r.kind) })
	}
	wg.Wait()
	return list, errors.Wrap(errors.CombineErrors(failed[0], failed[1]), "bench")
}

func (list rigs) close() {
	for _, r := range list {
		r.close()
	}
}

func (r *rig) start(kind string) error {
	dir, err := os.MkdirTemp("", "bench-gate-")
	if err != nil {
		return err
	}
	r.dir = dir
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.back = &http.Server{Handler: backEnd(kind)}
	r.backURL = "http://" + lis.Addr().String()
	go func() { _ = r.back.Serve(lis) }()
	authority, err := devkeys.NewAuthority(r.dir)
	if err != nil {
		return err
	}
	if err := r.startTarget(authority, kind); err != nil {
		return err
	}
	if err := r.connect(authority); err != nil {
		return err
	}
	return r.awaitReady()
}

func (r *rig) startTarget(authority *devkeys.Authority, kind string) error {
	files, err := authority.Issue("target-1", link.RoleTarget, hopValidity)
	if err != nil {
		return err
	}
	r.process, err = target.New(&config.Process{
		Machine: "target-1", Zone: "z", Region: "r", ShutdownGrace: time.Second, TLS: files,
		LinkAddress: "127.0.0.1:0", HTTPAddress: "127.0.0.1:0",
		Target: config.Target{Service: "s", Kind: kind, BackendURL: r.backURL, MaxRunning: hopRunning},
	})
	if err != nil {
		return err
	}
	if err := r.process.Start(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.stopped.Go(func() { _ = r.process.Run(ctx) })
	return nil
}

func (r *rig) connect(authority *devkeys.Authority) error {
	files, err := authority.Issue("entry-1", link.RoleEntry, hopValidity)
	if err != nil {
		return err
	}
	creds, err := link.LoadCredentials(files, link.RoleEntry, time.Now())
	if err != nil {
		return err
	}
	r.entry, err = link.Listen("127.0.0.1:0", creds, silent{}, link.Config{})
	if err != nil {
		return err
	}
	r.conn, err = r.entry.Dial(context.Background(), r.process.LinkAddress())
	return err
}

// awaitReady waits until the slow start is over.
func (r *rig) awaitReady() error {
	for {
		load, err := r.load()
		if err != nil {
			return err
		}
		if load.Warm {
			return nil
		}
		time.Sleep(readyPoll)
	}
}

// load asks for the target's load by an attempt that is refused.
func (r *rig) load() (contract.Load, error) {
	s, err := r.conn.Open(context.Background())
	if err != nil {
		return contract.Load{}, err
	}
	defer s.Close()
	start := contract.Start{Attempt: contract.AttemptID{Request: "probe", N: 1}, Service: "none"}
	if err := s.Send(contract.Message{Kind: contract.KindStart, Start: &start}); err != nil {
		return contract.Load{}, err
	}
	m, err := s.Recv()
	if err != nil || m.Kind != contract.KindRefuse {
		return contract.Load{}, errors.Newf("kind %d: %v", m.Kind, err)
	}
	return m.Refuse.Load, nil
}

func (r *rig) close() {
	if r.stop != nil {
		r.stop()
		r.stopped.Wait()
	}
	if r.entry != nil {
		r.entry.Close()
	}
	if r.back != nil {
		_ = r.back.Close()
	}
	if r.dir != "" {
		_ = os.RemoveAll(r.dir)
	}
}
