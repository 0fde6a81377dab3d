package weightcache

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/weights/upgrade"
)

// OriginWatch knows whether entries that try to download reach the origin: this one, and those
// whose heartbeats arrive. It is safe for concurrent use.
type OriginWatch struct {
	mu     sync.Mutex
	outage upgrade.OriginOutage
}

// NewOriginWatch returns a watch that knows of no failure.
func NewOriginWatch() *OriginWatch { return &OriginWatch{} }

// Report returns the newest report for heartbeats, nil if none still counts.
func (w *OriginWatch) Report() *contract.OriginOutage {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.outage.Newest(time.Now())
	if !ok {
		return nil
	}
	return &contract.OriginOutage{Report: r.ID, AgeMS: uint32(r.Age.Milliseconds())}
}

// Apply applies the report in the heartbeat of an entry, which may be nil.
func (w *OriginWatch) Apply(r *contract.OriginOutage) {
	if r == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outage.Apply(time.Now(), upgrade.OriginReport{ID: r.Report, Age: time.Duration(r.AgeMS) * time.Millisecond})
}

// knownUntil returns until when it is known that the origin is unreachable, and that entries which
// try to download are running.
func (w *OriginWatch) knownUntil() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outage.KnownUntil()
}

// reportOriginFailure reports to all entries that the origin could not be reached, if err says so. Only
// entries that download by their rank report: others may be on a saturated link between regions, and
// must not keep those next in rank from replacing the first ones.
func (cv *cachedVersion) reportOriginFailure(ctx context.Context, err error) {
	if !cv.isFront.Load() || ctx.Err() != nil || !errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrUncertain) {
		return
	}
	w := cv.cache.opts.Origin
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outage.RecordFailure(time.Now(), rand.Uint64())
}
