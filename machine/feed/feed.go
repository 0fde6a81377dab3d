package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/platform"
)

// Backoff after a failed call, doubled at each further failure.
const (
	minBackoff = 60 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// pokePause is the shortest pause between two reads however often Poke is called.
	pokePause = 150 * time.Millisecond
)

// Options tells how a topic is followed.
type Options struct {
	Topic string
	// Wait is how long one read waits for a record; Pause returns the time until the
	// next read, which Poke cuts short.
	MaxWait      time.Duration
	ReadInterval func() time.Duration
	// Defer returns for how long peers are left to tell what the store holds before the
	// feed reads it: a record may be large, and many processes read it over one link. The
	// feed asks the store only for its end meanwhile, and for nothing while it knows
	// nothing. 0 has it read at once, as without Defer.
	PeerGracePeriod func() time.Duration
	// OnChange is called with what was news.
	OnChange func(Update)
	// OnStore is called when the store is lost and when it answers again.
	OnStoreStateChange func(up bool)
	Log                log.Interface
}

// News are records that a feed did not hold.
type Update struct {
	Records []contract.Record
	// Since is when the topic had been read to its end before: the records were written
	// later. It is zero if they may have been written at any time.
	Since time.Time
}

// Feed follows one topic. It is safe for concurrent use.
type Feed struct {
	store *platform.Store
	opts  Options

	mu      sync.Mutex
	replica *Replica
	// known tells that the whole topic has been read, or got from a peer, in this run;
	// gotKnown is closed then.
	known    bool
	gotKnown chan struct{}
	// readAt is when the store was last read to the topic's end; zero if never.
	readAt time.Time
	up     bool
	upAt   time.Time
	// endRead ends the read that waits, if one does. refresh tells that the next read is
	// not to wait.
	endRead context.CancelFunc
	refresh bool

	poke chan struct{}

	// from is the offset to read on from; synced tells that it is in force. lagsUntil is
	// when the feed reads what peers have not told; zero if nothing lacks. They belong
	// to Run.
	from      int64
	synced    bool
	lagsUntil time.Time
}

// New returns a feed that Run starts.
func New(store *platform.Store, opts Options) *Feed {
	return &Feed{store: store, opts: opts, replica: NewReplica(), gotKnown: make(chan struct{}), poke: make(chan struct{}, 1)}
}

// SetDefer sets Options.Defer; call it before Run.
func (f *Feed) SetPeerGracePeriod(head func() time.Duration) { f.opts.PeerGracePeriod = head }

// Run follows the topic until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	f.awaitPeers(ctx)
	failures := 0
	for ctx.Err() == nil {
		wait := time.Duration(0)
		err := f.step(ctx)
		if errors.Is(err, errEnded) {
			continue
		}
		if err != nil && ctx.Err() == nil {
			failures++
			f.failed(err)
			wait = backoff(failures)
		} else {
			failures = 0
			f.succeeded()
			wait = f.pause()
		}
		f.sleep(ctx, wait)
	}
}

func backoff(failures int) time.Duration {
	const maxDoublings = 4
	base := min(minBackoff<<min(failures-1, maxDoublings), maxBackoff)
	return base/2 + time.Duration(rand.Int64N(int64(base)))
}

func (f *Feed) pause() time.Duration {
	if !f.lagsUntil.IsZero() {
		return lagPause
	}
	if f.opts.ReadInterval == nil {
		return 0
	}
	return f.opts.ReadInterval()
}

// Refresh has the topic read anew at once, also while a read waits for news: the store
// may hold what that read was not woken for.
func (f *Feed) Refresh() {
	f.mu.Lock()
	f.refresh = true
	if f.endRead != nil {
		f.endRead()
	}
	f.mu.Unlock()
	f.TriggerRead()
}

// Poke has the topic read soon although the pause is not over.
func (f *Feed) TriggerRead() {
	select {
	case f.poke <- struct{}{}:
	default:
	}
}

// sleep waits for d, or for a poke but not less than the shortest pause.
func (f *Feed) sleep(ctx context.Context, d time.Duration) {
	shortest := time.NewTimer(min(d, pokePause))
	defer shortest.Stop()
	select {
	case <-ctx.Done():
		return
	case <-shortest.C:
	}
	rest := time.NewTimer(max(d-pokePause, 0))
	defer rest.Stop()
	select {
	case <-ctx.Done():
	case <-f.poke:
	case <-rest.C:
	}
}

// step reads once, unless that is left to peers.
func (f *Feed) step(ctx context.Context) error {
	left, err := f.leave(ctx)
	if err != nil || left {
		return err
	}
	if !f.synced {
		return f.sync(ctx)
	}
	batch, err := f.read(ctx)
	if errors.Is(err, platform.ErrTrimmed) {
		f.synced = false
		return f.sync(ctx)
	}
	if err != nil {
		return err
	}
	if batch.End < f.from {
		f.synced = false
	}
	if n := len(batch.Records); n > 0 {
		f.from = batch.Records[n-1].Offset + 1
	}
	f.take(func() []contract.Record { return f.replica.Apply(batch.Records) }, false)
	if f.from >= batch.End || f.holds(batch.End) {
		f.readToEnd()
	}
	return nil
}

// readToEnd records that the store has just been read to the topic's end.
func (f *Feed) readToEnd() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readAt = time.Now()
}

// errEnded tells that Refresh has ended a read: the store neither answered nor failed.
var errEnded = errors.New("feed: read ended for a fresh one")

// read reads on. After a Refresh it does not wait for news, and is not ended by the
// next Refresh: a store that does not answer must come to count as lost.
func (f *Feed) read(ctx context.Context) (platform.Batch, error) {
	reading, end := context.WithCancel(ctx)
	defer end()
	wait := f.opts.MaxWait
	f.mu.Lock()
	f.endRead = end
	if f.refresh {
		wait, f.endRead, f.refresh = 0, nil, false
	}
	// What peers have told is not read again.
	from := max(f.from, f.replica.NewestOffset()+1)
	f.mu.Unlock()
	batch, err := f.store.Read(reading, f.opts.Topic, from, wait)
	if err != nil && reading.Err() != nil && ctx.Err() == nil {
		return platform.Batch{}, errEnded
	}
	return batch, err
}

// sync reads the newest record of each key.
func (f *Feed) sync(ctx context.Context) error {
	batch, err := f.store.Newest(ctx, f.opts.Topic)
	if errors.Is(err, platform.ErrNotFound) {
		batch, err = platform.Batch{}, nil
	}
	if err != nil {
		return err
	}
	f.from, f.synced = batch.End, true
	f.take(func() []contract.Record { return f.replica.Reset(batch.Records, batch.End) }, true)
	f.readToEnd()
	return nil
}

// take changes the replica and tells of the news.
func (f *Feed) take(change func() []contract.Record, whole bool) {
	f.mu.Lock()
	news := Update{Records: change(), Since: f.readAt}
	first := whole && !f.known
	if first {
		f.known = true
		close(f.gotKnown)
	}
	f.mu.Unlock()
	if len(news.Records) > 0 || first {
		f.opts.OnChange(news)
	}
}

func (f *Feed) failed(err error) {
	f.mu.Lock()
	was := f.up || f.upAt.IsZero()
	f.up = false
	if f.upAt.IsZero() {
		f.upAt = time.Now()
	}
	f.mu.Unlock()
	if !was {
		return
	}
	f.opts.Log.WithError(err).WithField("topic", f.opts.Topic).Warn("store lost")
	if f.opts.OnStoreStateChange != nil {
		f.opts.OnStoreStateChange(false)
	}
}

func (f *Feed) succeeded() {
	f.mu.Lock()
	was := f.up
	f.up, f.upAt = true, time.Now()
	f.mu.Unlock()
	if was {
		return
	}
	f.opts.Log.WithField("topic", f.opts.Topic).Info("store answers")
	if f.opts.OnStoreStateChange != nil {
		f.opts.OnStoreStateChange(true)
	}
}

// Up reports whether the last call to the store succeeded.
func (f *Feed) IsStoreUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.up
}

// Known reports whether the whole topic has been read or got from a peer.
func (f *Feed) HasSynced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known
}

// Newest is the offset up to which the topic is held, -1 if it is not.
func (f *Feed) NewestOffset() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.NewestOffset()
}

// Serve answers a peer's pull.
func (f *Feed) RecordsAfter(after int64) contract.Records {
	f.mu.Lock()
	defer f.mu.Unlock()
	return contract.Records{Topic: f.opts.Topic, Records: f.replica.RecordsAfter(after), Known: f.known, Newest: f.replica.NewestOffset()}
}

// Merge takes in what a peer knows beyond an offset that this feed has been at.
func (f *Feed) Merge(records contract.Records) {
	f.take(func() []contract.Record {
		news := f.replica.Apply(records.Records)
		if records.Known {
			f.replica.Advance(records.Newest)
		}
		return news
	}, records.Known)
}
