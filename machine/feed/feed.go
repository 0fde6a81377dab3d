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

// minBackoff is the base delay after a failed call to the store; it doubles with each
// further failure, up to maxBackoff.
const (
	minBackoff = 60 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// defaultTriggerDelay is the shortest delay to which TriggerRead can cut the delay
	// before the next read, however often it is called.
	defaultTriggerDelay = 150 * time.Millisecond
	// recheckWait is how long a read waits after new records if Options.MinWait is set.
	recheckWait = 150 * time.Millisecond
)

// Options defines how a Feed follows its topic.
type Options struct {
	Topic string
	// MaxWait bounds how long one read waits at the store for a new record. ReadInterval
	// returns the delay until the next read, which TriggerRead shortens; nil means none.
	MaxWait      time.Duration
	ReadInterval func() time.Duration
	// MinWait, if not 0, makes each read wait for another time between MinWait and MaxWait, and only briefly after
	// new records: an answer without records dates the records that follow (Update.CaughtUpAt), and reads
	// that wait end together at many processes when a record is written.
	MinWait time.Duration
	// TakeoverAge returns how old the store's last confirmation of the topic's end must be,
	// whichever process received it, for the feed to call the store itself. With 0 or a nil
	// function the feed calls it whatever peers report. TriggerRead and Refresh override it.
	TakeoverAge func() time.Duration
	// TriggerDelay is the shortest delay to which TriggerRead can cut the delay before the
	// next read; 0 means defaultTriggerDelay.
	TriggerDelay time.Duration
	// PeerGracePeriod returns about how long the feed gives peers to send records that
	// the store holds before it reads them from the store: a record may be large, and
	// many processes would read it over the same link. Meanwhile the feed requests only
	// the topic's end offset from the store. A feed that starts precedes this by one such
	// period without any call, which ends early if a peer sends the complete topic. With
	// 0 or a nil function the feed reads at once.
	PeerGracePeriod func() time.Duration
	// LargeBytes is the size of the topic's records from which on the feed avoids copies that
	// it does not need: it skips superseded records, ends a read of what peers have sent
	// meanwhile, and leaves the topic to peers at first. With 0 no topic is large.
	LargeBytes int
	// StartDelay returns how long after the start of the feed a large topic that it does not
	// hold is left to peers. It is called repeatedly, since it may depend on the members.
	// With a nil function the feed reads at once.
	StartDelay func() time.Duration
	// MayProbe reports whether the feed may read the beginning of a topic of unknown size before
	// StartDelay has passed; nil means that it may. The store sends more of a large topic than the
	// feed takes, so many processes must not do so at the same time.
	MayProbe func() bool
	// OnCopyAvoided is called for each copy of large records that the feed avoids; it may be nil.
	OnCopyAvoided func(AvoidedCopy)
	// OnChange is called with the records that have changed, in their order, and when the complete topic
	// is held for the first time even if it has no records. It must not call Merge.
	OnChange func(Update)
	// RewriteTimeout is how long a record that the store lost, when it came back from an
	// older copy, is held for its writer to write it again. Then the store's state counts.
	RewriteTimeout time.Duration
	// MaxAnswerGap is the longest time between two confirmations by the store that does not end
	// a run of answers (Update.Answers).
	MaxAnswerGap time.Duration
	// Compare orders two values of a key by their contents; it may be nil. Without an order
	// it follows from offsets which record is the newer one after the store came back from
	// an older copy, and that is not always certain.
	Compare CompareFunc
	// OnStoreStateChange is called with the outcome of the first call to the store and
	// whenever the outcome changes; it may be nil.
	OnStoreStateChange func(StoreState)
	Log                log.Interface
}

// Update holds records that a feed did not hold before.
type Update struct {
	Records []contract.Record
	// CaughtUpAt is a time at which the feed held the topic up to the end offset reported by the
	// store: the records were written later. It is zero if the feed has not caught up
	// with the store before, so the records may have been written at any time. CaughtUpBootAt is the same
	// by boottime.Time, which goes on while the machine is suspended.
	CaughtUpAt, CaughtUpBootAt time.Time
	// Answers is the run of answers of the store that lasted until the records changed.
	Answers contract.StoreAnswers
}

// Feed follows one topic. It is safe for concurrent use.
type Feed struct {
	store *platform.Store
	opts  Options

	// handOn is held while records are applied and handed on, so that OnChange gets them in the order in
	// which they were applied: those of the store and of peers arrive in different goroutines.
	handOn sync.Mutex

	mu      sync.Mutex
	replica *Replica
	// hasSynced is set, and firstSync closed, once the complete topic has been read from
	// the store or received from a peer in this run.
	hasSynced bool
	firstSync chan struct{}
	// caughtUpAt is when the feed last held the topic up to the end offset reported by
	// the store, and caughtUpBootAt the same by boottime.Time; zero if it never has.
	caughtUpAt, caughtUpBootAt time.Time
	// storeUp is the outcome of the last call to the store; storeStateAt is zero until a
	// first call has ended. storeAwayAt is when the last call began that failed; zero if none did.
	storeUp      bool
	storeStateAt time.Time
	storeAwayAt  time.Time
	// answeredCallBegan is when the last call began that the store has answered.
	answeredCallBegan time.Time
	// cancelRead cancels the read in progress. It is nil before the first read and while
	// a read must not be canceled. refreshPending means that the next read does not wait
	// for records.
	cancelRead     context.CancelFunc
	refreshPending bool
	// confirmedAt is when the store last confirmed, to this process or to a peer, that the
	// topic ends where this feed holds it; zero if never. answersSince is when the run of
	// confirmations began that confirmedAt belongs to.
	confirmedAt  time.Time
	answersSince time.Time
	// confirmation identifies the confirmation of confirmedAt, own the last one that the store gave
	// this process, and heard holds the number of the last one of each process that was heard of.
	confirmation contract.Confirmation
	own          contract.Confirmation
	heard        map[uint32]uint32
	// cancelTransfer cancels the read in progress, whose records are needless once the topic is
	// held up to the position transferUntil. It is nil if there is no such read.
	cancelTransfer context.CancelFunc
	transferUntil  int64
	// readRequested means that the next read does not depend on what peers confirm.
	readRequested bool

	trigger chan struct{}

	// lostAt is when records were last found to be lost by the store.
	lostAt time.Time

	// lastCall is the last call to the store. Only Run uses it.
	lastCall storeCall
	// from is the offset of the next read, in the era fromEra of the store, if fromValid is
	// set; otherwise the feed reads a snapshot. graceEndsAt is when the feed reads the records
	// that peers have not sent; zero if no record is missing. Only Run uses these fields.
	from        int64
	fromEra     int64
	fromValid   bool
	graceEndsAt time.Time
	// startedAt is when Run began. isLeftToPeers is set while a large topic that is not held is
	// left to peers, and askEndFirst if several large records may follow those held: the last
	// read returned at least LargeBytes, or failed. Only Run uses these fields.
	startedAt     time.Time
	isLeftToPeers bool
	askEndFirst   bool
}

// New returns a Feed that follows its topic while Run is running.
func New(store *platform.Store, opts Options) *Feed {
	if opts.TriggerDelay <= 0 {
		opts.TriggerDelay = defaultTriggerDelay
	}
	return &Feed{
		store: store, opts: opts, replica: NewReplica(opts.Compare), firstSync: make(chan struct{}), trigger: make(chan struct{}, 1),
		own: contract.Confirmation{Reader: rand.Uint32()}, heard: map[uint32]uint32{},
	}
}

// SetPeerGracePeriod sets Options.PeerGracePeriod. It must be called before Run.
func (f *Feed) SetPeerGracePeriod(period func() time.Duration) { f.opts.PeerGracePeriod = period }

// poll reads the topic once, unless peers have sent the records or may still do so.
func (f *Feed) poll(ctx context.Context) error {
	if f.endLoss() {
		return f.readSnapshot(ctx)
	}
	end, skip, err := f.canSkipRead(ctx)
	if err != nil || skip {
		return err
	}
	if !f.fromValid {
		return f.readFirst(ctx)
	}
	if isSuperseded, err := f.isNextSuperseded(ctx, end); err != nil || isSuperseded {
		return err
	}
	batch, err := f.read(ctx)
	if errors.Is(err, platform.ErrTrimmed) || err == nil && batch.Era != f.fromEra {
		f.fromValid = false
		return f.readSnapshot(ctx)
	}
	if err != nil {
		f.askEndFirst = f.isLarge(f.HeldBytes())
		return err
	}
	if batch.EndOffset < f.from {
		f.fromValid = false
	}
	f.lastCall.hasRecords = len(batch.Records) > 0
	if n := len(batch.Records); n > 0 {
		f.from = contract.PositionOffset(batch.Records[n-1].Offset) + 1
	}
	f.askEndFirst = f.isLarge(sizeOf(batch.Records))
	f.applyChange(func() []contract.Record { return f.replica.Apply(batch.Records) }, false)
	if f.from >= batch.EndOffset || f.holdsUpTo(batch) {
		f.markCaughtUp()
	}
	return nil
}

// endLoss reports whether records that the store lost were not written again in time. The
// snapshot that is read next then replaces them.
func (f *Feed) endLoss() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replica.LostCount() == 0 || time.Since(f.lostAt) < f.opts.RewriteTimeout {
		return false
	}
	f.opts.Log.WithField("topic", f.opts.Topic).WithField("records", f.replica.LostCount()).Warn("lost records were not written again")
	f.replica.ForgetLost()
	return true
}

// errReadCanceled means that Refresh has canceled a read, or Merge one whose records a peer has
// sent: the store neither answered nor failed.
var errReadCanceled = errors.New("feed: read canceled by a refresh or by records of a peer")

// read reads the records that follow those held. The first read after a Refresh does not
// wait for records, and a further Refresh does not cancel it: otherwise a store that does
// not answer would never be reported as lost.
func (f *Feed) read(ctx context.Context) (platform.Batch, error) {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := f.nextWait()
	f.mu.Lock()
	f.cancelRead = cancel
	if f.refreshPending {
		wait, f.cancelRead, f.refreshPending = 0, nil, false
	}
	next := f.nextPosition()
	f.cancelTransfer, f.transferUntil = cancel, next
	f.mu.Unlock()
	defer f.endTransfer()
	f.lastCall = beginCall()
	f.lastCall.wait = wait
	batch, err := f.store.Read(readCtx, f.opts.Topic, contract.PositionOffset(next), wait)
	if err != nil && readCtx.Err() != nil && ctx.Err() == nil {
		return platform.Batch{}, errReadCanceled
	}
	return batch, err
}

// nextPosition returns the position from which the next read continues. Records received from
// peers are not read again. f.mu must be held.
func (f *Feed) nextPosition() int64 {
	return max(contract.NewPosition(f.fromEra, f.from), f.replica.NewestOffset()+1)
}

// readSnapshot reads the newest record of each key, and sets the offset from which later
// reads continue.
func (f *Feed) readSnapshot(ctx context.Context) error { return f.readSnapshotUpTo(ctx, 0) }

// readSnapshotUpTo is readSnapshot for a topic of up to maxBytes; 0 for any size. It fails with
// platform.ErrTooLarge for another one.
func (f *Feed) readSnapshotUpTo(ctx context.Context, maxBytes int) error {
	f.lastCall = beginCall()
	batch, err := f.store.NewestUpTo(ctx, f.opts.Topic, maxBytes)
	if errors.Is(err, platform.ErrNotFound) {
		batch, err = platform.Batch{Era: f.store.Era()}, nil
	}
	if err != nil {
		return err
	}
	f.from, f.fromEra, f.fromValid = batch.EndOffset, batch.Era, true
	f.askEndFirst = f.isLarge(sizeOf(batch.Records))
	f.reset(batch.Records, batch.Era, contract.NewPosition(batch.Era, batch.EndOffset))
	f.markCaughtUp()
	return nil
}

// reset applies a snapshot of the complete topic, and reports what the store has lost if
// the snapshot is of a newer era.
func (f *Feed) reset(records []contract.Record, era, end int64) {
	lost, isNewEra := 0, false
	f.applyChange(func() []contract.Record {
		isNewEra = f.hasSynced && era > f.replica.Era()
		changed := f.replica.Reset(records, era, end)
		if lost = f.replica.LostCount(); isNewEra && lost > 0 {
			f.lostAt = time.Now()
		}
		return changed
	}, true)
	if isNewEra {
		f.opts.Log.WithField("topic", f.opts.Topic).WithField("era", era).WithField("records", lost).Warn("topic read in a new era of the store")
	}
}

// Era returns the era of the store in which the topic is held.
func (f *Feed) Era() int64 { return f.replicaEra() }

// Stored returns the record of a key that the store has, as far as this feed knows.
func (f *Feed) Stored(key string) (contract.Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Stored(key)
}

// Newest returns the newest record of a key that this feed holds, which may be a tombstone.
func (f *Feed) Newest(key string) (contract.Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Newest(key)
}

// applyChange applies a change to the replica and passes the changed records to OnChange.
// complete means that the change makes the replica hold the complete topic.
func (f *Feed) applyChange(change func() []contract.Record, complete bool) {
	f.handOn.Lock()
	defer f.handOn.Unlock()
	f.mu.Lock()
	update := Update{
		Records:        change(),
		CaughtUpAt:     f.caughtUpAt,
		CaughtUpBootAt: f.caughtUpBootAt,
		Answers:        f.answers(),
	}
	isFirstSync := complete && !f.hasSynced
	if isFirstSync {
		f.hasSynced = true
		close(f.firstSync)
	}
	f.mu.Unlock()
	if len(update.Records) > 0 || isFirstSync {
		f.opts.OnChange(update)
	}
}

// Answers returns the present run of answers of the store.
func (f *Feed) Answers() contract.StoreAnswers {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answers()
}

// answers is Answers with f.mu held.
func (f *Feed) answers() contract.StoreAnswers {
	return contract.StoreAnswers{Since: f.answersSince, Last: f.confirmedAt}
}

// HasSynced reports whether the complete topic has been read from the store or received
// from a peer.
func (f *Feed) HasSynced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasSynced
}

// NewestOffset returns the position up to which the topic is held, or -1 if it is not held.
func (f *Feed) NewestOffset() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.NewestOffset()
}
