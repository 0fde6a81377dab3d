package entry

import (
	"context"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
)

// Keys decides about idempotency keys.
type Keys interface {
	// Claim decides for one request.
	Claim(ctx context.Context, claim contract.Claim) dispatch.Claimed
	// Resolve records how a request that won its key ended.
	Resolve(ctx context.Context, ended dispatch.ResolveKey)
}

// noKeys refuses every keyed call.
type noKeys struct{}

// Claim implements Keys.
func (noKeys) Claim(_ context.Context, claim contract.Claim) dispatch.Claimed {
	return dispatch.Claimed{
		Request: claim.Request,
		Reason:  contract.ReasonLogUnavailable,
		Outcome: contract.OutcomeNotRun,
	}
}

// Resolve implements Keys.
func (noKeys) Resolve(context.Context, dispatch.ResolveKey) {}
