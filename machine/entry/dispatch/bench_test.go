package dispatch

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/zone/balancer"
)

// BenchmarkRequest measures how long the state machine takes for one request: its
// arrival, the choice of a target, the Accept, the parts of the answer and the End.
func BenchmarkRequest(b *testing.B) {
	for _, targets := range []int{4, 12, 27, 100} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) { benchmarkRequest(b, targets, 60) })
	}
	b.Run("targets=27/parts=0", func(b *testing.B) { benchmarkRequest(b, 27, 0) })
}

func benchmarkRequest(b *testing.B, targets, parts int) {
	m := New(Config{Machine: "e1", Home: balancer.Place{Region: "khomas", Zone: "khomas-a"}}, rand.New(rand.NewPCG(1, 1)))
	var lines strings.Builder
	for i := range targets {
		fmt.Fprintf(&lines, "d%d target khomas-a drafts\n", i)
	}
	now := epoch
	var effects []Effect
	step := func(ev Event) { effects = m.Step(now, ev, effects[:0]) }
	step(HostsChanged{List: parseHosts(1, lines.String())})
	step(SettingsChanged{View: testView(1)})
	load := contract.Load{Limit: 16, Credits: 16, Seq: 1, Weights: newDigest}
	for i := range targets {
		id := contract.MachineID(fmt.Sprintf("d%d", i))
		step(LinkUp{Machine: id})
		step(Heartbeat{Heartbeat: contract.Heartbeat{Machine: id, Incarnation: 1, Load: &load}})
	}
	data := []byte("token ")
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		id := contract.RequestID(fmt.Sprintf("r%d", i))
		step(RequestArrived{Request: Request{ID: id, Service: "drafts", Team: "north", Kind: settings.KindModel, Timeout: time.Minute, Tokens: 60}})
		attempt := contract.AttemptID{Request: id, N: 1}
		x := m.lastExchange
		load.Seq += 2
		step(MessageReceived{x, contract.Message{Kind: contract.KindAccept, Accept: &contract.Accept{Attempt: attempt, Load: load}}})
		for p := range uint64(parts) {
			step(MessageReceived{x, contract.Message{Kind: contract.KindChunk, Chunk: &contract.Chunk{Attempt: attempt, Seq: p, At: p, Data: data}}})
		}
		load.Seq++
		step(MessageReceived{x, contract.Message{Kind: contract.KindEnd, End: &contract.End{
			Attempt: attempt, Outcome: contract.OutcomeDone, Frames: uint64(parts), Length: uint64(parts * len(data)), Weights: newDigest, Load: load,
		}}})
	}
	if m.OpenRequests() != 0 {
		b.Fatal("requests are open after their answers ended, want none")
	}
}
