package swarm

import (
	"math/rand/v2"
	"testing"
	"time"
)

// asked counts by version the chunks that are asked for first.
func asked(low, high int) map[string]int {
	s := New(Config{Self: Peer{Machine: "me", Zone: "z", Region: "r"}, PerPeer: 4}, rand.New(rand.NewPCG(1, 1)))
	s.Step(0, PeersChanged{Peers: []Peer{{"a", "z", "r"}, {"b", "z", "r"}}})
	s.Step(0, DesiredVersion{Version: "v1", Chunks: 64, ChunkBytes: 1, Priority: low})
	s.Step(0, DesiredVersion{Version: "v2", Chunks: 64, ChunkBytes: 1, Priority: high})
	all := []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}
	for _, v := range s.versions {
		for _, r := range v.neighbours {
			r.have.addBytes(0, v.chunks, all, func(int) {})
		}
		v.recount(0)
	}
	out := map[string]int{}
	for _, e := range s.Step(time.Second, Tick{}) {
		if r, ok := e.(Request); ok && r.From != "" {
			out[string(r.Version)]++
		}
	}
	return out
}

func TestHigherPriorityIsDrawnFirst(t *testing.T) {
	if got := asked(1, 2); got["v2"] == 0 || got["v1"] != 0 {
		t.Errorf("%v", got)
	}
	if got := asked(2, 1); got["v1"] == 0 || got["v2"] != 0 {
		t.Errorf("%v", got)
	}
}

func FuzzBitmap(f *testing.F) {
	f.Add(uint32(0), uint16(10), []byte{1, 2, 3})
	f.Add(uint32(1<<31), uint16(1), []byte{0xff})
	f.Fuzz(func(t *testing.T, first uint32, n uint16, data []byte) {
		chunks := int(n) + 1
		b, seen := newBitmap(chunks), 0
		ok := b.addBytes(int(first), chunks, data, func(i int) {
			if i < 0 || i >= chunks {
				t.Fatalf("chunk %d of %d", i, chunks)
			}
			seen++
		})
		if !ok && seen > 0 {
			t.Fatal("a refused bitmap was used")
		}
		from, bits := b.span()
		again := newBitmap(chunks)
		if !again.addBytes(from, chunks, bits, func(int) { seen-- }) || seen != 0 {
			t.Fatal("span does not give the bitmap back")
		}
	})
}
