package ledger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosastand.example/mimosastand/contract"
)

// disagreement applies a random stream to a replica that reads all of it and to a replica
// that starts after lost records. It returns how their views of a key differ once the
// history of the second is complete, or "" if they agree.
func disagreement(seed uint64, disabled mechanism) string {
	rng := rand.New(rand.NewPCG(seed, 3))
	config := Config{Window: 20 * time.Second, MaxResultBytes: 1 << 20}
	complete, partial := New(config, 0), New(config, contract.Offset(1+rng.IntN(30)))
	complete.disabled, partial.disabled = disabled, disabled
	now := time.Unix(0, 0)
	for offset := contract.Offset(1); offset <= 120; offset++ {
		now = now.Add(time.Duration(rng.IntN(5000)) * time.Millisecond)
		b := &Batch{Writer: "w", Seq: uint64(offset), Items: []Item{randomItem(rng, complete, int(offset))}}
		data, _ := b.Encode()
		_, _ = complete.Apply(offset, now, data, now)
		if offset != partial.Applied()+1 {
			continue
		}
		_, _ = partial.Apply(offset, now, data, now)
		for i := range 2 {
			if difference := compareKey(complete, partial, keyNamed(fmt.Sprint(i))); difference != "" && !partial.IsHistoryIncomplete() {
				return fmt.Sprintf("offset %d, key %d: %s", offset, i, difference)
			}
		}
	}
	return ""
}

// randomItem returns an item that some process may append: only true holders report
// "done".
func randomItem(rng *rand.Rand, complete *Ledger, n int) Item {
	it := Item{Kind: KindClaim, Key: keyNamed(fmt.Sprint(rng.IntN(2))), Request: contract.RequestID(fmt.Sprint(n))}
	h, held := complete.Lookup(it.Key)
	if !held || rng.IntN(3) == 0 {
		return it
	}
	switch rng.IntN(5) {
	case 0:
		it.Kind, it.Supersedes = KindTakeover, h.Request
	case 1:
		it.Kind, it.Request, it.Result = KindOutcome, h.Request, &Result{Outcome: contract.OutcomeDone}
	case 2:
		it.Kind, it.Request, it.Result = KindOutcome, h.Request, &Result{Outcome: contract.OutcomeNotRun}
	}
	return it
}

// compareKey returns how the partial replica's view of a key is wrong, or "". It may have
// an unconfirmed holder for a key that is free, but must not show a held key as free.
func compareKey(complete, partial *Ledger, key Key) string {
	a, held := complete.Lookup(key)
	b, partialHeld := partial.Lookup(key)
	switch {
	case held && !partialHeld:
		return fmt.Sprintf("free in the partial replica, but held by %s", a.Request)
	case partialHeld && !b.Unconfirmed && (!held || a.Request != b.Request):
		return fmt.Sprintf("held by %s in the partial replica, but by %q in the complete one", b.Request, a.Request)
	default:
		return ""
	}
}

// TestReplicasAgree checks that replicas agree on the holder of a key once the history of
// both is complete, and that they disagree if one of the rules behind this is switched
// off.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if text := disagreement(seed, 0); text != "" {
			t.Fatalf("seed %d: %s", seed, text)
		}
	})
	for name, off := range map[string]mechanism{"windowRestart": windowRestart, "unconfirmedHolders": unconfirmedHolders} {
		if !disagreesWithout(off) {
			t.Errorf("replicas agree with %s disabled, want a disagreement", name)
		}
	}
}

func disagreesWithout(disabled mechanism) bool {
	for seed := range uint64(2000) {
		if disagreement(seed, disabled) != "" {
			return true
		}
	}
	return false
}
