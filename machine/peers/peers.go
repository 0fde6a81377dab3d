// Package peers finds the system's other processes through the platform's store
// and keeps links to them.
//
// Each process makes a key when it starts and publishes its address and the
// fingerprint of its certificate. It accepts exactly the peers whose fingerprint
// stands in the store: who may write there is who may join.
package peers

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/periodic"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/link/backoff"
	"mimosastand.example/mimosastand/link/pool"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
)

var (
	// ErrNoPeer means that no peer could be asked.
	ErrNoPeer = errors.New("peers: none is linked")
	// ErrBusy means that a peer answers others; it may be asked again soon.
	ErrBusy = errors.New("peers: peer is busy")
)

// Options joins a process to its peers.
type Options struct {
	Self  Member
	Store *platform.Store
	Log   log.Interface
	// Beat fills in what heartbeats tell a peer of this process.
	FillHeartbeat func(contract.MachineID, *contract.Heartbeat)
	// OnBeat is called for each heartbeat of a peer, OnDown when a link has ended.
	OnHeartbeat func(contract.Heartbeat)
	OnLinkDown  func(contract.MachineID)
	// Serve answers a stream that a peer opened with m.
	ServeStream func(ctx context.Context, m contract.Message, s *link.Stream)
}

// Peers is safe for concurrent use.
type Peers struct {
	opts     Options
	members  *feed.Feed
	endpoint *link.Endpoint
	pool     *pool.Pool

	started time.Time

	mu    sync.Mutex
	known map[contract.MachineID]Member
	// conns holds the newest link to each peer, whoever dialed.
	conns map[contract.MachineID]*link.Conn
	// wanted are the peers that this process links to, with their addresses.
	wanted map[contract.MachineID]string
	asked  int
	// returned tells that a former run of this machine stood in the store.
	returned bool
	// read is closed when the members have been read for the first time, at readAt.
	read     chan struct{}
	readOnce sync.Once
	readAt   time.Time
}

// Open opens the link address; Run does the rest.
func Open(opts Options) (*Peers, error) {
	p := &Peers{opts: opts, started: time.Now(), known: map[contract.MachineID]Member{}, conns: map[contract.MachineID]*link.Conn{}, read: make(chan struct{})}
	p.members = feed.New(opts.Store, feed.Options{
		Topic:        platform.TopicMembers,
		MaxWait:      p.memberWait(),
		ReadInterval: p.memberPause,
		OnChange:     p.membersChanged,
		Log:          opts.Log,
	})
	creds, fingerprint, err := link.NewPinnedCredentials(
		link.Peer{Machine: opts.Self.Machine, Role: opts.Self.Role}, p.trusts)
	if err != nil {
		return nil, err
	}
	p.opts.Self.Fingerprint = fingerprint
	cfg := link.Config{
		Heartbeat:       heartbeat,
		TargetHeartbeat: targetHeartbeat,
		SilentAfter:     silentAfter,
		FullRateLinks:   fullRateLinks,
	}
	if p.endpoint, err = link.Listen(opts.Self.Address, creds, p, cfg); err != nil {
		return nil, err
	}
	p.opts.Self.Address = p.endpoint.Address()
	p.pool = pool.New(p.endpoint, pool.Options{
		OnUp:          func(id contract.MachineID, c *link.Conn) { p.linked(id, c) },
		Backoff:       backoff.Policy{Base: redialMin, Max: redialMax},
		FullRatePeers: fullRateLinks,
	})
	return p, nil
}

// Run follows the members and publishes this process until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { p.members.Run(ctx) })
	wg.Go(func() { p.publish(ctx) })
	wg.Go(func() { periodic.Run(ctx, wantedInterval, func() { p.dialWanted(nil) }) })
	wg.Wait()
	p.pool.Close()
	p.endpoint.Close()
}

// Traffic returns what the links have sent and received.
func (p *Peers) Traffic() link.Traffic { return p.endpoint.Traffic() }
