package gate

import (
	"fmt"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/coldstart"
)

// benchGate returns a warm gate with room for limit units.
func benchGate(b *testing.B, limit int) (*Gate, time.Time) {
	b.Helper()
	g := newGate(testConfig(), 0)
	limits := testLimits
	limits.WarmLimit, limits.SlowStart = limit, 0
	g.Step(epoch, Configured{Settings{Ready: true, Limits: limits}})
	now := epoch.Add(time.Second)
	for seq := range uint64(2) {
		g.Step(now, Reported{coldstart.Report{Boot: "b", Seq: seq + 1, Digest: "d1", Warm: true, Limit: limit}})
	}
	return g, now
}

func benchStarts(n int) []contract.Start {
	starts := make([]contract.Start, n)
	for i := range starts {
		starts[i] = contract.Start{
			Attempt: contract.AttemptID{Request: contract.RequestID(fmt.Sprintf("entry-1-1p2q3r-%d", i)), N: 1},
			Service: "s", Remaining: 10 * time.Second, Weights: "d1", Idempotent: true,
		}
	}
	return starts
}

// BenchmarkAttempt measures all steps of one attempt that is accepted at once.
func BenchmarkAttempt(b *testing.B) {
	g, now := benchGate(b, 16)
	starts := benchStarts(b.N)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range starts {
		id := starts[i].Attempt
		now = now.Add(10 * time.Millisecond)
		g.Step(now, Arrived{From: "e1", Start: starts[i]})
		g.Step(now, FirstToken{id})
		g.Step(now, Ended{Attempt: id, Outcome: contract.OutcomeDone, Weights: "d1"})
		if i%64 == 0 {
			g.Step(now, Tick{})
		}
	}
}

// BenchmarkRefusal measures the refusal of an attempt by a full target.
func BenchmarkRefusal(b *testing.B) {
	g, now := benchGate(b, 1)
	g.Step(now, Arrived{From: "e1", Start: benchStarts(1)[0]})
	g.cfg.MaxQueue = 0
	starts := benchStarts(b.N + 1)[1:]
	b.ReportAllocs()
	b.ResetTimer()
	for i := range starts {
		now = now.Add(time.Millisecond)
		g.Step(now, Arrived{From: "e1", Start: starts[i]})
		if i%64 == 0 {
			g.Step(now, Tick{})
		}
	}
}

// BenchmarkTick measures a tick while units run.
func BenchmarkTick(b *testing.B) {
	for _, running := range []int{16, 256} {
		b.Run(fmt.Sprint(running), func(b *testing.B) {
			g, now := benchGate(b, running)
			for _, s := range benchStarts(running) {
				g.Step(now, Arrived{From: "e1", Start: s})
			}
			b.ReportAllocs()
			for b.Loop() {
				g.Step(now, Tick{})
				g.NextWake()
			}
		})
	}
}
