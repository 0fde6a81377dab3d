package entry

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
)

// resolveTimeout bounds the wait until an outcome is recorded in the log. The claimer
// continues to append the outcome after that.
const resolveTimeout = 5 * time.Second

// claimTimeoutPercent is the percentage of the time until the caller's deadline that a
// claim may take. The rest leaves time to answer the caller with the reason of a refusal.
const claimTimeoutPercent = 90

// keyClaims executes the state machine's effects on idempotency keys with a claimer.
type keyClaims struct {
	claimer claims.Claimer
	log     log.Interface

	mu sync.Mutex
	// leases holds the leases of the requests that hold their keys.
	leases map[contract.RequestID]claims.Lease
}

func newKeyClaims(claimer claims.Claimer, logger log.Interface) *keyClaims {
	return &keyClaims{claimer: claimer, log: logger, leases: map[contract.RequestID]claims.Lease{}}
}

// claim claims the key of one request and returns the decision as an event.
func (k *keyClaims) claim(ctx context.Context, effect dispatch.ClaimKey) dispatch.ClaimDecided {
	ctx, cancel := context.WithTimeout(ctx, effect.Timeout*claimTimeoutPercent/100)
	defer cancel()
	d, err := k.claimer.Claim(ctx, effect.Claim)
	if err != nil {
		return dispatch.ClaimDecided{Request: effect.Claim.Request, Reason: contract.ReasonBadRequest, Outcome: contract.OutcomeNotRun}
	}
	if d.Verdict == claims.Run {
		k.mu.Lock()
		k.leases[effect.Claim.Request] = claims.NewLease(d, time.Now())
		k.mu.Unlock()
	}
	return claimedEvent(effect.Claim.Request, d)
}

// claimedEvent converts a decision of the claimer to an event.
func claimedEvent(request contract.RequestID, d claims.Decision) dispatch.ClaimDecided {
	ev := dispatch.ClaimDecided{Request: request, Reason: d.Verdict.Reason(), RetryAfter: d.RetryAfter}
	switch d.Verdict {
	case claims.Run:
		ev.Run = true
		ev.StartWithin = d.StartTimeout
	case claims.Replay:
		replayResult(&ev, d.Result)
	case claims.Conflict, claims.Unavailable:
		ev.Outcome = contract.OutcomeNotRun
	}
	return ev
}

// replayResult adds to the event the recorded answer of the key's earlier request, or the
// reason why there is none: the outcome is not known to be done, or the answer's body was
// not recorded.
func replayResult(ev *dispatch.ClaimDecided, result *claims.Result) {
	switch {
	case result == nil || result.Outcome != contract.OutcomeDone:
		ev.Reason = contract.ReasonKeyUnresolved
	case result.BodyOmitted:
		ev.Outcome = contract.OutcomeDone
		ev.Reason = contract.ReasonTruncatedAnswer
	default:
		ev.Replay = &dispatch.Answer{
			Status:      result.Status,
			ContentType: result.ContentType,
			Body:        result.Body,
		}
	}
}

// resolve records in the log how a request that held its key ended, and releases its
// lease.
func (k *keyClaims) resolve(ctx context.Context, effect dispatch.ResolveKey) {
	defer k.releaseLease(effect.Claim.Request)
	result := claims.Result{Outcome: effect.Outcome, Reason: effect.Reason}
	if effect.Answer != nil {
		result.Status = effect.Answer.Status
		result.ContentType = effect.Answer.ContentType
		result.Body = effect.Answer.Body
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	if err := k.claimer.Resolve(ctx, effect.Claim, result); err != nil {
		k.log.WithError(err).Warn("outcome of a keyed request is not recorded in the log yet")
	}
}

func (k *keyClaims) releaseLease(request contract.RequestID) {
	k.mu.Lock()
	delete(k.leases, request)
	k.mu.Unlock()
}

// heldKeys returns the number of keys that are held and not yet resolved.
func (k *keyClaims) heldKeys() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.leases)
}

// mayStart reports whether an attempt of a request may still be sent: the request has no
// claimed key, or its lease has not ended. It reads the clock, so it must be called
// immediately before the attempt is sent.
func (k *keyClaims) mayStart(request contract.RequestID) bool {
	k.mu.Lock()
	lease, keyed := k.leases[request]
	k.mu.Unlock()
	return !keyed || lease.MayStart(time.Now())
}
