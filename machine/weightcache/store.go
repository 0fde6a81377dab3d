package weightcache

import (
	"bytes"
	"context"
	"crypto/sha256"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/weights/pieces"
	"mimosastand.example/mimosastand/weights/upgrade"
)

const (
	// digestsKey is the key of the record of the digests. The keys of pieces are their
	// indexes.
	digestsKey = "digests"
	// readWait is how long one read of the topic waits for records. readInterval is the time
	// between two reads, so that one read returns several pieces.
	readWait     = time.Second
	readInterval = 120 * time.Millisecond
	// backfillDelay is how long the first entry in rank leaves for appends in progress
	// before it checks what is missing in the store, and how much longer each further entry
	// does.
	backfillDelay = 1500 * time.Millisecond
	// lateWriteTime is how long after an entry has looked what the store lacks it looks again: a write of
	// other digests that got no answer, also one of an earlier run, may be done seconds later.
	lateWriteTime = 10 * time.Second
	// storeAttempts limits the attempts to append one record, and storeRetryDelay is the
	// time between them.
	storeAttempts   = 8
	storeRetryDelay = 400 * time.Millisecond
)

func (cv *cachedVersion) topic() string { return platform.WeightsTopic(cv.id.Model, cv.id.Number) }

// readStore reads the topic of the version until the version is complete. It closes
// firstRead after the first read, or when it ends.
func (cv *cachedVersion) readStore(ctx context.Context, firstRead chan struct{}) {
	var once sync.Once
	defer once.Do(func() { close(firstRead) })
	for ctx.Err() == nil && !cv.isComplete() {
		if cv.transfer.IsSuperseded() {
			sleep(ctx, retryDelay)
			continue
		}
		_, err := cv.readNext(ctx)
		once.Do(func() { close(firstRead) })
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		sleep(ctx, readInterval)
	}
}

// readNext reads the topic from where the last read ended and returns how many records it
// read. It does not wait for new records while nothing has been read yet, or if the version
// is complete.
func (cv *cachedVersion) readNext(ctx context.Context) (int, error) {
	wait := readWait
	if cv.nextOffset == 0 || cv.isComplete() {
		wait = 0
	}
	batch, err := cv.cache.opts.Store.Read(ctx, cv.topic(), cv.nextOffset, wait)
	if err == nil && batch.Era != cv.readEra && cv.nextOffset > 0 {
		// The offset belongs to an older era of the store.
		cv.nextOffset, cv.readEra = 0, batch.Era
		return cv.readNext(ctx)
	}
	if errors.Is(err, platform.ErrTrimmed) {
		batch, err = cv.cache.opts.Store.ForEachNewestPage(ctx, cv.topic(), cv.applyRecords)
		cv.nextOffset = batch.EndOffset
	}
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, platform.ErrNotFound) {
			cv.log().WithError(err).Warn("read of weights from the store failed")
		}
		return 0, err
	}
	cv.readEra = batch.Era
	cv.applyRecords(batch.Records)
	if n := len(batch.Records); n > 0 {
		cv.nextOffset = contract.PositionOffset(batch.Records[n-1].Offset) + 1
	}
	cv.nextOffset = max(cv.nextOffset, batch.FirstOffset)
	return len(batch.Records), nil
}

// backfillStore appends the records that are missing in the store, once the version is
// complete: pieces may have come from an entry that cannot write to the store, and the append of any
// record may have been given up. The first entries in rank do so one after another, each only for what the
// others have not appended.
//
// It returns the number of pieces that were missing.
func (cv *cachedVersion) backfillStore(ctx context.Context) (missingCount int) {
	rank := cv.cache.rankOf(cv.id)
	if rank >= upgrade.MaxDownloaders || cv.currentSet().Bytes() > MaxStoredBytes {
		return 0
	}
	cv.backfillMu.Lock()
	defer cv.backfillMu.Unlock()
	sleep(ctx, backfillDelay+time.Duration(rank)*backfillDelay)
	cv.readToEnd(ctx)
	if ctx.Err() != nil {
		return 0
	}
	set := cv.currentSet()
	missing := cv.missingInStore()
	if len(missing) > 0 || !equalDigests(cv.currentStoredDigests(), set.Digests()) {
		cv.log().WithField("pieces", len(missing)).Info("records of weights missing in the store")
		cv.enqueueRecord(digestsKey, bytes.Join(set.Digests(), nil))
	}
	for _, i := range missing {
		cv.enqueueRecord(strconv.Itoa(i), set.Get(i))
	}
	return len(missing)
}

// readToEnd reads the topic to its end, or until ctx ends. A topic that does not exist has ended.
func (cv *cachedVersion) readToEnd(ctx context.Context) {
	for ctx.Err() == nil {
		n, err := cv.readNext(ctx)
		switch {
		case errors.Is(err, platform.ErrNotFound), err == nil && n == 0:
			return
		case err != nil:
			sleep(ctx, backfillDelay)
		}
	}
}

// rewriteLost appends the records of a complete version that the store lost when it came
// back from an older copy in an era. It returns the number of pieces.
func (cv *cachedVersion) rewriteLost(ctx context.Context, era int64) int {
	if !cv.isComplete() || cv.cache.rankOf(cv.id) >= upgrade.MaxDownloaders {
		return 0
	}
	end, err := cv.cache.opts.Store.EndOffset(ctx, cv.topic())
	for err != nil && !errors.Is(err, platform.ErrNotFound) && ctx.Err() == nil {
		sleep(ctx, storeRetryDelay)
		end, err = cv.cache.opts.Store.EndOffset(ctx, cv.topic())
	}
	if ctx.Err() != nil || end.EndOffset >= cv.knownEnd() {
		return 0
	}
	cv.enterEra(era)
	return cv.backfillStore(ctx)
}

// knownEnd returns the least offset at which the topic of a complete version ended in the
// last era of the store: after all pieces and the digests, and after all that this entry
// appended.
func (cv *cachedVersion) knownEnd() int64 {
	cv.mu.Lock()
	defer cv.mu.Unlock()
	return max(cv.appendedEnd, int64(len(cv.stored))+1)
}

// enterEra forgets what the store held in an older era.
func (cv *cachedVersion) enterEra(era int64) {
	cv.mu.Lock()
	defer cv.mu.Unlock()
	if era <= cv.storedEra {
		return
	}
	cv.storedEra, cv.appendedEnd = era, 0
	clear(cv.stored)
}

// missingInStore returns the indexes of the pieces that are not known to be in the store.
func (cv *cachedVersion) missingInStore() []int {
	cv.mu.Lock()
	defer cv.mu.Unlock()
	var list []int
	for i, stored := range cv.stored {
		if !stored {
			list = append(list, i)
		}
	}
	return list
}

// applyRecords verifies records of the topic and adds their pieces, with those that were read before
// the digests were known.
func (cv *cachedVersion) applyRecords(records []contract.Record) {
	for _, r := range records {
		if r.Key != digestsKey {
			continue
		}
		digests := splitDigests(r.Value)
		if _, err := cv.initSet(digests); err != nil {
			cv.log().WithError(err).Warn("digests refused")
			continue
		}
		cv.setStoredDigests(digests)
	}
	set := cv.currentSet()
	if set == nil {
		cv.holdUnverified(records)
		return
	}
	cv.addPieces(set, cv.takeUnverified())
	cv.addPieces(set, records)
}

func (cv *cachedVersion) setStoredDigests(digests [][]byte) {
	cv.mu.Lock()
	defer cv.mu.Unlock()
	cv.storedDigests = digests
}

func (cv *cachedVersion) currentStoredDigests() [][]byte {
	cv.mu.Lock()
	defer cv.mu.Unlock()
	return cv.storedDigests
}

// holdUnverified holds the newest record of each piece that cannot be verified until the digests are
// known: among the newest records of a topic the digests come last. What exceeds MaxStoredBytes is
// dropped.
func (cv *cachedVersion) holdUnverified(records []contract.Record) {
	cv.mu.Lock()
	defer cv.mu.Unlock()
	if cv.unverified == nil {
		cv.unverified = map[string]contract.Record{}
	}
	for _, r := range records {
		added := len(r.Value) - len(cv.unverified[r.Key].Value)
		if cv.unverifiedBytes+added > MaxStoredBytes {
			cv.log().WithField("key", r.Key).Warn("piece from the store dropped: too much is held without digests")
			return
		}
		cv.unverified[r.Key] = r
		cv.unverifiedBytes += added
	}
}

// takeUnverified returns the pieces that are held without digests, and holds them no longer.
func (cv *cachedVersion) takeUnverified() []contract.Record {
	cv.mu.Lock()
	defer cv.mu.Unlock()
	records := slices.Collect(maps.Values(cv.unverified))
	cv.unverified, cv.unverifiedBytes = nil, 0
	return records
}

// addPieces verifies records of pieces and adds the pieces to the set.
func (cv *cachedVersion) addPieces(set *pieces.Set, records []contract.Record) {
	digests := cv.currentStoredDigests()
	for _, r := range records {
		i, err := strconv.Atoi(r.Key)
		if err != nil {
			continue
		}
		if _, err := set.AddFrom(digests, i, r.Value); err != nil {
			cv.log().WithError(err).Warn("piece from the store failed verification")
			continue
		}
		cv.markStored(i, r.Offset)
	}
}

// markStored records that the store has a piece at a position, unless that is of an older
// era than is known.
func (cv *cachedVersion) markStored(i int, position int64) {
	cv.enterEra(contract.PositionEra(position))
	cv.mu.Lock()
	defer cv.mu.Unlock()
	if contract.PositionEra(position) < cv.storedEra {
		return
	}
	cv.stored[i] = true
	cv.appendedEnd = max(cv.appendedEnd, contract.PositionOffset(position)+1)
}

func (cv *cachedVersion) isStored(i int) bool {
	cv.mu.Lock()
	defer cv.mu.Unlock()
	return cv.stored[i]
}

// splitDigests splits a record of concatenated digests. The last one is shorter if the record is cut off.
func splitDigests(data []byte) [][]byte { return slices.Collect(slices.Chunk(data, sha256.Size)) }

// enqueueRecord queues a record to be appended to the version's topic in the background: a
// slow or unavailable store must not delay the download.
func (cv *cachedVersion) enqueueRecord(key string, value []byte) {
	cv.pendingMu.Lock()
	cv.pending = append(cv.pending, contract.Record{Key: key, Value: value})
	idle := len(cv.pending) == 1
	cv.pendingMu.Unlock()
	if idle {
		go cv.storePending(cv.ctx)
	}
}

// storePending appends the pending records in order until none is left.
func (cv *cachedVersion) storePending(ctx context.Context) {
	for ctx.Err() == nil {
		cv.pendingMu.Lock()
		next := cv.pending[0]
		cv.pendingMu.Unlock()
		cv.storeRecord(ctx, next)
		if !cv.removePending() {
			return
		}
	}
}

// removePending removes the first pending record and reports whether there are more. If there are none, enqueueRecord
// starts storePending again: the one that got this answer must look at the queue no more.
func (cv *cachedVersion) removePending() (hasMore bool) {
	cv.pendingMu.Lock()
	defer cv.pendingMu.Unlock()
	cv.pending = cv.pending[1:]
	return len(cv.pending) > 0
}

// storeRecord appends one record, with a limited number of attempts. After a failure other
// zones have to get the piece another way.
func (cv *cachedVersion) storeRecord(ctx context.Context, r contract.Record) {
	for attempt := 1; ctx.Err() == nil; attempt++ {
		position, err := cv.cache.opts.Store.Put(ctx, cv.topic(), r.Key, r.Value)
		if err == nil {
			if i, err := strconv.Atoi(r.Key); err == nil {
				cv.markStored(i, position)
			}
			return
		}
		if attempt == storeAttempts {
			cv.log().WithError(err).WithField("key", r.Key).Warn("record of weights not appended to the store")
			return
		}
		sleep(ctx, storeRetryDelay)
	}
}
