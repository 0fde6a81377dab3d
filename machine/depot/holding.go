package depot

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/weights/pieces"
)

const (
	// digestsKey is the key of the digests; the keys of pieces are their indexes.
	digestsKey = "digests"
	// readWait is how long one read of the topic waits, readPause the time between
	// two reads, so that one read brings several pieces.
	readWait  = time.Second
	readPause = 120 * time.Millisecond
	// patience is how long an entry waits for progress before it helps itself.
	// Those behind in rank wait a little longer, so that not all help themselves at
	// once.
	patience     = 1200 * time.Millisecond
	rankPatience = 100 * time.Millisecond
	// neighbourTime is how long an entry relies on the one that reads for its zone.
	neighbourTime = 3500 * time.Millisecond
	// maxDrawers is how many entries may draw a version at once unless they are asked
	// to: the origin's link is narrow.
	maxDrawers = 3
	// maxAsked is how many entries are asked in one round for what they hold.
	maxAsked = 6
	// unreachedTime is how long the origin must have been out of reach for another entry
	// to be asked: a connection that is refused may be taken a moment later.
	unreachedTime = 900 * time.Millisecond
	// storeTries and storePause bound the tries to store a piece.
	storeTries = 8
	storePause = 400 * time.Millisecond
	// drawnTime is how long an entry that was asked to draw may take.
	drawnTime = 2500 * time.Millisecond
	// drawers is how many pieces are drawn from the origin at once.
	drawers = 3
	// retryPause is the time between tries after a failure.
	retryPause = 150 * time.Millisecond
	// MaxStoredBytes is the largest version that the store carries.
	MaxStoredBytes = 32 << 20
	digestBytes    = 32
)

// holding is one version in the course of arriving.
type holding struct {
	depot   *Depot
	version Version
	// ctx ends with the work on the version.
	ctx context.Context
	// cancel ends the work on the version; hurry ends the wait for what others draw.
	cancel, hurry context.CancelFunc

	mu  sync.Mutex
	set *pieces.Set
	// ready is closed when the digests are known.
	ready chan struct{}
	// stored marks the pieces that stand in the store.
	stored []bool

	storing sync.Mutex
	// unstored are the records that are still to be appended, the first one under way.
	unstored []contract.Record
}

func (h *holding) current() *pieces.Set {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.set
}

// begin makes the set of pieces once the digests are known.
func (h *holding) begin(digests [][]byte) *pieces.Set {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.set == nil {
		h.set = pieces.NewSet(digests)
		h.stored = make([]bool, len(digests))
		close(h.ready)
	}
	return h.set
}

func (h *holding) log() log.Interface {
	return h.depot.opts.Log.WithField("version", h.version.String())
}

// fill gets the pieces until the version is whole. It waits for others to draw them
// until patient ends.
func (h *holding) fill(ctx, patient context.Context) {
	start := time.Now()
	h.log().WithField("rank", h.depot.rank(h.version)).Info("weights wanted")
	h.askNeighbour(patient)
	reading, stop := context.WithCancel(ctx)
	defer stop()
	first := make(chan struct{})
	go h.read(reading, first)
	// What an earlier run has stored need not be drawn again.
	select {
	case <-first:
	case <-time.After(patience):
	case <-ctx.Done():
	}
	h.await(patient)
	h.getDrawn(ctx, patient)
	if h.whole() {
		h.log().WithField("ms", time.Since(start).Milliseconds()).Info("weights whole")
	}
}

// getDrawn gets what is missing from entries that hold it and, if this entry may
// draw, from the origin, until the version is whole. While the origin is out of reach
// others are asked to draw.
func (h *holding) getDrawn(ctx, patient context.Context) {
	asked := 0
	var failing time.Time
	for ctx.Err() == nil && !h.whole() {
		h.askEntries(ctx)
		rank := h.depot.rank(h.version)
		if rank >= maxDrawers && patient.Err() == nil {
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
		if time.Since(failing) >= unreachedTime {
			h.askToDraw(ctx, asked)
			asked++
		}
		pause(ctx, retryPause)
	}
}

// askNeighbour gets the pieces from the entry that reads them for the zone, if that
// is another one: they cross the links between regions once.
func (h *holding) askNeighbour(ctx context.Context) {
	const look = 100 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, neighbourTime)
	defer cancel()
	for ctx.Err() == nil && !h.whole() {
		leader, ok := h.depot.reader(h.version)
		if !ok || leader == h.depot.opts.Self {
			return
		}
		if h.depot.opts.Peers.Linked(leader) {
			got, err := Fetch(ctx, h.depot.opts.Peers, leader, h.version, AsTheyCome, h.current, h.begin)
			h.log().WithField("peer", string(leader)).WithField("pieces", got).WithField("failed", err != nil).Info("pieces from the zone's reader")
		}
		pause(ctx, look)
	}
}

func (h *holding) whole() bool {
	set := h.current()
	return set != nil && set.Whole()
}

func (h *holding) count() int {
	if set := h.current(); set != nil {
		return set.Held()
	}
	return -1
}

// await waits until the version is whole, has made no progress for a time, or it is
// this entry's turn to draw.
func (h *holding) await(ctx context.Context) {
	const look = 50 * time.Millisecond
	last, at := h.count(), time.Now()
	for ctx.Err() == nil && !h.whole() {
		rank := h.depot.rank(h.version)
		if rank == 0 || time.Since(at) >= patience+time.Duration(rank)*rankPatience {
			return
		}
		pause(ctx, look)
		if n := h.count(); n != last {
			last, at = n, time.Now()
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (h *holding) topic() string { return platform.TopicOfWeights(h.version.Model, h.version.Number) }

// read takes in what stands in the store until the version is whole; first is
// closed after the first reply.
func (h *holding) read(ctx context.Context, first chan struct{}) {
	var once sync.Once
	from := int64(0)
	for ctx.Err() == nil && !h.whole() {
		wait := readWait
		if from == 0 {
			wait = 0
		}
		batch, err := h.depot.opts.Store.Read(ctx, h.topic(), from, wait)
		if errors.Is(err, platform.ErrTrimmed) {
			from, err = h.depot.opts.Store.EachNewest(ctx, h.topic(), h.take)
		}
		once.Do(func() { close(first) })
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, platform.ErrNotFound) {
				h.log().WithError(err).Warn("weights not read from the store")
			}
			pause(ctx, retryPause)
			continue
		}
		h.take(batch.Records)
		if n := len(batch.Records); n > 0 {
			from = batch.Records[n-1].Offset + 1
		}
		from = max(from, batch.First)
		pause(ctx, readPause)
	}
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

// linked lists the other entries that are linked, in rank.
func (h *holding) linked() []contract.MachineID {
	d := h.depot
	var list []contract.MachineID
	for _, m := range Rank(h.version, d.opts.Peers.Members(link.RoleEntry), d.currentOrigin().Zone) {
		if m.Machine != d.opts.Self && d.opts.Peers.Linked(m.Machine) {
			list = append(list, m.Machine)
		}
	}
	return list
}

// holders lists the entries to ask in one round: those that draw, the reader of the
// zone, and some of the others, drawn anew each time.
func (h *holding) holders() []contract.MachineID {
	list := h.linked()
	if len(list) <= maxAsked {
		return list
	}
	rest := list[maxDrawers:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	if reader, ok := h.depot.reader(h.version); ok {
		if i := slices.Index(rest, reader); i > 0 {
			rest[0], rest[i] = rest[i], rest[0]
		}
	}
	return list[:maxAsked]
}

// askEntries asks other entries for what they hold: while the store does not
// carry the pieces, each may have drawn others.
func (h *holding) askEntries(ctx context.Context) {
	d := h.depot
	for _, id := range h.holders() {
		if h.whole() || ctx.Err() != nil {
			return
		}
		got, err := Fetch(ctx, d.opts.Peers, id, h.version, Kept, h.current, h.begin)
		entry := h.log().WithField("peer", string(id)).WithField("pieces", got)
		switch {
		case err != nil:
			entry.WithError(err).Warn("pieces not received")
		case got > 0:
			entry.Info("pieces from a peer")
		}
	}
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
	got, err := Fetch(ctx, d.opts.Peers, id, h.version, Drawn, h.current, h.begin)
	h.log().WithField("peer", string(id)).WithField("pieces", got).WithField("failed", err != nil).Info("another entry asked to draw")
}

// draw gets the missing pieces from the origin and stores them. Entries that draw
// at the same time begin at different pieces and read from the store what the
// others have drawn. It reports whether the origin answered throughout.
func (h *holding) draw(ctx context.Context, rank int) bool {
	origin := h.depot.currentOrigin()
	if origin.Address == "" {
		return false
	}
	client := platform.NewOriginClient(origin.Address)
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
	first := rank * set.Len() / max(len(h.depot.opts.Peers.Members(link.RoleEntry)), 1)
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
			return
		}
		if try == storeTries {
			h.log().WithError(err).WithField("key", r.Key).Warn("piece not stored")
			return
		}
		pause(ctx, storePause)
	}
}
