package weightcache

import (
	"bytes"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/machine/peers"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/weights/pieces"
	"mimosastand.example/mimosastand/weights/upgrade"
)

const (
	// downloadWorkers is how many pieces one entry downloads at once.
	downloadWorkers = 3
	// originFailureDelay is how long the origin must have been unreachable before another
	// entry is requested to download: a refused connection may be accepted a moment later.
	originFailureDelay = 900 * time.Millisecond
	// requestedDownloadTimeout is how long an entry that was requested to download may
	// take.
	requestedDownloadTimeout = 2500 * time.Millisecond
	// downloadPollInterval is the time between two decisions whether to download.
	downloadPollInterval = 50 * time.Millisecond
	// firstPeersTimeout is how long an entry asks others for the pieces that they hold before it
	// downloads: one that is gone or on a saturated link must not delay it longer.
	firstPeersTimeout = 400 * time.Millisecond
	// maxMismatches is how often a downloaded piece may fail verification in a row until the digests
	// are downloaded again: a piece may be corrupt several times.
	maxMismatches = 4
	// MaxStoredBytes is the size of the largest version that is kept in the store.
	MaxStoredBytes = 32 << 20
)

// fetchMissing gets the missing pieces from entries that hold them, until the version is complete. It
// closes firstRound after it has asked some, or after firstPeersTimeout.
func (cv *cachedVersion) fetchMissing(ctx context.Context, firstRound chan struct{}) {
	var once sync.Once
	end := func() { once.Do(func() { close(firstRound) }) }
	defer end()
	defer time.AfterFunc(firstPeersTimeout, end).Stop()
	for ctx.Err() == nil && !cv.isComplete() {
		if !cv.transfer.IsSuperseded() {
			cv.fetchHeldFromPeers(ctx)
		}
		end()
		sleep(ctx, retryDelay)
	}
}

// downloadWhenAllowed downloads missing pieces whenever this entry may, until the version is
// complete. It goes on beside all other ways to get the pieces: an entry that waits for a peer must
// notice at once that the origin is back, or that those before it in rank are gone. Until ready is
// closed, the other ways have stallTimeout to bring a piece. While the origin is unreachable it tries
// again every retryDelay, and meanwhile requests other entries to download.
func (cv *cachedVersion) downloadWhenAllowed(ctx context.Context, ready <-chan struct{}) {
	var requests sync.WaitGroup
	defer requests.Wait()
	requested := 0
	idle := make(chan struct{}, 1)
	idle <- struct{}{}
	var failingSince time.Time
	progress := newProgress(cv.pieceCount())
	for ctx.Err() == nil && !cv.isComplete() {
		if cv.transfer.IsWaiting() && !cv.isDownloadRequested() {
			// The time for which the version waits does not count.
			progress.resumeAfter(time.Now())
			sleep(ctx, downloadPollInterval)
			continue
		}
		progress.resumeAfter(cv.cache.opts.Origin.knownUntil())
		stalled := progress.stalledFor(cv.pieceCount())
		isReady := isClosed(ready)
		if !isReady {
			stalled = max(stalled-stallTimeout, 0)
		}
		state := cv.downloadState(stalled)
		if !cv.mayDownload(state) || !isReady && stalled == 0 && !cv.isDownloadRequested() {
			sleep(ctx, downloadPollInterval)
			continue
		}
		start := time.Now()
		cv.isFront.Store(mayRequestDownload(state.Rank))
		isDone, isInterrupted := cv.downloadUnlessDeferred(ctx, state.Rank)
		if isDone || isInterrupted {
			failingSince = time.Time{}
			continue
		}
		cv.endRequestedDownload(start)
		if failingSince.IsZero() {
			failingSince = start
		}
		if mayRequestDownload(state.Rank) && time.Since(failingSince) >= originFailureDelay {
			select {
			case <-idle:
				number := requested
				requested++
				requests.Go(func() {
					cv.requestDownload(ctx, number)
					idle <- struct{}{}
				})
			default:
			}
		}
		sleep(ctx, retryDelay)
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// mayRequestDownload reports whether an entry may request another one to download. Only
// entries that download by their own rank may: if requested entries requested others in
// turn, the whole fleet would download at once when the origin recovers from an outage.
func mayRequestDownload(rank int) bool { return rank < upgrade.MaxDownloaders }

// downloadState returns what decides whether this entry may download, after it got no piece for the
// time stalled.
func (cv *cachedVersion) downloadState(stalled time.Duration) upgrade.DownloadState {
	c := cv.cache
	ranked := c.rankedEntries(cv.id)
	place := slices.IndexFunc(ranked, func(m peers.Member) bool { return m.Machine == c.opts.Self })
	return upgrade.DownloadState{Rank: c.rankOf(cv.id), Place: max(place, 0), Entries: len(ranked), Stalled: stalled}
}

// mayDownload reports whether this entry may download now: by its place in the order, or because it
// was recently requested to.
func (cv *cachedVersion) mayDownload(state upgrade.DownloadState) bool {
	return state.MayDownload() || cv.isDownloadRequested()
}

// isDownloadRequested reports whether another entry recently requested this one to download. That
// entry has decided that it needs the version, and cannot reach the origin.
func (cv *cachedVersion) isDownloadRequested() bool {
	cv.mu.Lock()
	defer cv.mu.Unlock()
	return time.Since(cv.downloadRequestedAt) < requestedDownloadTimeout
}

// downloadUnlessDeferred downloads as download does, and stops when another version goes first, unless
// the download was requested. It reports whether the origin answered every request, and whether it was
// interrupted.
func (cv *cachedVersion) downloadUnlessDeferred(ctx context.Context, rank int) (isDone, isInterrupted bool) {
	if cv.isDownloadRequested() {
		return cv.download(ctx, rank, nil), false
	}
	transferCtx, cancel := cv.transfer.Context(ctx)
	defer cancel()
	isDone = cv.download(ctx, rank, transferCtx.Done())
	return isDone, ctx.Err() == nil && transferCtx.Err() != nil
}

// endRequestedDownload ends the permission that a request before the given time gave, after the
// origin did not answer this entry either: otherwise requested entries would download beside the
// first in rank when the origin returns.
func (cv *cachedVersion) endRequestedDownload(start time.Time) {
	cv.mu.Lock()
	defer cv.mu.Unlock()
	if cv.downloadRequestedAt.Before(start) {
		cv.downloadRequestedAt = time.Time{}
	}
}

// progress tells for how long the number of pieces has not changed.
type progress struct {
	count int
	since time.Time
}

func newProgress(count int) *progress { return &progress{count: count, since: time.Now()} }

// stalledFor returns for how long the number of pieces, which is count now, has been the same.
func (p *progress) stalledFor(count int) time.Duration {
	if count != p.count {
		p.count, p.since = count, time.Now()
	}
	return max(time.Since(p.since), 0)
}

// resumeAfter counts the time without a piece from at, if that is later: until then it was known
// why no piece arrives.
func (p *progress) resumeAfter(at time.Time) {
	if at.After(p.since) {
		p.since = at
	}
}

// triggerDownload handles a request by another entry to download at once.
func (cv *cachedVersion) triggerDownload() {
	cv.mu.Lock()
	cv.downloadRequestedAt = time.Now()
	cv.mu.Unlock()
	cv.endWait()
}

// requestDownload requests another entry to download the pieces, because this one cannot
// reach the origin, and receives them. requests is the number of earlier requests: each one
// goes to the next of the candidates.
func (cv *cachedVersion) requestDownload(ctx context.Context, requests int) {
	c := cv.cache
	entries := cv.downloadCandidates()
	if len(entries) == 0 || cv.isComplete() {
		return
	}
	peer := entries[requests%len(entries)]
	ctx, cancel := context.WithTimeout(ctx, requestedDownloadTimeout)
	defer cancel()
	got, err := Fetch(ctx, c.opts.Peers, peer, cv.id, FetchFromOrigin, cv.currentSet, cv.initSet)
	cv.log().WithField("peer", string(peer)).WithField("pieces", got).WithField("failed", err != nil).Info("download requested from another entry")
}

// download gets the missing pieces from the origin and stores them. Entries that download
// at the same time start at different pieces and read from the store what the others have
// downloaded. Once stop is closed it ends after the pieces that are on their way: these would have to
// come over the origin's link again. It reports whether the origin answered every request.
func (cv *cachedVersion) download(ctx context.Context, rank int, stop <-chan struct{}) bool {
	client := cv.cache.originClient()
	if client == nil {
		return false
	}
	set := cv.currentSet()
	if set == nil {
		if set = cv.downloadDigests(ctx, client); set == nil {
			return false
		}
	}
	roundCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	missing := make(chan int)
	var wg sync.WaitGroup
	for range downloadWorkers {
		wg.Go(func() {
			for i := range missing {
				err := cv.downloadPiece(roundCtx, client, set, i)
				switch {
				case errors.Is(err, pieces.ErrDigestMismatch):
					cv.correctDigests(roundCtx, client, set)
				case err != nil:
					cancel()
				}
			}
		})
	}
feed:
	for _, i := range upgrade.DownloadOrder(set.Missing(), rank) {
		if set.Get(i) != nil {
			continue
		}
		select {
		case missing <- i:
		case <-stop:
			break feed
		}
	}
	close(missing)
	wg.Wait()
	return roundCtx.Err() == nil
}

// downloadDigests downloads the digests until two consecutive replies agree, because a
// reply may be corrupt, and stores them. It returns nil if the origin does not answer.
func (cv *cachedVersion) downloadDigests(ctx context.Context, client *platform.OriginClient) *pieces.Set {
	digests := cv.requestDigests(ctx, client, func() bool { return cv.currentSet() != nil })
	if digests == nil {
		return cv.currentSet()
	}
	set, err := cv.initSet(digests)
	if err != nil {
		cv.log().WithError(err).Warn("digests refused")
		return nil
	}
	cv.enqueueRecord(digestsKey, bytes.Join(digests, nil))
	return set
}

// requestDigests requests the digests until two consecutive replies agree. It returns nil if the origin
// does not answer, or if isObsolete reports true before.
func (cv *cachedVersion) requestDigests(ctx context.Context, client *platform.OriginClient, isObsolete func() bool) [][]byte {
	var previous [][]byte
	for ctx.Err() == nil && !isObsolete() {
		digests, err := client.Digests(ctx, cv.id.Model, cv.id.Number)
		if err != nil {
			if ctx.Err() == nil {
				cv.reportOriginFailure(ctx, err)
				cv.log().WithError(err).Warn("digests not downloaded from the origin")
			}
			return nil
		}
		if equalDigests(previous, digests) {
			return digests
		}
		previous = digests
	}
	return nil
}

// correctDigests downloads the digests again, after a piece has failed verification repeatedly, and takes
// those of the pieces that are not held. Two replies may have been corrupted alike, and the store or
// a peer may have had corrupt digests.
func (cv *cachedVersion) correctDigests(ctx context.Context, client *platform.OriginClient, set *pieces.Set) {
	digests := cv.requestDigests(ctx, client, set.IsComplete)
	if digests == nil || equalDigests(digests, set.Digests()) {
		return
	}
	if !set.Correct(digests) {
		cv.log().Warn("digests of the origin contradict the pieces that are held")
		return
	}
	cv.log().Warn("digests corrected")
	cv.enqueueRecord(digestsKey, bytes.Join(digests, nil))
}

func equalDigests(a, b [][]byte) bool {
	return len(a) == len(b) && bytes.Equal(bytes.Join(a, nil), bytes.Join(b, nil))
}

// downloadPiece downloads a piece until it passes verification. It fails if the origin does
// not answer, and with pieces.ErrDigestMismatch if the piece has failed verification maxMismatches times:
// its digest may be wrong.
func (cv *cachedVersion) downloadPiece(ctx context.Context, client *platform.OriginClient, set *pieces.Set, i int) error {
	for mismatches := 0; ctx.Err() == nil && set.Get(i) == nil; {
		data, err := client.Piece(ctx, cv.id.Model, cv.id.Number, i)
		if err != nil {
			if ctx.Err() == nil {
				cv.reportOriginFailure(ctx, err)
				cv.log().WithError(err).WithField("piece", i).Warn("piece not downloaded from the origin")
			}
			return err
		}
		if _, err := set.Add(i, data); err != nil {
			cv.log().WithError(err).WithField("piece", i).Warn("downloaded piece failed verification")
			if mismatches++; mismatches >= maxMismatches {
				return err
			}
			continue
		}
		if set.Len()*len(data) <= MaxStoredBytes && !cv.isStored(i) {
			cv.enqueueRecord(strconv.Itoa(i), data)
		}
	}
	return nil
}
