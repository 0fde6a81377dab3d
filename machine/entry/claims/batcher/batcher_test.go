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

// fakeLog takes batches as a ledger does: a repeated sequence is void.
type fakeLog struct {
	seq  uint64
	seen map[contract.RequestID]int
}

func (l *fakeLog) take(b *ledger.Batch) {
	if b.Seq <= l.seq {
		return
	}
	l.seq = b.Seq
	for _, it := range b.Items {
		l.seen[it.Request]++
	}
}

// deliver adds items and ends appends at random, and returns how often each
// item took effect in the log.
func deliver(seed uint64, off mechanism) map[contract.RequestID]int {
	rng := rand.New(rand.NewPCG(seed, 1))
	b := New(testConfig, rng)
	b.off = off
	l := &fakeLog{seen: map[contract.RequestID]int{}}
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
				l.take(batch)
			}
			b.OnAppendResult(now, batch.Seq, status)
		}
		now = now.Add(10 * time.Millisecond)
	}
	for i := range items {
		l.seen[contract.RequestID(fmt.Sprint(i+1))] += 0
	}
	return l.seen
}

func onceEach(seen map[contract.RequestID]int) bool {
	for _, n := range seen {
		if n != 1 {
			return false
		}
	}
	return true
}

// TestEachItemOnce checks that every item takes effect exactly once over lost
// replies, refusals and outages.
func TestEachItemOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if seen := deliver(seed, 0); !onceEach(seen) {
			t.Fatalf("seed %d: %v", seed, seen)
		}
	})
}

func TestMechanisms(t *testing.T) {
	if onceEach(deliver(1, keepSealed)) {
		t.Error("without keepSealed every item took effect once")
	}
	for _, off := range []mechanism{0, adaptInterval} {
		sent := appendsWhileThrottled(off)
		const bound = 20
		if (sent <= bound) != (off == 0) {
			t.Errorf("adaptInterval off=%v: %d appends to a log that refuses", off != 0, sent)
		}
	}
}

// appendsWhileThrottled counts appends in 10 s to a log that refuses all.
func appendsWhileThrottled(off mechanism) int {
	b := New(testConfig, rand.New(rand.NewPCG(1, 1)))
	b.off = off
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

// TestBounds checks the bounds on waiting claims and on the size of a batch,
// and that a claim is withdrawn only while it surely is not in the log.
func TestBounds(t *testing.T) {
	b := New(testConfig, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	for i := range testConfig.MaxPendingClaims {
		if !b.Add(ledger.Item{Kind: ledger.KindClaim, Request: contract.RequestID(fmt.Sprint(i))}) {
			t.Fatalf("claim %d refused", i)
		}
	}
	if b.Add(ledger.Item{Kind: ledger.KindClaim, Request: "over"}) {
		t.Error("claim above the bound taken")
	}
	if !b.Add(ledger.Item{Kind: ledger.KindOutcome, Request: "0"}) {
		t.Error("outcome refused")
	}
	batch := b.Next(now)
	if n := len(batch.Items); n*batch.Items[0].Size() > testConfig.MaxBytes || n < 2 {
		t.Errorf("batch of %d items", n)
	}
	if b.Withdraw("0") {
		t.Error("withdrew a claim that is on its way")
	}
	b.OnAppendResult(now, batch.Seq, Uncertain)
	if b.Withdraw("0") {
		t.Error("withdrew a claim that may be in the log")
	}
	if !b.Withdraw("49") {
		t.Error("did not withdraw a claim that waits")
	}
}
