package swarm

import (
	"math/rand/v2"
	"testing"
	"time"
)

// requestsByVersion returns the number of chunks per version that are requested in the first
// step, if v1 has the priority low and v2 the priority high.
func requestsByVersion(low, high int) map[string]int {
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

func TestHigherPriorityVersionIsRequestedFirst(t *testing.T) {
	if got := requestsByVersion(1, 2); got["v2"] == 0 || got["v1"] != 0 {
		t.Errorf("requestsByVersion(1, 2) = %v, want only requests for v2", got)
	}
	if got := requestsByVersion(2, 1); got["v1"] == 0 || got["v2"] != 0 {
		t.Errorf("requestsByVersion(2, 1) = %v, want only requests for v1", got)
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
				t.Fatalf("addBytes() added chunk %d, want 0 to less than %d", i, chunks)
			}
			seen++
		})
		if !ok && seen > 0 {
			t.Fatal("addBytes() = false but added chunks, want none added")
		}
		from, bits := b.span()
		reencoded := newBitmap(chunks)
		if !reencoded.addBytes(from, chunks, bits, func(int) { seen-- }) || seen != 0 {
			t.Fatal("bitmap from the output of span() differs from the original bitmap")
		}
	})
}
