// Package weightcache brings the weights of a model into each zone once. An entry downloads
// them from the origin or reads them from the platform's store, and serves them to the
// targets that request them.
//
// For each version one entry, near the origin, downloads the pieces and appends them to the
// store as they arrive. One entry of each zone, its reader, reads them from the store. An
// entry that sees no progress requests the pieces from entries that may hold them, and then
// downloads the missing ones itself. Every piece is verified before it is passed on.
package weightcache

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/periodic"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/peers"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/weights/pieces"
	"mimosastand.example/mimosastand/zone/catalog"
)

const (
	// versionWindow limits the versions of a model in memory: a version is dropped once one
	// whose number is at least versionWindow higher is added. With consecutive numbers, the
	// current version, the previous one and one that is being rolled out stay.
	versionWindow = 3
	// sendTimeout limits the sending of one message, with one piece at most.
	sendTimeout = 5 * time.Second
	// linkGracePeriod is how long after the members were first read an entry without a link
	// still counts as one that may soon be linked. membersTimeout is how long after its
	// start an entry waits for the members to be read.
	linkGracePeriod = 1500 * time.Millisecond
	membersTimeout  = 2500 * time.Millisecond
	// waitMessageInterval is how often a peer that waits for a piece is sent a message to
	// continue waiting. The peer gives up after messageTimeout without a message.
	waitMessageInterval = 600 * time.Millisecond
)

// Version identifies one version of a model's weights.
type Version struct {
	Model  string
	Number int64
}

// String returns "model.number".
func (v Version) String() string { return fmt.Sprintf("%s.%d", v.Model, v.Number) }

// Options connects a Cache to the other parts of its process.
type Options struct {
	Self  contract.MachineID
	Zone  contract.ZoneName
	Store *platform.Store
	Peers *peers.Peers
	Log   log.Interface
	// PieceCount returns the number of pieces of a model, 0 if that is not known. It may be nil.
	PieceCount func(model string) int
	// Origin knows which entries could not reach the origin; nil if only this entry's attempts count.
	Origin *OriginWatch
	// VersionEnd returns when the bound of an announced version ends; ok is false if the version is not
	// known to be announced. Without it no version waits for another one.
	VersionEnd func(model string, number int64) (end time.Time, ok bool)
	// OnTransferEvent is called when a version has to wait for another one, goes on, or is no longer
	// needed. It may be nil.
	OnTransferEvent func(TransferEvent)
}

// Cache gets the pieces of versions and serves them to peers. It is safe for concurrent use.
type Cache struct {
	opts    Options
	ctx     context.Context
	started time.Time

	mu       sync.Mutex
	origin   catalog.Origin
	client   *platform.OriginClient
	versions map[Version]*cachedVersion
	// arbitration starts the goroutine that decides which versions go first.
	arbitration sync.Once
}

// New returns a cache whose background work ends with ctx.
func New(ctx context.Context, opts Options) *Cache {
	if opts.Origin == nil {
		opts.Origin = NewOriginWatch()
	}
	return &Cache{opts: opts, ctx: ctx, started: time.Now(), versions: map[Version]*cachedVersion{}}
}

// SetOrigin sets the origin of weights. The client of an unchanged address is reused.
func (c *Cache) SetOrigin(origin catalog.Origin) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if origin.Address != c.origin.Address {
		c.client = platform.NewOriginClient(origin.Address)
	}
	c.origin = origin
}

// originClient returns the client of the origin, or nil while no origin is known.
func (c *Cache) originClient() *platform.OriginClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.client
}

func (c *Cache) currentOrigin() catalog.Origin {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.origin
}

// pieceCount returns the number of pieces of a model; 0 if that is not known.
func (c *Cache) pieceCount(model string) int {
	if c.opts.PieceCount == nil {
		return 0
	}
	return c.opts.PieceCount(model)
}

// FetchIfFirstInRank starts to get the pieces of a version that is to be served, if this entry
// is first in rank. The others start when the pieces are requested from them. It is called
// repeatedly, since the rank may become known or change later.
func (c *Cache) FetchIfFirstInRank(v Version) {
	if c.canDetermineRank() && c.rankOf(v) == 0 {
		c.ensureVersion(v)
	}
}

// rankOf returns this entry's place in the order of entries for a version. It counts only
// entries that may be running: disconnected and dead ones are not waited for.
func (c *Cache) rankOf(v Version) int {
	rank := 0
	for _, m := range c.rankedEntries(v) {
		if m.Machine == c.opts.Self {
			break
		}
		if c.mayBeRunning(m.Machine) {
			rank++
		}
	}
	return rank
}

// rankedEntries returns the entries in their order of rank for a version.
func (c *Cache) rankedEntries(v Version) []peers.Member {
	return RankEntries(v, c.opts.Peers.Members(link.RoleEntry), c.currentOrigin().Zone)
}

// zonePredecessors returns the entries of this entry's zone that precede it in the order of
// entries for a version and may be running. The first entry of a zone is its reader.
func (c *Cache) zonePredecessors(v Version) []contract.MachineID {
	var list []contract.MachineID
	for _, m := range c.rankedEntries(v) {
		if m.Machine == c.opts.Self {
			break
		}
		if m.Zone == c.opts.Zone && c.mayBeRunning(m.Machine) {
			list = append(list, m.Machine)
		}
	}
	return list
}

// mayBeRunning reports whether an entry may be running and linked, or may be soon.
func (c *Cache) mayBeRunning(id contract.MachineID) bool {
	return c.opts.Peers.MayBeRunning(id) || time.Since(c.opts.Peers.MembersFirstReadAt()) < linkGracePeriod
}

// canDetermineRank reports whether this entry can determine its rank. Without the members
// every entry would be first in rank, and read and download for itself. An entry that has
// not read the members within membersTimeout continues alone.
func (c *Cache) canDetermineRank() bool {
	return !c.opts.Peers.MembersFirstReadAt().IsZero() || time.Since(c.started) >= membersTimeout
}

// ensureVersion returns the cached version v. It adds the version and starts to get its
// pieces if necessary.
func (c *Cache) ensureVersion(v Version) *cachedVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cv, ok := c.versions[v]; ok {
		return cv
	}
	c.evictOld(v)
	ctx, cancel := context.WithCancel(c.ctx)
	waitCtx, endWait := context.WithCancel(ctx)
	cv := &cachedVersion{cache: c, id: v, ctx: ctx, digestsKnown: make(chan struct{}), cancel: cancel, endWait: endWait}
	c.versions[v] = cv
	c.arbitration.Do(func() { go periodic.Run(c.ctx, arbitrationInterval, c.arbitrate) })
	go cv.fetchAll(ctx, waitCtx)
	return cv
}

// RewriteLost appends the pieces of complete versions that the store lost when it came back
// from an older copy in an era, as far as it is this entry's turn. It returns their number.
func (c *Cache) RewriteLost(ctx context.Context, era int64) (rewritten int) {
	for _, cv := range c.cachedVersions() {
		rewritten += cv.rewriteLost(ctx, era)
	}
	return rewritten
}

// evictOld removes the versions of the model that are too old now that another is added, and
// ends the work on them. mu must be held.
func (c *Cache) evictOld(added Version) {
	for v, cv := range c.versions {
		if v.Model == added.Model && v.Number <= added.Number-versionWindow {
			cv.cancel()
			delete(c.versions, v)
		}
	}
}

// Serve sends the pieces that a peer requests, as they arrive. A request with HeldOnly gets
// only the pieces that are held now; one with FromOrigin also triggers a download from the
// origin.
func (c *Cache) Serve(ctx context.Context, request contract.PiecesRequest, s *link.Stream) {
	v := Version{Model: request.Model, Number: request.Version}
	if request.HeldOnly {
		c.serveHeld(v, request, s)
		return
	}
	cv := c.ensureVersion(v)
	if request.FromOrigin {
		cv.triggerDownload()
	}
	if !waitNotifyingPeer(ctx, s, cv.digestsKnown) {
		return
	}
	set := cv.currentSet()
	if err := sendMessage(s, contract.Pieces{Digests: set.Digests()}); err != nil {
		return
	}
	sent := sentFlags(request.Have, set.Len())
	for {
		added := set.Added()
		if remaining, err := sendHeld(s, set, sent); err != nil || remaining == 0 {
			break
		}
		if !waitNotifyingPeer(ctx, s, added) {
			return
		}
	}
	_ = sendMessage(s, contract.Pieces{End: true})
}

// serveHeld sends the requested pieces that are held now, without waiting for others, or only their
// digests.
func (c *Cache) serveHeld(v Version, request contract.PiecesRequest, s *link.Stream) {
	c.mu.Lock()
	cv := c.versions[v]
	c.mu.Unlock()
	if cv != nil && cv.currentSet() != nil {
		set := cv.currentSet()
		if err := sendMessage(s, contract.Pieces{Digests: set.Digests()}); err != nil {
			return
		}
		if request.DigestsOnly {
			_ = sendMessage(s, contract.Pieces{End: true})
			return
		}
		if _, err := sendHeld(s, set, sentFlags(request.Have, set.Len())); err != nil {
			return
		}
	}
	_ = sendMessage(s, contract.Pieces{End: true})
}

// waitNotifyingPeer waits for done and meanwhile sends the peer messages to continue
// waiting. It returns false if the peer is gone.
func waitNotifyingPeer(ctx context.Context, s *link.Stream, done <-chan struct{}) bool {
	ticker := time.NewTicker(waitMessageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return true
		case <-ctx.Done():
			return false
		case <-ticker.C:
			if err := sendMessage(s, contract.Pieces{Wait: true}); err != nil {
				return false
			}
		}
	}
}

// sentFlags returns a flag for each of count pieces, set for those at the given indexes.
func sentFlags(indexes []uint32, count int) []bool {
	sent := make([]bool, count)
	for _, i := range indexes {
		if int(i) < count {
			sent[i] = true
		}
	}
	return sent
}

// sendHeld sends the pieces that are held and not sent yet. It returns how many pieces of
// the version are not held yet.
func sendHeld(s *link.Stream, set *pieces.Set, sent []bool) (remaining int, err error) {
	for i := range sent {
		if sent[i] {
			continue
		}
		data := set.Get(i)
		if data == nil {
			remaining++
			continue
		}
		if err := sendMessage(s, contract.Pieces{Index: uint32(i), Data: data}); err != nil {
			return remaining, err
		}
		sent[i] = true
	}
	return remaining, nil
}

func sendMessage(s *link.Stream, p contract.Pieces) error {
	_ = s.SetWriteDeadline(time.Now().Add(sendTimeout))
	return s.Send(contract.Message{Kind: contract.KindPieces, Pieces: &p})
}
