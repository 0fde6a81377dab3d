package pieces

import (
	"crypto/sha256"
	"testing"

	"github.com/cockroachdb/errors"
)

func digestsOf(texts ...string) [][]byte {
	var list [][]byte
	for _, t := range texts {
		sum := sha256.Sum256([]byte(t))
		list = append(list, sum[:])
	}
	return list
}

func TestOnlyVerifiedPiecesAreTaken(t *testing.T) {
	s := NewSet(digestsOf("zero", "one"))
	if _, err := s.Add(0, []byte("rotten")); !errors.Is(err, ErrDigestMismatch) {
		t.Errorf("rotten piece: %v", err)
	}
	if _, err := s.Add(1, []byte("zero")); !errors.Is(err, ErrDigestMismatch) {
		t.Errorf("piece at the wrong place: %v", err)
	}
	for _, i := range []int{-1, 2} {
		if _, err := s.Add(i, []byte("zero")); !errors.Is(err, ErrIndexOutOfRange) {
			t.Errorf("piece %d: %v", i, err)
		}
	}
	if s.Count() != 0 || s.IsComplete() {
		t.Error("a refused piece is held")
	}
}

func TestWhole(t *testing.T) {
	s := NewSet(digestsOf("zero", "one"))
	grown := s.Added()
	for i, text := range []string{"zero", "one"} {
		if news, err := s.Add(i, []byte(text)); !news || err != nil {
			t.Fatalf("piece %d: %v %v", i, news, err)
		}
	}
	select {
	case <-grown:
	default:
		t.Error("nobody was told of the piece")
	}
	if news, err := s.Add(0, []byte("zero")); news || err != nil {
		t.Errorf("again: %v %v", news, err)
	}
	if !s.IsComplete() || string(s.Get(1)) != "one" {
		t.Errorf("held %d of %d", s.Count(), s.Len())
	}
}
