package weightcache

import (
	"bytes"
	"context"
	"strconv"
	"sync"
	"time"

	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/weights/pieces"
)

const (
	// maxDrawers is how many entries may draw a version at once unless they are asked
	// to: the origin's link is narrow.
	maxDrawers = 3
	// drawers is how many pieces one entry draws at once.
	drawers = 3
	// unreachedTime is how long the origin must have been out of reach for another entry
	// to be asked: a connection that is refused may be taken a moment later.
	unreachedTime = 900 * time.Millisecond
	// drawnTime is how long an entry that was asked to draw may take.
	drawnTime = 2500 * time.Millisecond
	// MaxStoredBytes is the largest version that the store carries.
	MaxStoredBytes = 32 << 20
)

// getDrawn gets what is missing from entries that hold it and, if this entry may
// draw, from the origin, until the version is whole. While the origin is out of reach
// others are asked to draw.
func (h *holding) getDrawn(ctx context.Context) {
	asked := 0
	var failing time.Time
	for ctx.Err() == nil && !h.whole() {
		h.askEntries(ctx)
		rank := h.depot.rank(h.version)
		if !h.mayDraw(rank) {
			pause(ctx, retryPause)
			continue
		}
		start := time.Now()
		if h.draw(ctx, rank) {
			failing = time.Time{}
			continue
		}
		if failing.IsZero() {
			failing = start
		}
		if mayAsk(rank) && time.Since(failing) >= unreachedTime {
			h.askToDraw(ctx, asked)
			asked++
		}
		pause(ctx, retryPause)
	}
}

// mayAsk reports whether an entry may have another one draw: only those that draw by
// their own rank may. If those that were asked asked others in turn, the whole fleet would
// draw at once when an origin that was down comes back.
func mayAsk(rank int) bool { return rank < maxDrawers }

// mayDraw reports whether this entry may draw now: it is among the first in rank, or
// was asked to a moment ago.
func (h *holding) mayDraw(rank int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return rank < maxDrawers || time.Since(h.askedAt) < drawnTime
}

// urge asks this entry to draw, at once.
func (h *holding) urge() {
	h.mu.Lock()
	h.askedAt = time.Now()
	h.mu.Unlock()
	h.hurry()
}

// askToDraw has another entry draw the pieces, each time the next in rank: this one
// cannot reach the origin.
func (h *holding) askToDraw(ctx context.Context, asked int) {
	d := h.depot
	linked := h.linked()
	if len(linked) == 0 || h.whole() {
		return
	}
	id := linked[asked%len(linked)]
	ctx, cancel := context.WithTimeout(ctx, drawnTime)
	defer cancel()
	got, err := Fetch(ctx, d.opts.Peers, id, h.version, FetchFromOrigin, h.current, h.begin)
	h.log().WithField("peer", string(id)).WithField("pieces", got).WithField("failed", err != nil).Info("another entry asked to draw")
}

// draw gets the missing pieces from the origin and stores them. Entries that draw
// at the same time begin at different pieces and read from the store what the
// others have drawn. It reports whether the origin answered throughout.
func (h *holding) draw(ctx context.Context, rank int) bool {
	client := h.depot.originClient()
	if client == nil {
		return false
	}
	set := h.current()
	if set == nil {
		if set = h.drawDigests(ctx, client); set == nil {
			return false
		}
	}
	round, stop := context.WithCancel(ctx)
	defer stop()
	missing := make(chan int)
	var wg sync.WaitGroup
	for range drawers {
		wg.Go(func() {
			for i := range missing {
				if err := h.drawPiece(round, client, set, i); err != nil {
					stop()
				}
			}
		})
	}
	first := rank % maxDrawers * set.Len() / maxDrawers
	for i := range set.Len() {
		if i = (first + i) % set.Len(); set.Get(i) == nil {
			missing <- i
		}
	}
	close(missing)
	wg.Wait()
	return round.Err() == nil
}

// drawDigests draws the digests until two replies in a row agree, since a reply
// may be corrupt, and stores them. It returns nil if the origin does not answer.
func (h *holding) drawDigests(ctx context.Context, client *platform.OriginClient) *pieces.Set {
	var former [][]byte
	for ctx.Err() == nil && h.current() == nil {
		digests, err := client.Digests(ctx, h.version.Model, h.version.Number)
		if err != nil {
			h.log().WithError(err).Warn("digests not drawn")
			return nil
		}
		if equal(former, digests) {
			set := h.begin(digests)
			h.storeLater(digestsKey, bytes.Join(digests, nil))
			return set
		}
		former = digests
	}
	return h.current()
}

func equal(a, b [][]byte) bool {
	return len(a) == len(b) && bytes.Equal(bytes.Join(a, nil), bytes.Join(b, nil))
}

// drawPiece draws a piece until it is right. It fails if the origin does not answer.
func (h *holding) drawPiece(ctx context.Context, client *platform.OriginClient, set *pieces.Set, i int) error {
	for ctx.Err() == nil && set.Get(i) == nil {
		data, err := client.Piece(ctx, h.version.Model, h.version.Number, i)
		if err != nil {
			if ctx.Err() == nil {
				h.log().WithError(err).WithField("piece", i).Warn("piece not drawn")
			}
			return err
		}
		if _, err := set.Add(i, data); err != nil {
			h.log().WithError(err).WithField("piece", i).Warn("drawn piece refused")
			continue
		}
		if set.Len()*len(data) <= MaxStoredBytes && !h.isStored(i) {
			h.storeLater(strconv.Itoa(i), data)
		}
	}
	return nil
}
