// Package weightcache brings the weights of a model into a zone once: it draws them
// from the origin or reads them from the platform's store, and hands them to the
// targets that ask.
//
// For each version one entry, near the origin, draws the pieces and appends them
// to the store as they come; one entry of each zone reads them there. An entry
// that sees no progress asks the entries that may hold the pieces, and then draws
// the missing ones itself. Every piece is verified before it is passed on.
package weightcache

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/peers"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/weights/pieces"
	"mimosastand.example/mimosastand/zone/catalog"
)

const (
	// maxVersions is how many versions of a model stay in memory: the one in
	// force, the one before and one that is under way.
	maxVersions = 3
	// sendTimeout bounds the sending of one piece.
	sendTimeout = 5 * time.Second
	// linkTime is how long after the members were read links to other entries may still be
	// made; memberTime how long after the start an entry waits for the members.
	linkTime   = 1500 * time.Millisecond
	memberTime = 2500 * time.Millisecond
	// waitNotice is how often a peer that waits for a piece is told to go on waiting.
	waitNotice = 600 * time.Millisecond
)

// Version names one version of a model's weights.
type Version struct {
	Model  string
	Number int64
}

// String returns "model.number".
func (v Version) String() string { return fmt.Sprintf("%s.%d", v.Model, v.Number) }

// Options joins a depot to its process.
type Options struct {
	Self  contract.MachineID
	Zone  contract.ZoneName
	Store *platform.Store
	Peers *peers.Peers
	Log   log.Interface
}

// Depot is safe for concurrent use.
type Cache struct {
	opts    Options
	ctx     context.Context
	started time.Time

	mu     sync.Mutex
	origin catalog.Origin
	client *platform.OriginClient
	held   map[Version]*holding
}

// New returns a depot whose work ends with ctx.
func New(ctx context.Context, opts Options) *Cache {
	return &Cache{opts: opts, ctx: ctx, started: time.Now(), held: map[Version]*holding{}}
}

// SetOrigin tells where weights come from.
func (d *Cache) SetOrigin(origin catalog.Origin) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if origin.Address != d.origin.Address {
		d.client = platform.NewOriginClient(origin.Address)
	}
	d.origin = origin
}

// originClient returns the client of the origin, nil while none is known.
func (d *Cache) originClient() *platform.OriginClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.client
}

func (d *Cache) currentOrigin() catalog.Origin {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.origin
}

// Named tells that a version is in force. The entry that is first in rank draws it.
func (d *Cache) HandleAnnouncement(v Version) {
	if d.knowsMembers() && d.rank(v) == 0 {
		d.holding(v)
	}
}

// rank is this entry's place in the order for a version, among the entries that it
// has a link to: one that is cut off or dead is not waited for.
func (d *Cache) rank(v Version) int {
	rank := 0
	for _, m := range RankEntries(v, d.opts.Peers.Members(link.RoleEntry), d.currentOrigin().Zone) {
		if m.Machine == d.opts.Self {
			break
		}
		if d.mayBeThere(m.Machine) {
			rank++
		}
	}
	return rank
}

// ahead lists the entries of this entry's zone that come before it in the order for a
// version. The first of the zone reads the version for it.
func (d *Cache) ahead(v Version) []contract.MachineID {
	var list []contract.MachineID
	for _, m := range RankEntries(v, d.opts.Peers.Members(link.RoleEntry), d.currentOrigin().Zone) {
		if m.Machine == d.opts.Self {
			break
		}
		if m.Zone == d.opts.Zone && d.mayBeThere(m.Machine) {
			list = append(list, m.Machine)
		}
	}
	return list
}

// mayBeThere reports whether an entry is linked, or may be soon.
func (d *Cache) mayBeThere(id contract.MachineID) bool {
	return d.opts.Peers.IsLinked(id) || time.Since(d.opts.Peers.MembersFirstReadAt()) < linkTime
}

// knowsMembers reports whether this entry can tell its place among the others: each that
// knows no others would read and draw for itself. One that cannot learn of them in time
// goes on alone.
func (d *Cache) knowsMembers() bool {
	return !d.opts.Peers.MembersFirstReadAt().IsZero() || time.Since(d.started) >= memberTime
}

// holding returns a version's pieces and starts to get them.
func (d *Cache) holding(v Version) *holding {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h, ok := d.held[v]; ok {
		return h
	}
	d.forgetOld(v)
	ctx, cancel := context.WithCancel(d.ctx)
	patient, hurry := context.WithCancel(ctx)
	h := &holding{depot: d, version: v, ctx: ctx, ready: make(chan struct{}), cancel: cancel, hurry: hurry}
	d.held[v] = h
	go h.fill(ctx, patient)
	return h
}

// forgetOld drops the versions that are too old beside a new one.
func (d *Cache) forgetOld(added Version) {
	for v, h := range d.held {
		if v.Model == added.Model && v.Number <= added.Number-maxVersions {
			h.cancel()
			delete(d.held, v)
		}
	}
}

// Serve sends the pieces that a peer asks for, as they come.
func (d *Cache) Serve(ctx context.Context, request contract.PiecesRequest, s *link.Stream) {
	v := Version{Model: request.Model, Number: request.Version}
	if request.Kept {
		d.serveKept(v, request, s)
		return
	}
	h := d.holding(v)
	if request.Draw {
		h.urge()
	}
	if !waiting(ctx, s, h.ready) {
		return
	}
	set := h.current()
	if err := send(s, contract.Pieces{Digests: set.Digests()}); err != nil {
		return
	}
	sent := marked(request.Have, set.Len())
	for {
		grown := set.Added()
		if left, err := sendHeld(s, set, sent); err != nil || left == 0 {
			break
		}
		if !waiting(ctx, s, grown) {
			return
		}
	}
	_ = send(s, contract.Pieces{End: true})
}

// serveKept sends what is held now.
func (d *Cache) serveKept(v Version, request contract.PiecesRequest, s *link.Stream) {
	d.mu.Lock()
	h := d.held[v]
	d.mu.Unlock()
	if h != nil && h.current() != nil {
		set := h.current()
		if err := send(s, contract.Pieces{Digests: set.Digests()}); err != nil {
			return
		}
		if _, err := sendHeld(s, set, marked(request.Have, set.Len())); err != nil {
			return
		}
	}
	_ = send(s, contract.Pieces{End: true})
}

// waiting waits for done and tells the peer meanwhile to go on waiting; false if
// the peer is gone.
func waiting(ctx context.Context, s *link.Stream, done <-chan struct{}) bool {
	ticker := time.NewTicker(waitNotice)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return true
		case <-ctx.Done():
			return false
		case <-ticker.C:
			if err := send(s, contract.Pieces{Wait: true}); err != nil {
				return false
			}
		}
	}
}

func marked(have []uint32, n int) []bool {
	sent := make([]bool, n)
	for _, i := range have {
		if int(i) < n {
			sent[i] = true
		}
	}
	return sent
}

// sendHeld sends the pieces that are held and not yet sent, and returns how many
// are left.
func sendHeld(s *link.Stream, set *pieces.Set, sent []bool) (left int, err error) {
	for i := range sent {
		if sent[i] {
			continue
		}
		data := set.Get(i)
		if data == nil {
			left++
			continue
		}
		if err := send(s, contract.Pieces{Index: uint32(i), Data: data}); err != nil {
			return left, err
		}
		sent[i] = true
	}
	return left, nil
}

func send(s *link.Stream, p contract.Pieces) error {
	_ = s.SetWriteDeadline(time.Now().Add(sendTimeout))
	return s.Send(contract.Message{Kind: contract.KindPieces, Pieces: &p})
}
