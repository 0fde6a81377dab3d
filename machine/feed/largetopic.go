package feed

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/platform"
)

// startCheckInterval is the interval at which a feed that leaves a large topic to peers at first
// checks whether they have sent it.
const startCheckInterval = 50 * time.Millisecond

// AvoidedCopy is why a feed does not read large records from the store.
type AvoidedCopy string

// The reasons: a topic that is not held is left to peers, records that are superseded are skipped,
// a peer has sent the records while they were read, or before the store was first asked.
const (
	LeftToPeers    AvoidedCopy = "left_to_peers"
	Superseded     AvoidedCopy = "superseded"
	SentMeanwhile  AvoidedCopy = "sent_meanwhile"
	SentBeforeRead AvoidedCopy = "sent_before_read"
)

// reportAvoided logs and reports that a copy is avoided. records is the number of records that
// are not read; 0 if it is not known.
func (f *Feed) reportAvoided(reason AvoidedCopy, records int64) {
	f.opts.Log.WithField("topic", f.opts.Topic).WithField("reason", string(reason)).WithField("records", records).Info("large records not read")
	if f.opts.OnCopyAvoided != nil {
		f.opts.OnCopyAvoided(reason)
	}
}

// HeldBytes returns the size of the records that are held.
func (f *Feed) HeldBytes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.size()
}

// size returns the size of the values of all records.
func (r *Replica) size() (bytes int) {
	for _, record := range r.records {
		bytes += len(record.Value)
	}
	return bytes
}

func sizeOf(records []contract.Record) (bytes int) {
	for _, record := range records {
		bytes += len(record.Value)
	}
	return bytes
}

// isLarge reports whether records of a size are large.
func (f *Feed) isLarge(bytes int) bool { return f.opts.LargeBytes > 0 && bytes >= f.opts.LargeBytes }

// readFirst reads the topic for the first time. A large one that is not held is left to peers
// until StartDelay has passed: when 26 of 44 entries had lost power, each of them read a manifest
// of 1,930 routes over the links between regions, and none had it within 2.4 s. Of a large one
// that peers have sent, only the records that follow are read.
func (f *Feed) readFirst(ctx context.Context) error {
	if f.HasSynced() {
		f.isLeftToPeers = false
		if !f.answeredBefore() && f.isLarge(f.HeldBytes()) {
			return f.continueFromPeers(ctx)
		}
		return f.readSnapshot(ctx)
	}
	if f.opts.LargeBytes <= 0 || f.opts.StartDelay == nil || time.Since(f.startedAt) >= f.opts.StartDelay() {
		f.isLeftToPeers = false
		return f.readTransfer(ctx, 0)
	}
	if f.isLeftToPeers {
		return nil
	}
	if f.opts.MayProbe != nil && !f.opts.MayProbe() {
		f.leaveToPeers()
		return nil
	}
	err := f.readSnapshotUpTo(ctx, f.opts.LargeBytes)
	if errors.Is(err, platform.ErrTooLarge) {
		f.leaveToPeers()
		return nil
	}
	return err
}

// leaveToPeers records that the topic is left to peers until StartDelay has passed.
func (f *Feed) leaveToPeers() {
	f.isLeftToPeers = true
	f.reportAvoided(LeftToPeers, 0)
}

// answeredBefore reports whether the store has told this feed before where the topic ends.
func (f *Feed) answeredBefore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.caughtUpAt.IsZero()
}

// continueFromPeers makes the next read begin behind what peers have sent, if they have read the
// topic in the store's era. Otherwise the topic is read anew.
func (f *Feed) continueFromPeers(ctx context.Context) error {
	end, err := f.endOffset(ctx)
	if err != nil {
		return err
	}
	switch {
	case f.holdsUpTo(*end):
		f.skipTo(*end)
		f.markCaughtUp()
	case end.Era == f.replicaEra():
		f.from, f.fromEra, f.fromValid = contract.PositionOffset(f.NewestOffset())+1, end.Era, true
	default:
		return f.readSnapshot(ctx)
	}
	f.reportAvoided(SentBeforeRead, 0)
	return nil
}

// isNextSuperseded reads the newest records if the store has several that follow those held, which
// may be large: a read from the next offset returns each version of a manifest that was
// written meanwhile. end is where the topic ends; nil if the store has not been asked.
func (f *Feed) isNextSuperseded(ctx context.Context, end *platform.Batch) (bool, error) {
	if !f.askEndFirst && (end == nil || !f.isLarge(f.HeldBytes())) {
		return false, nil
	}
	if end == nil {
		var err error
		if end, err = f.endOffset(ctx); err != nil {
			return false, err
		}
	}
	f.mu.Lock()
	missing := contract.NewPosition(end.Era, end.EndOffset) - f.nextPosition()
	f.mu.Unlock()
	if end.Era != f.fromEra || missing <= 1 {
		return false, nil
	}
	f.reportAvoided(Superseded, missing-1)
	return true, f.readTransfer(ctx, contract.NewPosition(end.Era, end.EndOffset)-1)
}

// readTransfer reads a snapshot, which Merge cancels once peers have sent the topic up to a
// position.
func (f *Feed) readTransfer(ctx context.Context, until int64) error {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.cancelTransfer, f.transferUntil = cancel, until
	f.mu.Unlock()
	defer f.endTransfer()
	err := f.readSnapshot(readCtx)
	if err != nil && readCtx.Err() != nil && ctx.Err() == nil {
		return errReadCanceled
	}
	return err
}

// endTransfer records that no read is in progress that peers can make needless.
func (f *Feed) endTransfer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelTransfer = nil
}

// cancelNeedlessTransfer cancels the read in progress if the topic is large and peers have sent
// what it was to return.
func (f *Feed) cancelNeedlessTransfer() {
	f.mu.Lock()
	isNeedless := f.cancelTransfer != nil && f.hasSynced && f.replica.NewestOffset() >= f.transferUntil && f.isLarge(f.replica.size())
	if isNeedless {
		f.cancelTransfer()
		f.cancelTransfer = nil
	}
	f.mu.Unlock()
	if isNeedless {
		f.reportAvoided(SentMeanwhile, 1)
	}
}
