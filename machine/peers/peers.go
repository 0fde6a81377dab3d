// Package peers finds the other processes of the system, its members, through the
// platform's store and keeps links to them. It also pulls records of keyed topics from
// peers that hold more of them than this process.
//
// Each process generates a key when it starts and publishes a member record with its
// address and the fingerprint of its certificate. It accepts exactly the peers whose
// fingerprint is in the store, so whoever may write to the store may join.
package peers

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/link/backoff"
	"mimosastand.example/mimosastand/link/pool"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
)

var (
	// ErrNoPeer means that there is no link over which to send a request.
	ErrNoPeer = errors.New("peers: no peer is linked")
	// ErrBusy means that a peer is serving other pulls; the pull may be repeated soon.
	ErrBusy = errors.New("peers: peer is busy")
)

// Options configures Peers.
type Options struct {
	Self  Member
	Store *platform.Store
	Log   log.Interface
	// FillHeartbeat fills in the state of this process in a heartbeat to a peer.
	FillHeartbeat func(contract.MachineID, *contract.Heartbeat)
	// OnHeartbeat is called for each heartbeat received from a peer. OnLinkDown is called
	// when a link has ended and no other one has replaced it; it may be nil.
	OnHeartbeat func(contract.Heartbeat)
	OnLinkDown  func(contract.MachineID)
	// ServeStream handles a stream that a peer opened; m is its first message.
	ServeStream func(ctx context.Context, m contract.Message, s *link.Stream)
}

// Peers holds the known members of the system and the links to them. It is safe for
// concurrent use.
type Peers struct {
	opts       Options
	memberFeed *feed.Feed
	// memberCatchup gets from peers the members that they have read before this process.
	memberCatchup *Catchup
	endpoint      *link.Endpoint
	pool          *pool.Pool

	started time.Time

	// sightings holds which entries without a link to this process run.
	sightings *sightings

	mu      sync.Mutex
	members map[contract.MachineID]Member
	// listedAt is when the record of the present run of each member was applied, by the boot clock.
	listedAt map[contract.MachineID]time.Time
	// conns holds a link to each linked peer: the newest that this process dialed, or one
	// that the peer dialed while no live link was known.
	conns map[contract.MachineID]*link.Conn
	// neighbours holds the members that this process is to be linked to, and zoneEntries the
	// entries of each zone by name. turns is the round-robin counter of nextLinked.
	neighbours  map[contract.MachineID]Member
	zoneEntries map[contract.ZoneName][]Member
	turns       int
	news        newsPacing
	// membersByRole lists the members with each role by name.
	membersByRole map[link.Role][]Member
	// hasPreviousRun means that the store held the record of a previous run of this
	// machine.
	hasPreviousRun bool
	// publishedAt is the position at which the store last acknowledged the member record of this
	// process, notPublished before that. ownRecordChanged signals a record of this machine that is
	// not of this run, and rewrittenCount counts those that maintainMember has replaced.
	publishedAt      atomic.Int64
	ownRecordChanged chan struct{}
	rewrittenCount   atomic.Int64
	// removedCount counts the member records of other entries that this process has removed.
	removedCount atomic.Int64
	// firstRead is closed when the members have been read for the first time, at
	// firstReadAt.
	firstRead     chan struct{}
	firstReadOnce sync.Once
	firstReadAt   time.Time
}

// Open returns Peers that listen on the link address; Run finds the members and publishes
// this process.
func Open(opts Options) (*Peers, error) {
	p := &Peers{
		opts: opts, started: time.Now(), members: map[contract.MachineID]Member{}, conns: map[contract.MachineID]*link.Conn{},
		sightings: newSightings(), listedAt: map[contract.MachineID]time.Time{},
		firstRead: make(chan struct{}), ownRecordChanged: make(chan struct{}, 1),
	}
	p.publishedAt.Store(notPublished)
	p.memberFeed = feed.New(opts.Store, feed.Options{
		Topic:        platform.TopicMembers,
		MaxWait:      p.maxReadWait(),
		ReadInterval: p.memberReadInterval,
		TakeoverAge:  p.memberTakeoverAge,
		TriggerDelay: memberTriggerDelay,
		OnChange:     p.applyMembers,
		// Peers write their records again at once, unless they are gone.
		RewriteTimeout: memberRewriteTimeout,
		Log:            opts.Log,
	})
	p.memberCatchup = newCatchup(p, p.memberFeed, platform.TopicMembers, memberCatchupDelay)
	creds, fingerprint, err := link.NewPinnedCredentials(
		link.Peer{Machine: opts.Self.Machine, Role: opts.Self.Role}, p.isTrusted)
	if err != nil {
		return nil, err
	}
	p.opts.Self.Fingerprint = fingerprint
	cfg := link.Config{
		HeartbeatInterval:       heartbeatInterval,
		TargetHeartbeatInterval: targetHeartbeatInterval,
		SilentAfter:             silenceTimeout,
		FullRateLinks:           fullRateLinks,
		FullRateEntryLinks:      fullRateEntryLinks,
	}
	if p.endpoint, err = link.Listen(opts.Self.Address, creds, p, cfg); err != nil {
		return nil, err
	}
	p.opts.Self.Address = p.endpoint.Address()
	p.pool = pool.New(p.endpoint, pool.Options{
		OnUp:          func(id contract.MachineID, c *link.Conn) { p.setLink(id, c) },
		Backoff:       backoff.Policy{Base: minRedialDelay, Max: maxRedialDelay},
		FullRatePeers: fullRateLinks,
	})
	return p, nil
}

// Run follows the members, keeps the links to them and publishes this process until ctx
// is done. It then closes all links.
func (p *Peers) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { p.memberFeed.Run(ctx) })
	wg.Go(func() { p.memberCatchup.Run(ctx) })
	wg.Go(func() { p.maintainMember(ctx) })
	wg.Go(func() { p.removeLeft(ctx) })
	wg.Wait()
	p.pool.Close()
	p.endpoint.Close()
}

// Traffic returns the traffic that the links have sent and received.
func (p *Peers) Traffic() link.Traffic { return p.endpoint.Traffic() }
