package direct

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/machine/weightcache"
	"mimosastand.example/mimosastand/platform"
)

const (
	// unloadRetryInterval is the time between two orders to give up unsound weights.
	unloadRetryInterval = time.Second
	// maxProofReads is how often a piece is read that is not found sound: a read may be spoilt.
	maxProofReads = 3
	// inheritedSilence is for how long a process that has just started does not report weights that an
	// earlier one had the engine load. Entries go by what that one reported until then.
	inheritedSilence = time.Second
	// inheritedLookTime is for how long it stages nothing over the pieces that show whether they are sound.
	inheritedLookTime = 2 * time.Second
	// inheritedFetchTime is for how long it requests the digests of such weights.
	inheritedFetchTime = 5 * time.Second
)

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
	// inherited is the state in which the process found the engine at inheritedAt, if an earlier process
	// had it load weights. They are trusted, but looked at as soon as their digests are known.
	inherited   weightsState
	inheritedAt time.Time
	// stagedSinceReport is set if pieces have been staged since the last report. stagedBy is the state in
	// which the first report after the last staged piece showed the engine.
	stagedSinceReport bool
	stagedBy          weightsState
	// hasLateWrite is set if a piece whose write got no answer may still be staged, at the start lateWriteBorn
	// of the engine. answered is the state after the last order that was answered.
	hasLateWrite  bool
	lateWriteBorn int64
	answered      weightsState
	// unloadedAt is when the engine was last ordered to give up unsound weights.
	unloadedAt time.Time
}

// observe applies a report of the engine.
func (p *proof) observe(s weightsState, isBusy, isFirst bool) {
	isFirstOfStart := isFirst || s.born != p.sound.born && s.born != p.inherited.born
	switch {
	case isFirstOfStart && s.orders == 0:
		// The engine has loaded nothing but what it was started with.
		p.sound = s
	case s.version == 0 && !isBusy:
		// It holds nothing.
		p.sound = s
	case isFirst && !isBusy:
		p.inherited, p.inheritedAt = s, time.Now()
	}
	p.observeUnsound(s)
	if p.stagedSinceReport {
		p.stagedSinceReport, p.stagedBy = false, s
	}
}

// observeUnsound carries over what is known of unsound weights: an order that leaves the engine with the same
// version need not have loaded any of its layers again.
func (p *proof) observeUnsound(s weightsState) {
	switch {
	case s.born == p.unsound.born && s.version == p.unsound.version:
		p.unsound.orders = s.orders
	case s.born != p.unsound.born, s.orders != p.unsound.orders:
		p.unsound = weightsState{}
	}
}

// mayBeStagedSince reports whether a piece may have been staged after the engine had accepted the last order
// of a state: what is staged now does not show then what it has loaded.
func (p *proof) mayBeStagedSince(s weightsState) bool {
	return p.stagedSinceReport || p.stagedBy.born == s.born && p.stagedBy.orders >= s.orders || p.mayBeHealed(s)
}

// mayBeHealed reports whether a write without an answer may have replaced a piece that had been bad for longer
// than maxPieceBadTime when the engine accepted the last order of a state. If that order was answered, the
// engine accepted it soon after the verification.
func (p *proof) mayBeHealed(s weightsState) bool {
	wasAnswered := p.answered.born == s.born && p.answered.orders == s.orders
	return p.hasLateWrite && p.lateWriteBorn == s.born && !wasAnswered
}

// state returns the state of the engine's weights by its last report. mu must be held.
func (r *reconciler) state() weightsState {
	return weightsState{born: r.report.Born, orders: r.report.Orders, version: r.loadedVersion()}
}

// isUnproved reports whether the weights that the engine has loaded are not known to be sound. mu must
// be held.
func (r *reconciler) isUnproved() bool { return r.state() != r.proof.sound }

// isInherited reports whether the engine holds the weights that this process found, and nothing is known
// of them yet. mu must be held.
func (r *reconciler) isInherited() bool { return r.isUnproved() && r.state() == r.proof.inherited }

// isWithheld reports whether the engine gets no requests since its weights are not known to be sound. mu
// must be held.
func (r *reconciler) isWithheld() bool { return r.isUnproved() && !r.isInherited() }

// proveLoaded finds out whether the engine has loaded sound pieces, if that is not known yet. Until then
// it gets no requests. Weights that are not sound are given up.
func (r *reconciler) proveLoaded(ctx context.Context) {
	r.mu.Lock()
	c := r.loadedCandidate()
	if c == nil || !r.up || !r.isUnproved() {
		r.mu.Unlock()
		return
	}
	// While the engine loads, its report does not show the version yet.
	state := r.state()
	state.version = c.version.Number
	isSound, isUnsound := state == r.proof.sound, state == r.proof.unsound
	isHidden := r.isInherited() && r.proof.mayBeStagedSince(state)
	isReplaced := newestComplete(r.candidates, state.version) != nil
	r.mu.Unlock()
	switch {
	case isSound, isHidden:
	case isUnsound && !isReplaced:
		r.unload(ctx, state, c)
	case isUnsound:
		// The engine loads a newer version at once.
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
	logger := r.stateLog(state).WithField("version", c.version.String())
	start := time.Now()
	read := r.readAllStaged(ctx, c)
	err := r.recordProof(state, read)
	logger = logger.WithField("ms", time.Since(start).Milliseconds()).WithField("pieces", c.set.Len()).WithField("digests", c.set.Fingerprint())
	if errors.Is(err, errStagedSince) {
		logger = logger.WithField("read", describeRead(read))
	}
	switch {
	case err == nil:
		r.target.meters.countProof("sound")
		logger.Info("loaded weights proved")
	case errors.Is(err, errNotSound):
		r.target.meters.countProof("unsound")
		logger.WithError(err).Warn("loaded weights are not sound; the engine gets no requests")
	default:
		r.target.meters.countProof("failed")
		logger.WithError(err).Warn("loaded weights not proved yet")
		return
	}
	r.target.peers.SendHeartbeats()
}

// recordProof records what a read of all staged pieces, which ended with an error or nil, says of the
// weights that were loaded in a state. It fails with errNotSound if they may not be sound.
func (r *reconciler) recordProof(state weightsState, read error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.proof.mayBeStagedSince(state) {
		read = errStagedSince
	}
	switch {
	case read == nil:
		r.proof.sound = state
	case errors.Is(read, errNotSound):
		r.proof.unsound, r.proof.inherited = state, weightsState{}
	}
	return read
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
		r.refreshReport(ctx)
		err := r.readStaged(ctx, c, i)
		for range maxProofReads - 1 {
			if errors.Is(err, errNotSound) {
				err = r.readStaged(ctx, c, i)
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// readStaged reads a staged piece. It fails with errNotSound if it is not that of the candidate.
func (r *reconciler) readStaged(ctx context.Context, c *candidate, i int) error {
	data, err := r.engine.StagedPiece(ctx, c.version.Model, i)
	if errors.Is(err, platform.ErrNotFound) {
		return errors.Wrapf(errNotSound, "piece %d is missing", i)
	}
	if err != nil {
		return err
	}
	if err := c.set.Verify(i, data); err != nil {
		return errors.CombineErrors(errors.Wrap(errNotSound, r.describeBadPiece(i, data)), err)
	}
	return nil
}

// unload orders the engine to give up unsound weights, so that it loads the version again. It repairs the
// staged pieces first, if it can.
func (r *reconciler) unload(ctx context.Context, state weightsState, c *candidate) {
	if !r.unloadIsDue() {
		return
	}
	if c.isComplete() && !r.verifyAllStaged(ctx, c, r.loadLog(c)) {
		return
	}
	// The report shows that the pieces were staged before the engine accepts the order.
	if !r.pollEngine(ctx) {
		return
	}
	r.giveUp(ctx, c.version.Model, state)
}

// unloadIsDue reports whether the engine may be ordered now to give up weights.
func (r *reconciler) unloadIsDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.report.Busy || time.Since(r.proof.unloadedAt) < unloadRetryInterval {
		return false
	}
	r.proof.unloadedAt = time.Now()
	return true
}

// unloadPart orders the engine to give up layers that are not the whole model, and reports whether it holds
// such layers. An order for all layers would load only those that it lacks, and what the pieces of the
// others were when it took them is not known.
func (r *reconciler) unloadPart(ctx context.Context, model string) (isPart bool) {
	r.mu.Lock()
	state := r.state()
	isPart = r.up && !r.report.Busy && r.orderedAt.IsZero() && state.version == 0 && r.report.Model.Version != 0
	state.version = r.report.Model.Version
	r.mu.Unlock()
	if isPart && r.unloadIsDue() {
		r.giveUp(ctx, model, state)
	}
	return isPart
}

// giveUp orders the engine to give up unsound weights that it holds in a state.
func (r *reconciler) giveUp(ctx context.Context, model string, state weightsState) {
	logger := r.stateLog(state).WithField("version", weightcache.Version{Model: model, Number: state.version}.String())
	if err := r.orderUnload(ctx, model, state); err != nil {
		logger.WithError(err).WithField("result", callResult(err)).Warn("unsound weights not given up")
		return
	}
	logger.Info("unsound weights given up")
}

// orderUnload orders the engine to give up the weights that it holds in a state.
func (r *reconciler) orderUnload(ctx context.Context, model string, state weightsState) error {
	err := r.engine.Unload(ctx, platform.Order{Model: model, Version: state.version, Accepted: state.orders})
	r.target.meters.countResult("unloads", err)
	if errors.Is(err, platform.ErrConflict) {
		r.recordRefusal(state.born, state.orders)
	}
	return err
}
