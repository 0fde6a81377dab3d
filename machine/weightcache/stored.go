package weightcache

import (
	"bytes"
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/platform"
)

const (
	// digestsKey is the key of the digests; the keys of pieces are their indexes.
	digestsKey  = "digests"
	digestBytes = 32
	// readWait is how long one read of the topic waits, readPause the time between
	// two reads, so that one read brings several pieces.
	readWait  = time.Second
	readPause = 120 * time.Millisecond
	// completeTime is how long the first in rank leaves for appends that are under way
	// before it looks what the store lacks, and how much longer each one behind it.
	completeTime = 1500 * time.Millisecond
	// storeTries and storePause bound the tries to store a piece.
	storeTries = 8
	storePause = 400 * time.Millisecond
)

func (h *holding) topic() string { return platform.TopicOfWeights(h.version.Model, h.version.Number) }

// read takes in what stands in the store until the version is whole; first is
// closed after the first reply.
func (h *holding) read(ctx context.Context, first chan struct{}) {
	var once sync.Once
	defer once.Do(func() { close(first) })
	for ctx.Err() == nil && !h.whole() {
		_, err := h.readOn(ctx)
		once.Do(func() { close(first) })
		if err != nil {
			pause(ctx, retryPause)
			continue
		}
		pause(ctx, readPause)
	}
}

// readOn reads the topic from where the last read ended and returns how many records
// came. The first read does not wait for news.
func (h *holding) readOn(ctx context.Context) (int, error) {
	wait := readWait
	if h.from == 0 || h.whole() {
		wait = 0
	}
	batch, err := h.depot.opts.Store.Read(ctx, h.topic(), h.from, wait)
	if errors.Is(err, platform.ErrTrimmed) {
		h.from, err = h.depot.opts.Store.EachNewest(ctx, h.topic(), h.take)
	}
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, platform.ErrNotFound) {
			h.log().WithError(err).Warn("weights not read from the store")
		}
		return 0, err
	}
	h.take(batch.Records)
	if n := len(batch.Records); n > 0 {
		h.from = batch.Records[n-1].Offset + 1
	}
	h.from = max(h.from, batch.First)
	return len(batch.Records), nil
}

// complete appends what the store does not hold, once the version is whole: pieces may
// have come from an entry that cannot write there. The first in rank do it, one after
// another, each only what the others have not.
func (h *holding) complete(ctx context.Context) {
	rank := h.depot.rank(h.version)
	if rank >= maxDrawers || h.current().Bytes() > MaxStoredBytes {
		return
	}
	pause(ctx, completeTime+time.Duration(rank)*completeTime)
	for ctx.Err() == nil && len(h.missing()) > 0 {
		n, err := h.readOn(ctx)
		if err != nil {
			pause(ctx, completeTime)
			continue
		}
		if n == 0 {
			break
		}
	}
	missing := h.missing()
	if len(missing) == 0 || ctx.Err() != nil {
		return
	}
	h.log().WithField("pieces", len(missing)).Info("store lacks pieces")
	set := h.current()
	h.storeLater(digestsKey, bytes.Join(set.Digests(), nil))
	for _, i := range missing {
		h.storeLater(strconv.Itoa(i), set.Get(i))
	}
}

// missing lists the pieces that are not known to stand in the store.
func (h *holding) missing() []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []int
	for i, stored := range h.stored {
		if !stored {
			list = append(list, i)
		}
	}
	return list
}

// take verifies records of the topic.
func (h *holding) take(records []contract.Record) {
	for _, r := range records {
		if r.Key == digestsKey && len(r.Value)%digestBytes == 0 && len(r.Value) > 0 {
			h.begin(split(r.Value))
		}
	}
	set := h.current()
	if set == nil {
		return
	}
	for _, r := range records {
		i, err := strconv.Atoi(r.Key)
		if err != nil {
			continue
		}
		if _, err := set.Add(i, r.Value); err != nil {
			h.log().WithError(err).Warn("stored piece refused")
			continue
		}
		h.markStored(i)
	}
}

func (h *holding) markStored(i int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stored[i] = true
}

func (h *holding) isStored(i int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stored[i]
}

func split(data []byte) [][]byte {
	var digests [][]byte
	for len(data) >= digestBytes {
		digests = append(digests, data[:digestBytes])
		data = data[digestBytes:]
	}
	return digests
}

// storeLater appends a record to the version's topic, beside the drawing: a store that
// is slow or away must not hold that up.
func (h *holding) storeLater(key string, value []byte) {
	h.storing.Lock()
	h.unstored = append(h.unstored, contract.Record{Key: key, Value: value})
	idle := len(h.unstored) == 1
	h.storing.Unlock()
	if idle {
		go h.storeAll(h.ctx)
	}
}

// storeAll appends what is to be stored, in order, until nothing is left.
func (h *holding) storeAll(ctx context.Context) {
	for ctx.Err() == nil {
		h.storing.Lock()
		if len(h.unstored) == 0 {
			h.storing.Unlock()
			return
		}
		next := h.unstored[0]
		h.storing.Unlock()
		h.storeRecord(ctx, next)
		h.storing.Lock()
		h.unstored = h.unstored[1:]
		h.storing.Unlock()
	}
}

// storeRecord tries to append one record. A failure costs only that other zones get
// the piece another way.
func (h *holding) storeRecord(ctx context.Context, r contract.Record) {
	for try := 1; ctx.Err() == nil; try++ {
		_, err := h.depot.opts.Store.Put(ctx, h.topic(), r.Key, r.Value)
		if err == nil {
			if i, err := strconv.Atoi(r.Key); err == nil {
				h.markStored(i)
			}
			return
		}
		if try == storeTries {
			h.log().WithError(err).WithField("key", r.Key).Warn("piece not stored")
			return
		}
		pause(ctx, storePause)
	}
}
