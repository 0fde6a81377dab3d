package batcher

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims/ledger"

	"pgregory.net/rapid"
)

var testConfig = Config{Writer: "w", MaxAppendRate: 100, MaxInterval: time.Second, MaxBytes: 1000, MaxPendingClaims: 50}

// fakeLog counts how often each item takes effect. Like a ledger, it ignores a batch
// whose sequence number is not higher than the last one.
type fakeLog struct {
	seq     uint64
	applied map[contract.RequestID]int
}

func (l *fakeLog) applyBatch(b *ledger.Batch) {
	if b.Seq <= l.seq {
		return
	}
	l.seq = b.Seq
	for _, it := range b.Items {
		l.applied[it.Request]++
	}
}

// deliverItems adds items and reports random results of appends. It returns how often
// each item took effect in the log.
func deliverItems(seed uint64, disabled mechanism) map[contract.RequestID]int {
	rng := rand.New(rand.NewPCG(seed, 1))
	b := New(testConfig, rng)
	b.disabled = disabled
	l := &fakeLog{applied: map[contract.RequestID]int{}}
	now := time.Unix(0, 0)
	const items, steps = 30, 3000
	added := 0
	for step := range steps {
		if added < items && rng.IntN(3) == 0 {
			added++
			b.Add(ledger.Item{Kind: ledger.KindOutcome, Request: contract.RequestID(fmt.Sprint(added))})
		}
		if batch := b.Next(now); batch != nil {
			status := Status(rng.IntN(4))
			if step > steps/2 {
				status = Appended
			}
			if status == Appended || status == Uncertain && rng.IntN(2) == 0 {
				l.applyBatch(batch)
			}
			b.OnAppendResult(now, batch.Seq, status)
		}
		now = now.Add(10 * time.Millisecond)
	}
	for i := range items {
		l.applied[contract.RequestID(fmt.Sprint(i+1))] += 0
	}
	return l.applied
}

func allAppliedOnce(applied map[contract.RequestID]int) bool {
	for _, n := range applied {
		if n != 1 {
			return false
		}
	}
	return true
}

// TestEachItemTakesEffectOnce checks that each item takes effect exactly once despite
// lost replies, refusals and outages.
func TestEachItemTakesEffectOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if applied := deliverItems(seed, 0); !allAppliedOnce(applied) {
			t.Fatalf("seed %d: items took effect %v times, want each once", seed, applied)
		}
	})
}

// TestEachMechanismIsNeeded checks that items take effect more or less than once if an
// uncertain batch is not kept, and that appends to a log that refuses them are frequent
// if the interval is not adapted.
func TestEachMechanismIsNeeded(t *testing.T) {
	if allAppliedOnce(deliverItems(1, keepUncertainBatch)) {
		t.Error("each item took effect once with keepUncertainBatch disabled, want some not once")
	}
	for _, off := range []mechanism{0, adaptInterval} {
		sent := countThrottledAppends(off)
		const bound = 20
		if (sent <= bound) != (off == 0) {
			t.Errorf("adaptInterval disabled=%v: %d appends to a log that refuses them, want at most 20 only while it is enabled", off != 0, sent)
		}
	}
}

// countThrottledAppends returns the number of appends in 10 s to a log that refuses all.
func countThrottledAppends(disabled mechanism) int {
	b := New(testConfig, rand.New(rand.NewPCG(1, 1)))
	b.disabled = disabled
	b.Add(ledger.Item{Kind: ledger.KindClaim, Request: "r"})
	sent := 0
	for now := time.Unix(0, 0); now.Before(time.Unix(10, 0)); now = now.Add(time.Millisecond) {
		if batch := b.Next(now); batch != nil {
			sent++
			b.OnAppendResult(now, batch.Seq, Throttled)
		}
	}
	return sent
}

// TestBoundsAndWithdrawal checks the bounds on queued claims and on the size of a batch,
// and that a claim can be withdrawn only while it certainly is not in the log.
func TestBoundsAndWithdrawal(t *testing.T) {
	b := New(testConfig, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	for i := range testConfig.MaxPendingClaims {
		if !b.Add(ledger.Item{Kind: ledger.KindClaim, Request: contract.RequestID(fmt.Sprint(i))}) {
			t.Fatalf("Add() of claim %d = false, want true", i)
		}
	}
	if b.Add(ledger.Item{Kind: ledger.KindClaim, Request: "over"}) {
		t.Error("Add() of a claim above the bound = true, want false")
	}
	if !b.Add(ledger.Item{Kind: ledger.KindOutcome, Request: "0"}) {
		t.Error("Add() of an outcome = false, want true")
	}
	batch := b.Next(now)
	if n := len(batch.Items); n*batch.Items[0].Size() > testConfig.MaxBytes || n < 2 {
		t.Errorf("batch has %d items, want at least 2 in at most 1000 bytes", n)
	}
	if b.Withdraw("0") {
		t.Error("Withdraw() of a claim in flight = true, want false")
	}
	b.OnAppendResult(now, batch.Seq, Uncertain)
	if b.Withdraw("0") {
		t.Error("Withdraw() of a claim that may be in the log = true, want false")
	}
	if !b.Withdraw("49") {
		t.Error("Withdraw() of a queued claim = false, want true")
	}
}
