package ledger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosastand.example/mimosastand/contract"
)

// disagreement plays a random stream to a replica that reads all of it and to
// one that starts where records are lost. It returns how they come to disagree,
// if they do after the second has ceased to be short.
func disagreement(seed uint64, off mechanism) string {
	rng := rand.New(rand.NewPCG(seed, 3))
	config := Config{Window: 20 * time.Second, MaxResultBytes: 1 << 20}
	whole, late := New(config, 0), New(config, contract.Offset(1+rng.IntN(30)))
	whole.off, late.off = off, off
	at := time.Unix(0, 0)
	for offset := contract.Offset(1); offset <= 120; offset++ {
		at = at.Add(time.Duration(rng.IntN(5000)) * time.Millisecond)
		b := &Batch{Writer: "w", Seq: uint64(offset), Items: []Item{randomItem(rng, whole, int(offset))}}
		data, _ := b.Encode()
		_, _ = whole.Apply(offset, at, data, at)
		if offset != late.Applied()+1 {
			continue
		}
		_, _ = late.Apply(offset, at, data, at)
		for i := range 2 {
			if text := compare(whole, late, keyNamed(fmt.Sprint(i))); text != "" && !late.IsHistoryIncomplete() {
				return fmt.Sprintf("offset %d, key %d: %s", offset, i, text)
			}
		}
	}
	return ""
}

// randomItem makes an item that some process may send: outcomes "done" come
// from true holders alone.
func randomItem(rng *rand.Rand, whole *Ledger, n int) Item {
	it := Item{Kind: KindClaim, Key: keyNamed(fmt.Sprint(rng.IntN(2))), Request: contract.RequestID(fmt.Sprint(n))}
	h, held := whole.Lookup(it.Key)
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

// compare returns what is wrong with a late replica's view of a key. It may
// hold a key in doubt that is free, but never the other way round.
func compare(whole, late *Ledger, key Key) string {
	a, held := whole.Lookup(key)
	b, lateHeld := late.Lookup(key)
	switch {
	case held && !lateHeld:
		return fmt.Sprintf("free, but %s holds it", a.Request)
	case lateHeld && !b.Unconfirmed && (!held || a.Request != b.Request):
		return fmt.Sprintf("held by %s, but in truth by %q", b.Request, a.Request)
	default:
		return ""
	}
}

func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if text := disagreement(seed, 0); text != "" {
			t.Fatalf("seed %d: %s", seed, text)
		}
	})
	for name, off := range map[string]mechanism{"refresh": refresh, "doubt": doubt} {
		if !disagreesWithout(off) {
			t.Errorf("replicas agree without %s", name)
		}
	}
}

func disagreesWithout(off mechanism) bool {
	for seed := range uint64(2000) {
		if disagreement(seed, off) != "" {
			return true
		}
	}
	return false
}
