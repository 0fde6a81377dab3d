package direct

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/weights/upgrade"
)

const (
	// maxPieceBadTime is for how long an engine may have held a bad piece when it loads it.
	maxPieceBadTime = 3 * time.Second
	// maxVerificationAge is how long ago the verification of the staged pieces may have begun when
	// the order to load them is sent. The order is on its way for platform.OrderTimeout at most.
	maxVerificationAge = maxPieceBadTime - platform.OrderTimeout
	// maxVerifications bounds how often all staged pieces are verified for one order.
	maxVerifications = 3
)

// errVerificationExpired means that the verification of the staged pieces began longer ago than
// maxVerificationAge.
var errVerificationExpired = errors.New("target: verification of the staged pieces has expired")

// stagePieces stages the pieces of a candidate at the engine, unless they are staged
// already. They overwrite the staged pieces of any other candidate.
func (r *reconciler) stagePieces(ctx context.Context, c *candidate) {
	if r.isStaged(c) {
		return
	}
	born := r.lastReport().Born
	start := time.Now()
	for i := range c.set.Len() {
		r.refreshReport(ctx)
		err := r.stagePiece(ctx, c, i)
		r.target.meters.countResult("pieces_staged", err)
		if err != nil {
			r.loadLog(c).WithError(err).WithField("piece", i).WithField("result", callResult(err)).Warn("staging piece failed")
			return
		}
	}
	r.loadLog(c).WithField("pieces", c.set.Len()).WithField("ms", time.Since(start).Milliseconds()).Info("pieces staged")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.staged = stagingArea{candidate: c, at: time.Now(), born: born}
}

// stagePiece stages a piece of a candidate at the engine. From then on no other candidate is staged as a
// whole, whether or not the engine answers.
func (r *reconciler) stagePiece(ctx context.Context, c *candidate, i int) error {
	r.mu.Lock()
	r.proof.stagedSinceReport = true
	if r.staged.candidate != c {
		r.staged = stagingArea{}
	}
	born := r.report.Born
	r.mu.Unlock()
	err := r.engine.StagePiece(ctx, c.version.Model, i, c.set.Get(i))
	if errors.Is(err, platform.ErrUncertain) {
		r.mu.Lock()
		r.proof.hasLateWrite, r.proof.lateWriteBorn = true, born
		r.mu.Unlock()
	}
	return err
}

// orderWhenDue orders the engine to load a candidate when the target's turn in its zone is
// due. Shortly before, it announces the change to entries by heartbeats.
func (r *reconciler) orderWhenDue(ctx context.Context, c *candidate) {
	rank, total := r.zoneRank()
	bound := r.target.versionBound()
	r.mu.Lock()
	state := upgrade.EngineState{
		Now:         time.Now(),
		Up:          r.up,
		Busy:        r.report.Busy || !r.orderedAt.IsZero() && time.Since(r.orderedAt) < orderReportLag,
		Loaded:      r.servedVersion(),
		Desired:     c.version.Number,
		BehindSince: r.target.behindSince(c.version.Model, r.loadedVersion()),
		Rank:        rank,
		ZoneTargets: total,
		Bound:       bound,
		NewsDelay:   r.target.peers.NewsDelay(),
		StagedAt:    r.staged.stagedAt(c, r.report.Born),
	}
	step := upgrade.Decide(state)
	if step != upgrade.Wait && r.skipsForNewer(c, state) {
		step = upgrade.Wait
	}
	becomesPending := step != upgrade.Wait && !r.changePending
	// The turn of a newer version may come later than that of the one before it.
	r.changePending = step != upgrade.Wait || !r.orderedAt.IsZero()
	r.mu.Unlock()
	if becomesPending {
		r.target.peers.SendHeartbeats()
	}
	if step == upgrade.Load {
		r.orderLoad(ctx, c)
	}
}

// zoneRank returns how many targets of the zone come before this one by machine, and how
// many targets the zone has in total.
func (r *reconciler) zoneRank() (rank, total int) {
	self := r.target.process
	for _, m := range r.target.peers.Members(link.RoleTarget) {
		if m.Zone != self.Zone {
			continue
		}
		if m.Machine < self.Machine {
			rank++
		}
		total++
	}
	return rank, total
}

// orderLoad verifies all staged pieces of a candidate, orders the engine to load them, and proves that it
// has loaded sound ones. The engine loads the pieces as they are when it accepts the order, and one may
// turn bad after it was verified. So the order is sent only while all verifications are recent:
// otherwise, for example if the process stood still meanwhile, all pieces are verified again.
func (r *reconciler) orderLoad(ctx context.Context, c *candidate) {
	logger := r.log.WithField("version", c.version.String())
	for range maxVerifications {
		verifiedSince := r.bootTime()
		if !r.verifyAllStaged(ctx, c, logger) {
			return
		}
		// The report shows that the pieces were staged before the engine accepts the order.
		if !r.pollEngine(ctx) || !r.isStaged(c) {
			return
		}
		report := r.lastReport()
		start := time.Now()
		err := r.sendOrder(ctx, c, report.Orders, verifiedSince)
		logger := logger.WithField("verified_ms", (r.bootTime()-verifiedSince).Milliseconds()).WithField("ms", time.Since(start).Milliseconds()).
			WithField("born", report.Born).WithField("orders", report.Orders).WithField("digests", c.set.Fingerprint())
		if errors.Is(err, errVerificationExpired) {
			logger.Warn("verification of the staged pieces has expired; verifying them again")
			continue
		}
		switch {
		case err == nil, errors.Is(err, platform.ErrUncertain):
			r.recordOrder(c, err)
		case errors.Is(err, platform.ErrConflict):
			r.recordRefusal(report.Born, report.Orders)
		}
		if err != nil {
			logger.WithError(err).WithField("result", callResult(err)).Warn("load order failed")
			return
		}
		logger.Info("load order accepted")
		if r.pollEngine(ctx) {
			r.proveLoaded(ctx)
		}
		return
	}
	logger.Warn("staged pieces could not be verified in time; load order postponed")
}

// verifyAllStaged verifies all staged pieces of a candidate. It reports false if a piece could not
// be verified.
func (r *reconciler) verifyAllStaged(ctx context.Context, c *candidate, logger log.Interface) bool {
	for i := range c.set.Len() {
		r.refreshReport(ctx)
		if err := r.verifyStaged(ctx, c, i); err != nil {
			logger.WithError(err).WithField("piece", i).Warn("staged piece could not be verified; load order postponed")
			return false
		}
	}
	return true
}

// sendOrder sends the order to load a candidate whose pieces have been verified since a boot time, to an
// engine that has accepted a number of orders. It fails with errVerificationExpired, without sending it,
// if the verification is too long ago.
func (r *reconciler) sendOrder(ctx context.Context, c *candidate, accepted int64, verifiedSince time.Duration) error {
	order := platform.Order{Model: c.version.Model, Version: c.version.Number, Accepted: accepted}
	err := r.engine.Load(ctx, order, func() error {
		if r.bootTime()-verifiedSince > maxVerificationAge {
			return errVerificationExpired
		}
		return nil
	})
	r.target.meters.countResult("orders", err)
	return err
}

// isStaged reports whether all pieces of a candidate have been staged since the last known start of the
// engine.
func (r *reconciler) isStaged(c *candidate) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.staged.stagedAt(c, r.report.Born).IsZero()
}

// recordOrder records that the engine has accepted the order to load a candidate, or may have if err is not
// nil.
func (r *reconciler) recordOrder(c *candidate, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orderedAt, r.orderedVersion = time.Now(), c.version.Number
	r.unanswered = unansweredOrder{}
	if err != nil {
		r.unanswered = unansweredOrder{isPending: true, born: r.report.Born, orders: r.report.Orders}
		return
	}
	r.proof.answered = weightsState{born: r.report.Born, orders: r.report.Orders + 1, version: c.version.Number}
}

// recordRefusal records that an engine refused an order since its state was another than the one in its report,
// at a start of the engine and with a number of accepted orders. It may have accepted another order before the
// last piece was staged.
func (r *reconciler) recordRefusal(born, orders int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedAt = time.Now()
	if r.proof.stagedBy.born == born && r.proof.stagedBy.orders == orders {
		r.proof.stagedBy.orders++
	}
}

// maxVoidAttempts bounds how often an engine is ordered to give up its weights for an order without an answer.
const maxVoidAttempts = 3

// unansweredOrder is an order that got no answer, to an engine that had accepted a number of orders since its
// start. The engine may accept it at any time, but not after another one.
type unansweredOrder struct {
	isPending    bool
	born, orders int64
	attempts     int
}

// voidUnansweredOrder has the engine accept another order than one that got no answer, and reports whether that
// one may still be accepted. No piece may be staged until then: it could replace a bad one that the engine takes
// for that order, which nobody could tell afterwards, least of all the next process. The engine gives up its
// weights for it.
func (r *reconciler) voidUnansweredOrder(ctx context.Context, model string) (isPending bool) {
	r.mu.Lock()
	state, o := r.state(), &r.unanswered
	state.version = r.report.Model.Version
	isPending = r.up && o.isPending && o.born == state.born && o.orders == state.orders && state.version != 0 && o.attempts < maxVoidAttempts
	isDue := isPending && !r.report.Busy && time.Since(r.orderedAt) >= orderReportLag && time.Since(r.refusedAt) >= orderReportLag
	if isDue {
		o.attempts++
	}
	r.mu.Unlock()
	if !isDue {
		return isPending
	}
	logger := r.stateLog(state)
	if err := r.orderUnload(ctx, model, state); err != nil {
		logger.WithError(err).WithField("result", callResult(err)).Warn("load order without an answer not made void")
		return true
	}
	logger.Info("load order without an answer made void")
	return true
}

// verifyStaged reads a staged piece back and verifies it. A piece that is unreadable or
// corrupt is staged again and read back again, up to maxAttempts times.
func (r *reconciler) verifyStaged(ctx context.Context, c *candidate, i int) error {
	const maxAttempts = 3
	for range maxAttempts {
		data, err := r.engine.StagedPiece(ctx, c.version.Model, i)
		if err == nil {
			if err = c.set.Verify(i, data); err == nil {
				return nil
			}
			err = errors.Wrap(err, r.describeBadPiece(i, data))
		}
		r.target.meters.countCorruptPiece()
		r.loadLog(c).WithError(err).WithField("piece", i).Warn("staged piece unreadable or corrupt; staging it again")
		err = r.stagePiece(ctx, c, i)
		r.target.meters.countResult("pieces_restaged", err)
		if err != nil {
			return errors.Wrapf(err, "staging it again: %s", callResult(err))
		}
	}
	return errors.Newf("staged piece %d is still unreadable or corrupt after repeated staging", i)
}
