package direct

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/platform"
)

// unloadRetryInterval is the time between two orders to give up unsound weights.
const unloadRetryInterval = time.Second

// weightsState identifies what an engine has loaded: by its start, the number of orders that it has
// accepted since, and the version of its weights, 0 if it does not hold one completely.
type weightsState struct {
	born, orders, version int64
}

// proof is what is known of whether the weights of an engine are sound. An engine loads the staged
// pieces as they are when it accepts an order. What was verified before may have changed by then, and
// calls that got no answer may take effect later, those of an earlier process too. So weights count as
// sound only once the staged pieces have been read, found sound and known to be unchanged since the
// engine accepted its last order.
type proof struct {
	// sound is the last state known to be sound, unsound the last one known not to be.
	sound, unsound weightsState
	// isWritten is set if pieces have been staged since the last report. written is the state that
	// the first report after the last staged piece showed.
	isWritten bool
	written   weightsState
	// unloadedAt is when the engine was last ordered to give up unsound weights.
	unloadedAt time.Time
}

// observe applies a report of the engine. A process that has just started trusts weights that are
// loaded, unless the engine carries out an order of an earlier process.
func (p *proof) observe(s weightsState, isBusy, isFirst bool) {
	switch {
	case isFirst && isBusy:
		p.sound = weightsState{born: s.born, orders: s.orders - 1}
	case isFirst, s.born != p.sound.born && s.orders == 0, s.version == 0 && !isBusy:
		p.sound = s
	}
	if p.isWritten {
		p.isWritten, p.written = false, s
	}
}

// mayHaveChanged reports whether a piece may have been staged after the engine had accepted its last
// order: what is staged now does not show then what it has loaded.
func (p *proof) mayHaveChanged(s weightsState) bool {
	return p.isWritten || p.written.born == s.born && p.written.orders >= s.orders
}

// state returns the state of the engine's weights by its last report. mu must be held.
func (r *reconciler) state() weightsState {
	return weightsState{born: r.report.Born, orders: r.report.Orders, version: r.loadedVersion()}
}

// isUnproved reports whether the weights that the engine has loaded are not known to be sound. mu must
// be held.
func (r *reconciler) isUnproved() bool { return r.state() != r.proof.sound }

// proveLoaded finds out whether the engine has loaded sound pieces, if that is not known yet. Until then
// it gets no requests. Weights that are not sound are given up.
func (r *reconciler) proveLoaded(ctx context.Context) {
	r.mu.Lock()
	c := r.loadedCandidate()
	if c == nil || !r.up || !r.isUnproved() {
		r.mu.Unlock()
		return
	}
	state := r.state()
	state.version = c.version.Number
	isSound, isUnsound := state == r.proof.sound, state == r.proof.unsound
	r.mu.Unlock()
	switch {
	case isSound:
	case isUnsound:
		r.unload(ctx, state, c)
	default:
		r.proveCandidate(ctx, state, c)
	}
}

// loadedCandidate returns the candidate that the engine has loaded, or is loading by an order of this
// process; nil if its pieces are not known. mu must be held.
func (r *reconciler) loadedCandidate() *candidate {
	c := findCandidate(r.candidates, r.newestOrdered())
	if c == nil || c.set == nil {
		return nil
	}
	return c
}

// newestOrdered returns the version that the engine has loaded, or is loading by an order of this process; 0
// if there is none. mu must be held.
func (r *reconciler) newestOrdered() int64 {
	if r.report.Busy && !r.orderedAt.IsZero() {
		return r.orderedVersion
	}
	return r.loadedVersion()
}

// proveCandidate reads all staged pieces, and records whether the engine has loaded sound pieces of a
// candidate, in the state that it is in or will be in once it has loaded them.
func (r *reconciler) proveCandidate(ctx context.Context, state weightsState, c *candidate) {
	logger := r.log.WithField("version", c.version.String()).WithField("born", state.born).WithField("orders", state.orders)
	err := r.readAllStaged(ctx, c)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.proof.mayHaveChanged(state) {
		err = errors.CombineErrors(errStagedSince, err)
	}
	switch {
	case err == nil:
		r.proof.sound = state
		r.target.meters.countProof("sound")
		logger.Info("loaded weights proved")
	case errors.Is(err, errNotSound):
		r.proof.unsound = state
		r.target.meters.countProof("unsound")
		logger.WithError(err).Warn("loaded weights are not sound; the engine gets no requests")
	default:
		r.target.meters.countProof("failed")
		logger.WithError(err).Warn("loaded weights not proved yet")
	}
}

var (
	// errNotSound means that weights may contain a piece that is missing, corrupt or of another version.
	errNotSound = errors.New("target: weights are not sound")
	// errStagedSince means that pieces were staged after the engine may have accepted an order.
	errStagedSince = errors.Wrap(errNotSound, "pieces were staged since the order was accepted")
)

// readAllStaged reads all staged pieces. It fails with errNotSound if one is not that of the candidate.
func (r *reconciler) readAllStaged(ctx context.Context, c *candidate) error {
	for i := range c.set.Len() {
		data, err := r.engine.StagedPiece(ctx, c.version.Model, i)
		if errors.Is(err, platform.ErrNotFound) {
			return errors.Wrapf(errNotSound, "piece %d is missing", i)
		}
		if err != nil {
			return err
		}
		if err := c.set.Verify(i, data); err != nil {
			return errors.CombineErrors(errors.Wrapf(errNotSound, "piece %d", i), err)
		}
	}
	return nil
}

// unload orders the engine to give up unsound weights, so that it loads the version again. It repairs the
// staged pieces first, if it can.
func (r *reconciler) unload(ctx context.Context, state weightsState, c *candidate) {
	r.mu.Lock()
	isDue := !r.report.Busy && time.Since(r.proof.unloadedAt) >= unloadRetryInterval
	if isDue {
		r.proof.unloadedAt = time.Now()
	}
	r.mu.Unlock()
	if !isDue {
		return
	}
	logger := r.log.WithField("version", c.version.String()).WithField("born", state.born).WithField("orders", state.orders)
	if c.isComplete() && !r.verifyAllStaged(ctx, c, logger) {
		return
	}
	// The report shows that the pieces were staged before the engine accepts the order.
	if !r.pollEngine(ctx) {
		return
	}
	err := r.engine.Unload(ctx, platform.Order{Model: c.version.Model, Version: state.version, Accepted: state.orders})
	r.target.meters.countResult("unloads", err)
	if err != nil {
		logger.WithError(err).Warn("unsound weights not given up")
		return
	}
	logger.Info("unsound weights given up")
}
