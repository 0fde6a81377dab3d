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

func newSet(t *testing.T, texts ...string) *Set {
	t.Helper()
	s, err := NewSet(digestsOf(texts...), len(texts))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against pieces that nobody verifies or stages (WHOLE, inc2): a set of no digests was complete at
// once, and one of too few was complete although the model has more pieces.
func TestInvalidDigestsAreRefused(t *testing.T) {
	for name, digests := range map[string][][]byte{
		"none":      {},
		"too few":   digestsOf("zero"),
		"too many":  digestsOf("zero", "one", "two"),
		"cut off":   {digestsOf("zero")[0], digestsOf("one")[0][:31]},
		"too long":  {digestsOf("zero")[0], append(digestsOf("one")[0], 0)},
		"empty one": {digestsOf("zero")[0], nil},
	} {
		if s, err := NewSet(digests, 2); s != nil || !errors.Is(err, ErrInvalidDigests) {
			t.Errorf("%s: NewSet() = %v, %v, want ErrInvalidDigests", name, s, err)
		}
	}
	if _, err := NewSet(nil, 0); !errors.Is(err, ErrInvalidDigests) {
		t.Errorf("none, while the number of pieces is not known: NewSet() error = %v, want ErrInvalidDigests", err)
	}
	if s, err := NewSet(digestsOf("zero"), 0); err != nil || s.Len() != 1 {
		t.Errorf("one, while the number of pieces is not known: NewSet() error = %v, want none", err)
	}
}

func TestAddAcceptsOnlyVerifiedPieces(t *testing.T) {
	s := newSet(t, "zero", "one")
	if _, err := s.Add(0, []byte("corrupt")); !errors.Is(err, ErrDigestMismatch) {
		t.Errorf("corrupt piece: Add() error = %v, want ErrDigestMismatch", err)
	}
	if _, err := s.Add(1, []byte("zero")); !errors.Is(err, ErrDigestMismatch) {
		t.Errorf("piece 0 added as piece 1: Add() error = %v, want ErrDigestMismatch", err)
	}
	for _, i := range []int{-1, 2} {
		if _, err := s.Add(i, []byte("zero")); !errors.Is(err, ErrIndexOutOfRange) {
			t.Errorf("piece %d of 2: Add() error = %v, want ErrIndexOutOfRange", i, err)
		}
	}
	if s.Count() != 0 || s.IsComplete() {
		t.Error("set holds a rejected piece, want none held")
	}
}

func TestSetBecomesComplete(t *testing.T) {
	s := newSet(t, "zero", "one")
	added := s.Added()
	for i, text := range []string{"zero", "one"} {
		if isNew, err := s.Add(i, []byte(text)); !isNew || err != nil {
			t.Fatalf("piece %d: Add() = %v, %v, want true, nil", i, isNew, err)
		}
	}
	select {
	case <-added:
	default:
		t.Error("channel of Added() is open after a piece was added, want it closed")
	}
	if isNew, err := s.Add(0, []byte("zero")); isNew || err != nil {
		t.Errorf("piece 0 added twice: Add() = %v, %v, want false, nil", isNew, err)
	}
	if !s.IsComplete() || string(s.Get(1)) != "one" {
		t.Errorf("%d of %d pieces held, want all, with \"one\" as piece 1", s.Count(), s.Len())
	}
}

// Guards against a version that stays incomplete because of a corrupt digest, and against pieces of another
// version (WHOLE, inc2): a list takes the place of another only where no piece contradicts it.
func TestOnlyDigestsWithoutPieceAreCorrected(t *testing.T) {
	texts := []string{"zero", "one", "two"}
	sound, corrupt := digestsOf(texts...), digestsOf("zero", "corrupt", "two")
	for name, c := range map[string]struct {
		held, sender [][]byte
		heldPiece    string
		want         bool
	}{
		"corrupt digest in the set":         {corrupt, sound, "zero", true},
		"sender's digest is corrupt":        {sound, corrupt, "zero", true},
		"sender's list of another version":  {corrupt, digestsOf("other", "one", "two"), "zero", false},
		"sender's list is shorter":          {corrupt, sound[:2], "zero", false},
		"neither list has the piece":        {corrupt, corrupt, "zero", false},
		"nothing held, all digests corrupt": {digestsOf("a", "b", "c"), sound, "", true},
	} {
		s, err := NewSet(c.held, len(texts))
		if err != nil {
			t.Fatal(err)
		}
		if c.heldPiece != "" {
			if _, err := s.Add(0, []byte(c.heldPiece)); err != nil {
				t.Fatal(err)
			}
		}
		if isNew, err := s.AddFrom(c.sender, 1, []byte("one")); isNew != c.want || (err == nil) != c.want {
			t.Errorf("%s: AddFrom() = %v, %v, want %v", name, isNew, err, c.want)
		}
	}
}
