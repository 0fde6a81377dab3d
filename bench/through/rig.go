// Package through measures calls through real entry and target processes on
// loopback, beside direct calls of the same stand-ins.
package through

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/devkeys"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/entry"
	"mimosastand.example/mimosastand/machine/target"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/fixed"
	"mimosastand.example/mimosastand/standin/engine"
	"mimosastand.example/mimosastand/standin/service"
	"mimosastand.example/mimosastand/zone/hostlist"
)

const (
	model, plain = "drafts", "registry"
	teamName     = "north"
	running      = 64
	validity     = time.Hour
	tokenDelay   = 2 * time.Millisecond
	grace        = 2 * time.Second
)

var digest = contract.NewDigest([32]byte{1})

// rig is two stand-ins, a target process before each, and an entry process.
type rig struct {
	keys  *devkeys.Authority
	dir   string
	hosts hostlist.List
	entry *entry.Entry
	// direct holds the addresses of the stand-ins by service.
	direct  map[string]string
	stops   []func()
	stopped sync.WaitGroup
}

type hosts hostlist.List

// List implements hostlist.Reader.
func (h hosts) List(context.Context) (hostlist.List, error) {
	return hostlist.List(h), nil
}

func newRig() (*rig, error) {
	dir, err := os.MkdirTemp("", "bench-through-")
	if err != nil {
		return nil, err
	}
	r := &rig{dir: dir, direct: map[string]string{}, hosts: hostlist.List{Version: 1}}
	if r.keys, err = devkeys.NewAuthority(dir); err != nil {
		return r, err
	}
	engines := engine.New(engine.Config{WarmLimit: running, ColdLimit: running, TokenDelay: tokenDelay, Digest: digest})
	if err := r.startTarget("target-1", model, config.BackendModel, engines); err != nil {
		return r, err
	}
	if err := r.startTarget("target-2", plain, config.BackendPlain, service.New(service.Config{Limit: running})); err != nil {
		return r, err
	}
	return r, r.startEntry()
}

func (r *rig) process(machine string, role link.Role) (*config.Process, error) {
	files, err := r.keys.Issue(machine, role, validity)
	return &config.Process{
		Machine: contract.MachineID(machine), Zone: "z", Region: "r", ShutdownGrace: grace, TLS: files,
		LinkAddress: "127.0.0.1:0", HTTPAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0",
	}, err
}

func (r *rig) startTarget(machine, name, kind string, back http.Handler) error {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: back}
	r.direct[name] = "http://" + lis.Addr().String()
	go func() { _ = server.Serve(lis) }()
	r.stops = append(r.stops, func() { _ = server.Close() })
	p, err := r.process(machine, link.RoleTarget)
	if err != nil {
		return err
	}
	p.Target = config.Target{Service: contract.ServiceName(name), Kind: kind, BackendURL: r.direct[name], MaxRunning: running}
	process, err := target.New(p)
	if err != nil {
		return err
	}
	if err := process.Start(); err != nil {
		return err
	}
	r.run(process.Run)
	r.hosts.Hosts = append(r.hosts.Hosts, hostlist.Host{
		Machine: p.Machine, Role: hostlist.Target, Zone: p.Zone, Region: p.Region,
		Service: p.Target.Service, Address: process.LinkAddress(), State: hostlist.Live,
	})
	return nil
}

func (r *rig) run(serve func(context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	r.stops = append(r.stops, stop)
	r.stopped.Go(func() { _ = serve(ctx) })
}

func (r *rig) startEntry() error {
	p, err := r.process("entry-1", link.RoleEntry)
	if err != nil {
		return err
	}
	p.Entry = config.Entry{MaxBodyBytes: 1 << 20, DefaultTimeout: time.Minute}
	r.entry, err = entry.New(p, entry.Options{Settings: fixed.Follower{View: view()}, Hosts: hosts(r.hosts), Claims: noClaims{}})
	if err != nil {
		return err
	}
	r.run(r.entry.Run)
	return nil
}

func view() *fixed.View {
	plainSettings := settings.ServiceSettings{Kind: settings.KindPlain, ColdRunning: running, QueueLength: running, RetryShare: 0.1}
	modelSettings := plainSettings
	modelSettings.Kind, modelSettings.Weights = settings.KindModel, digest
	return &fixed.View{
		At:       1,
		Deployed: map[contract.ServiceName]settings.ServiceSettings{model: modelSettings, plain: plainSettings},
		Teams:    map[contract.TeamName]settings.TeamSettings{teamName: {Share: 1, RetryShare: 0.1}},
	}
}

// close stops the entry first and the stand-ins last.
func (r *rig) close() {
	for i := len(r.stops) - 1; i >= 0; i-- {
		r.stops[i]()
	}
	r.stopped.Wait()
	_ = os.RemoveAll(r.dir)
}
