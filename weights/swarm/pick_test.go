package swarm

import (
	"math/rand/v2"
	"testing"
	"time"
)

// firstRequestedChunk returns the first chunk that is requested if one neighbour holds the
// chunks 0 to 199 and another one all of these except 150.
func firstRequestedChunk(seed uint64, off mechanism) int {
	s := New(Config{Self: Peer{Machine: "me", Zone: "z", Region: "r"}, Downloads: 1}, rand.New(rand.NewPCG(seed, 1)))
	s.disabled = off
	s.Step(0, PeersChanged{Peers: []Peer{{"a", "z", "r"}, {"b", "z", "r"}}})
	s.Step(0, DesiredVersion{Version: "v", Chunks: 1000, ChunkBytes: 1})
	all := make([]byte, 25)
	for i := range all {
		all[i] = 0xff
	}
	most := append([]byte(nil), all...)
	most[150/8] &^= 1 << (150 % 8)
	s.now = time.Second
	v := s.versions[0]
	for name, bits := range map[string][]byte{"a": all, "b": most} {
		r := v.findHoldings(v.neighbours, s.byName[s.peers[0].Machine])
		if name == "b" {
			r = v.findHoldings(v.neighbours, s.byName[s.peers[1].Machine])
		}
		r.have.addBytes(0, v.chunks, bits, func(int) {})
	}
	v.recount(s.now)
	for _, e := range s.Step(2*time.Second, Tick{}) {
		if req, ok := e.(Request); ok && req.From != "" {
			return req.Index
		}
	}
	return -1
}

func TestRarestChunkIsRequestedFirst(t *testing.T) {
	others := 0
	for seed := range uint64(50) {
		if got := firstRequestedChunk(seed, 0); got != 150 {
			t.Fatalf("seed %d: first requested chunk = %d, want 150", seed, got)
		}
		if firstRequestedChunk(seed, mechRarest) != 150 {
			others++
		}
	}
	if others == 0 {
		t.Error("first requested chunk = 150 for all 50 seeds with rarest-first disabled, want others too")
	}
}

func TestInvalidEventsAreCountedAndIgnored(t *testing.T) {
	s := New(Config{Self: Peer{Machine: "me", Zone: "z", Region: "r"}}, rand.New(rand.NewPCG(1, 1)))
	s.Step(0, PeersChanged{Peers: []Peer{{"a", "z", "r"}}})
	s.Step(0, DesiredVersion{Version: "v", Chunks: 10, ChunkBytes: 1})
	for name, c := range map[string]struct {
		ev   Event
		note NoteKind
	}{
		"bits past the end":            {HaveReceived{From: "a", Version: "v", Bitmap: []byte{0, 0xff}}, NoteBadHave},
		"offset past the end":          {HaveReceived{From: "a", Version: "v", First: 1 << 40, Bitmap: []byte{1}}, NoteBadHave},
		"chunk that was not requested": {ChunkVerified{Download{Version: "v", Index: 9, From: "a"}}, NoteUnrequested},
		"chunk out of range":           {ChunkVerified{Download{Version: "v", Index: -1, From: "a"}}, NoteUnrequested},
		"request out of range":         {RequestReceived{Upload{Version: "v", Index: 10, To: "a"}}, NoteBadRequest},
		"request for unknown version":  {RequestReceived{Upload{Version: "w", Index: 0, To: "a"}}, NoteBadRequest},
	} {
		counted := false
		for _, e := range s.Step(time.Second, c.ev) {
			n, ok := e.(Note)
			counted = counted || ok && n.Kind == c.note
		}
		if !counted || s.Held("v") != 0 {
			t.Errorf("%s: counted = %v, held = %d; want true and 0", name, counted, s.Held("v"))
		}
	}
	if s.Step(2*time.Second, HaveReceived{From: "nobody", Version: "v", Bitmap: []byte{1}}); s.versions[0].regionHeld.has(0) {
		t.Error("a Have of an unlisted peer marks chunk 0 as held in the region, want it ignored")
	}
}
