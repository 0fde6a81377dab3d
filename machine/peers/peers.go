package peers

import (
	"context"
	"math/rand/v2"
	"sort"
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

const (
	// heartbeat is the interval between heartbeats of entries, targetHeartbeat that
	// towards targets, silentAfter how long a link may go without one.
	heartbeat       = 250 * time.Millisecond
	targetHeartbeat = 600 * time.Millisecond
	silentAfter     = 1500 * time.Millisecond
	// fullRateLinks is the number of links beyond which heartbeats and the tries to
	// reach a peer become rarer.
	fullRateLinks = 30
	// manyMembers is the number of members beyond which an entry links to the targets
	// of its own region only: handshakes and heartbeats of all entries with all targets
	// fill the links between regions.
	manyMembers = 60
	// wantedInterval is the time between two looks at which peers to link to.
	wantedInterval = time.Second
	// memberWait is how long one read of the members waits for news.
	memberWait = 10 * time.Second
	// joinTime is how long after the start many members join at once. Reads of an
	// entry are joinPause apart meanwhile and memberPause later, so that one brings
	// several members. A target reads when a peer comes that it does not know.
	joinTime     = 3 * time.Second
	joinPause    = 120 * time.Millisecond
	memberPause  = time.Second
	targetsPause = 15 * time.Second
	// publishWait is how long the first publication waits for what the store holds of
	// a former run; publishPause is the time between two tries.
	publishWait  = 700 * time.Millisecond
	publishPause = 400 * time.Millisecond
	pullTimeout  = 700 * time.Millisecond
	// redialMin and redialMax space the tries to reach a peer.
	redialMin = 150 * time.Millisecond
	redialMax = time.Second
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
	Beat func(contract.MachineID, *contract.Heartbeat)
	// OnBeat is called for each heartbeat of a peer, OnDown when a link has ended.
	OnBeat func(contract.Heartbeat)
	OnDown func(contract.MachineID)
	// Serve answers a stream that a peer opened with m.
	Serve func(ctx context.Context, m contract.Message, s *link.Stream)
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
		Topic:    platform.TopicMembers,
		Wait:     p.memberWait(),
		Pause:    p.memberPause,
		OnChange: p.membersChanged,
		Log:      opts.Log,
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

func (p *Peers) memberWait() time.Duration {
	if p.opts.Self.Role == link.RoleTarget {
		return 0
	}
	return memberWait
}

// memberPause is the time until the members are read again.
func (p *Peers) memberPause() time.Duration {
	switch {
	case p.opts.Self.Role == link.RoleTarget:
		return targetsPause
	case time.Since(p.started) < joinTime:
		return joinPause
	default:
		return memberPause
	}
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

// publish writes this process's record until it stands in the store.
func (p *Peers) publish(ctx context.Context) {
	data, err := p.opts.Self.encode()
	if err != nil {
		p.opts.Log.WithError(err).Error("member not published")
		return
	}
	select {
	case <-p.read:
	case <-time.After(publishWait):
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		_, err := p.opts.Store.Put(ctx, platform.TopicMembers, string(p.opts.Self.Machine), data)
		if err == nil {
			p.opts.Log.Info("member published")
			return
		}
		p.opts.Log.WithError(err).Warn("member not published")
		pause := publishPause + time.Duration(rand.Int64N(int64(publishPause)))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (p *Peers) trusts(peer link.Peer, fingerprint link.Fingerprint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.known[peer.Machine]
	if ok && m.Role == peer.Role && m.Fingerprint == fingerprint {
		return true
	}
	p.members.Poke()
	return false
}

func (p *Peers) membersChanged(news feed.News) {
	var restarted []contract.MachineID
	p.mu.Lock()
	for _, r := range news.Records {
		if len(r.Value) == 0 {
			delete(p.known, contract.MachineID(r.Key))
			continue
		}
		m, err := decodeMember(r.Key, r.Value)
		if err != nil {
			p.opts.Log.WithError(err).Warn("member ignored")
			continue
		}
		if old, ok := p.known[m.Machine]; ok && old.Fingerprint != m.Fingerprint {
			restarted = append(restarted, m.Machine)
		}
		p.known[m.Machine] = m
		if m.Machine == p.opts.Self.Machine && m.Fingerprint != p.opts.Self.Fingerprint {
			p.returned = true
		}
	}
	p.mu.Unlock()
	p.dialWanted(restarted)
	p.readOnce.Do(p.membersRead)
}

func (p *Peers) membersRead() {
	p.mu.Lock()
	p.readAt = time.Now()
	p.mu.Unlock()
	close(p.read)
}

// MembersReadAt is when the members were read for the first time; zero if they have not
// been.
func (p *Peers) MembersReadAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readAt
}

// dialWanted links to the peers that are wanted now, at once to those that have
// started again.
func (p *Peers) dialWanted(restarted []contract.MachineID) {
	p.mu.Lock()
	view := linkView{self: p.opts.Self, known: p.known, young: time.Since(p.started) < joinTime, linked: p.linkedZones()}
	wanted := view.wanted()
	p.wanted = wanted
	p.mu.Unlock()
	p.pool.Set(wanted)
	for _, id := range restarted {
		p.pool.Redial(id)
	}
}

// Wants reports whether this process keeps a link to a machine.
func (p *Peers) Wants(id contract.MachineID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.wanted[id]
	return ok
}

// linkedZones are the zones of the entries that are linked; mu must be held.
func (p *Peers) linkedZones() map[contract.ZoneName]bool {
	zones := map[contract.ZoneName]bool{}
	for id, c := range p.conns {
		if m := p.known[id]; m.Role == link.RoleEntry && c.Err() == nil {
			zones[m.Zone] = true
		}
	}
	return zones
}

// Returned reports whether a former run of this machine had published itself.
func (p *Peers) Returned() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.returned
}

func (p *Peers) linked(id contract.MachineID, c *link.Conn) {
	p.mu.Lock()
	old := p.conns[id]
	p.conns[id] = c
	p.mu.Unlock()
	if old == c {
		return
	}
	go func() {
		<-c.Done()
		p.mu.Lock()
		current := p.conns[id] == c
		if current {
			delete(p.conns, id)
		}
		p.mu.Unlock()
		if current && p.opts.OnDown != nil {
			p.opts.OnDown(id)
		}
	}()
}

// Members lists the members of a role by machine.
func (p *Peers) Members(role link.Role) []Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Member
	for _, m := range p.known {
		if m.Role == role {
			list = append(list, m)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Machine < list[j].Machine })
	return list
}

// Member is what is known of a machine.
func (p *Peers) Member(id contract.MachineID) (Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.known[id]
	return m, ok
}

// LinkedCount is the number of peers that are linked.
func (p *Peers) LinkedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, c := range p.conns {
		if c.Err() == nil {
			n++
		}
	}
	return n
}

// Traffic returns what the links have sent and received.
func (p *Peers) Traffic() link.Traffic { return p.endpoint.Traffic() }

// Linked reports whether there is a link to a machine.
func (p *Peers) Linked(id contract.MachineID) bool {
	_, ok := p.conn(id)
	return ok
}

func (p *Peers) conn(id contract.MachineID) (*link.Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.conns[id]
	return c, ok && c.Err() == nil
}

// First is the first entry of a zone, by machine, that is this process or linked.
func (p *Peers) First(zone contract.ZoneName) (contract.MachineID, bool) {
	for _, m := range p.Members(link.RoleEntry) {
		if m.Zone == zone && (m.Machine == p.opts.Self.Machine || p.Linked(m.Machine)) {
			return m.Machine, true
		}
	}
	return "", false
}

// AnyLinked reports whether there is a link to an entry.
func (p *Peers) AnyLinked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range p.conns {
		if p.known[id].Role == link.RoleEntry && c.Err() == nil {
			return true
		}
	}
	return false
}

// BeatNow sends a heartbeat on every link at once.
func (p *Peers) BeatNow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Beat()
	}
}

// Open opens a stream to a machine and sends its first message.
func (p *Peers) Open(ctx context.Context, id contract.MachineID, m contract.Message) (*link.Stream, error) {
	c, ok := p.conn(id)
	if !ok {
		return nil, ErrNoPeer
	}
	s, err := c.Open(ctx)
	if err != nil {
		return nil, err
	}
	_ = s.SetWriteDeadline(time.Now().Add(pullTimeout))
	if err := s.Send(m); err != nil {
		s.Reset()
		return nil, err
	}
	return s, nil
}

// Pull asks one linked entry for a topic's records above an offset; successive
// calls ask different ones.
func (p *Peers) Pull(ctx context.Context, topic string, after int64) (contract.Records, error) {
	id, ok := p.next()
	if !ok {
		return contract.Records{}, ErrNoPeer
	}
	return p.PullFrom(ctx, id, topic, after)
}

// PullFrom asks a machine for a topic's records above an offset.
func (p *Peers) PullFrom(ctx context.Context, id contract.MachineID, topic string, after int64) (contract.Records, error) {
	pull := contract.Message{Kind: contract.KindRecordsPull, RecordsPull: &contract.RecordsPull{Topic: topic, After: after}}
	opening, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	s, err := p.Open(opening, id, pull)
	if err != nil {
		return contract.Records{}, err
	}
	defer s.Close()
	s.SetReadPatience(pullTimeout)
	m, err := s.Recv()
	if err != nil {
		return contract.Records{}, err
	}
	if m.Kind != contract.KindRecords {
		return contract.Records{}, errors.Wrapf(link.ErrFrame, "reply of kind %d", m.Kind)
	}
	if m.Records.Busy {
		return contract.Records{}, ErrBusy
	}
	return *m.Records, nil
}

// Heartbeat implements link.Handler.
func (p *Peers) Heartbeat(peer link.Peer) contract.Heartbeat {
	hb := contract.Heartbeat{Machine: p.opts.Self.Machine, Zone: p.opts.Self.Zone}
	p.opts.Beat(peer.Machine, &hb)
	return hb
}

// HeartbeatReceived implements link.Handler.
func (p *Peers) HeartbeatReceived(c *link.Conn, hb contract.Heartbeat) {
	if c.Peer().Machine != hb.Machine {
		return
	}
	if _, ok := p.conn(hb.Machine); !ok {
		p.linked(hb.Machine, c)
	}
	p.opts.OnBeat(hb)
}

// ServeStream implements link.Handler.
func (p *Peers) ServeStream(ctx context.Context, _ *link.Conn, s *link.Stream) {
	_ = s.SetReadDeadline(time.Now().Add(pullTimeout))
	m, err := s.Recv()
	if err != nil {
		return
	}
	p.opts.Serve(ctx, m, s)
}

// RejectedPeer implements link.Handler.
func (p *Peers) RejectedPeer(err error) {
	p.opts.Log.WithError(err).Warn("peer rejected")
}
