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

// resolveTimeout bounds the wait for an outcome to get into the log; the
// claimer goes on with it after that.
const resolveTimeout = 5 * time.Second

// claimShare is the part of the time until the caller's deadline, in percent,
// that a claim may take, so that the caller hears why it was refused.
const claimShare = 90

// keys joins the state machine to the claimer of idempotency keys.
type keys struct {
	claimer claims.Claimer
	log     log.Interface

	mu     sync.Mutex
	leases map[contract.RequestID]claims.Lease
}

func newKeys(claimer claims.Claimer, logger log.Interface) *keys {
	return &keys{claimer: claimer, log: logger, leases: map[contract.RequestID]claims.Lease{}}
}

// claim decides for one request.
func (k *keys) claim(ctx context.Context, ask dispatch.ClaimKey) dispatch.ClaimDecided {
	ctx, cancel := context.WithTimeout(ctx, ask.Timeout*claimShare/100)
	defer cancel()
	d, err := k.claimer.Claim(ctx, ask.Claim)
	if err != nil {
		return dispatch.ClaimDecided{Request: ask.Claim.Request, Reason: contract.ReasonBadRequest, Outcome: contract.OutcomeNotRun}
	}
	if d.Verdict == claims.Run {
		k.mu.Lock()
		k.leases[ask.Claim.Request] = claims.NewLease(d, time.Now())
		k.mu.Unlock()
	}
	return decision(ask.Claim.Request, d)
}

// decision turns a decision of the claimer into an event.
func decision(request contract.RequestID, d claims.Decision) dispatch.ClaimDecided {
	ev := dispatch.ClaimDecided{Request: request, Reason: d.Verdict.Reason(), RetryAfter: d.RetryAfter}
	switch d.Verdict {
	case claims.Run:
		ev.Run = true
		ev.StartWithin = d.StartTimeout
	case claims.Replay:
		replay(&ev, d.Result)
	case claims.Conflict, claims.Unavailable:
		ev.Outcome = contract.OutcomeNotRun
	}
	return ev
}

// replay gives the kept answer, or tells that the call is done but its answer
// is not kept.
func replay(ev *dispatch.ClaimDecided, result *claims.Result) {
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

// resolve records how a request that won its key ended.
func (k *keys) resolve(ctx context.Context, ended dispatch.ResolveKey) {
	defer k.release(ended.Claim.Request)
	result := claims.Result{Outcome: ended.Outcome, Reason: ended.Reason}
	if ended.Answer != nil {
		result.Status = ended.Answer.Status
		result.ContentType = ended.Answer.ContentType
		result.Body = ended.Answer.Body
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	if err := k.claimer.Resolve(ctx, ended.Claim, result); err != nil {
		k.log.WithError(err).Warn("The outcome of a keyed request is not in the log yet.")
	}
}

func (k *keys) release(request contract.RequestID) {
	k.mu.Lock()
	delete(k.leases, request)
	k.mu.Unlock()
}

// held is the number of keys that are won and not yet resolved.
func (k *keys) held() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.leases)
}

// mayStart reports whether an attempt of a request may still be sent; it looks
// at the clock just before the bytes go out.
func (k *keys) mayStart(request contract.RequestID) bool {
	k.mu.Lock()
	lease, keyed := k.leases[request]
	k.mu.Unlock()
	return !keyed || lease.MayStart(time.Now())
}
