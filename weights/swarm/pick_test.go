package swarm

import (
	"math/rand/v2"
	"testing"
	"time"
)

// pickFirst returns the first chunk asked for when one neighbour holds chunks 0
// to 200, another one all of these but chunk 150.
func pickFirst(seed uint64, off mechanism) int {
	s := New(Config{Self: Peer{Machine: "me", Zone: "z", Region: "r"}, Downloads: 1}, rand.New(rand.NewPCG(seed, 1)))
	s.off = off
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
		r := v.find(v.neighbours, s.byName[s.peers[0].Machine])
		if name == "b" {
			r = v.find(v.neighbours, s.byName[s.peers[1].Machine])
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

func TestRareChunksGoFirst(t *testing.T) {
	others := 0
	for seed := range uint64(50) {
		if got := pickFirst(seed, 0); got != 150 {
			t.Fatalf("seed %d: chunk %d asked for first", seed, got)
		}
		if pickFirst(seed, mechRarest) != 150 {
			others++
		}
	}
	if others == 0 {
		t.Error("the rare chunk went first without the mechanism as well")
	}
}

func TestBadInputIsCountedAndIgnored(t *testing.T) {
	s := New(Config{Self: Peer{Machine: "me", Zone: "z", Region: "r"}}, rand.New(rand.NewPCG(1, 1)))
	s.Step(0, PeersChanged{Peers: []Peer{{"a", "z", "r"}}})
	s.Step(0, DesiredVersion{Version: "v", Chunks: 10, ChunkBytes: 1})
	for name, c := range map[string]struct {
		ev   Event
		note NoteKind
	}{
		"bits past the end":       {HaveReceived{From: "a", Version: "v", Bitmap: []byte{0, 0xff}}, NoteBadHave},
		"offset past the end":     {HaveReceived{From: "a", Version: "v", First: 1 << 40, Bitmap: []byte{1}}, NoteBadHave},
		"chunk that nobody asked": {ChunkVerified{Download{Version: "v", Index: 9, From: "a"}}, NoteUnrequested},
		"chunk out of range":      {ChunkVerified{Download{Version: "v", Index: -1, From: "a"}}, NoteUnrequested},
		"request out of range":    {RequestReceived{Upload{Version: "v", Index: 10, To: "a"}}, NoteBadRequest},
		"request of unknown":      {RequestReceived{Upload{Version: "w", Index: 0, To: "a"}}, NoteBadRequest},
	} {
		counted := false
		for _, e := range s.Step(time.Second, c.ev) {
			n, ok := e.(Note)
			counted = counted || ok && n.Kind == c.note
		}
		if !counted || s.Held("v") != 0 {
			t.Errorf("%s: counted %v, held %d", name, counted, s.Held("v"))
		}
	}
	if s.Step(2*time.Second, HaveReceived{From: "nobody", Version: "v", Bitmap: []byte{1}}); s.versions[0].seen.has(0) {
		t.Error("a stranger's word counts")
	}
}
