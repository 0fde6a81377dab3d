package replay

import (
	"github.com/cockroachdb/errors"
	"lukechampine.com/blake3"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/checkpoint"
	"mimosastand.example/mimosastand/settings/record"
	"mimosastand.example/mimosastand/settings/schema"
	"mimosastand.example/mimosastand/settings/tree"
)

// WindowRecords is how many changes are remembered by their identifiers.
const WindowRecords = 4096

// ErrGap marks a record that does not follow the last one.
var ErrGap = errors.New("settings: record out of order")

// mechanism is a bit set of mechanisms that tests switch off.
type mechanism uint8

const (
	duplicateCheck mechanism = 1 << iota
	conflictCheck
	wholeRecord
	checkpointCheck
	baseCheck
)

// State is the tree after a prefix of the stream, with what is needed to decide
// the next record.
type State struct {
	offset contract.Offset
	tree   *tree.Tree
	window []checkpoint.Seen
	// head is the index of the window's oldest entry once the window is full.
	head   int
	byID   map[[16]byte]int
	floor  contract.Offset
	marks  []mark
	digest *record.Digest
	off    mechanism
}

// mark remembers a removed value until it leaves the window.
type mark struct {
	change settings.Change
	offset contract.Offset
}

// New returns the state before the first record.
func New() *State {
	return &State{tree: tree.New(), byID: map[[16]byte]int{}}
}

// Restore returns the state that a snapshot at an offset stands for.
func Restore(s checkpoint.Snapshot, offset contract.Offset) *State {
	st := &State{offset: offset, tree: s.Tree, byID: map[[16]byte]int{}, floor: s.Floor}
	for _, seen := range s.Window {
		st.remember(seen)
	}
	st.floor = s.Floor
	s.Tree.Each(func(scope settings.Scope, key settings.Key, e tree.Entry) {
		if e.Unset {
			st.marks = append(st.marks, mark{settings.Change{Scope: scope, Key: key}, e.Offset})
		}
	})
	return st
}

// Offset returns the offset of the last record applied.
func (s *State) Offset() contract.Offset {
	return s.offset
}

// View returns an immutable view of the tree.
func (s *State) View() *tree.View {
	return tree.NewView(s.tree.Snapshot(), s.offset)
}

// Snapshot returns what a checkpoint after the last record holds.
func (s *State) Snapshot() checkpoint.Snapshot {
	window := append(append([]checkpoint.Seen(nil), s.window[s.head:]...), s.window[:s.head]...)
	return checkpoint.Snapshot{Tree: s.tree.Snapshot(), Window: window, Floor: s.floor}
}

// Digest returns the digest of the checkpoint after the last record.
func (s *State) Digest() record.Digest {
	if s.digest == nil {
		d := checkpoint.DigestOf(s.Snapshot())
		s.digest = &d
	}
	return *s.digest
}

// Seen returns what is remembered of the change with an identifier.
func (s *State) Seen(id string) (checkpoint.Seen, bool) {
	i, ok := s.byID[idHash(id)]
	if !ok {
		return checkpoint.Seen{}, false
	}
	return s.window[i], true
}

func idHash(id string) [16]byte {
	full := blake3.Sum256([]byte(id))
	return [16]byte(full[:16])
}

// remember puts a change into the window; the oldest one leaves a full window.
func (s *State) remember(seen checkpoint.Seen) {
	if len(s.window) < WindowRecords {
		s.byID[seen.ID] = len(s.window)
		s.window = append(s.window, seen)
		return
	}
	old := s.window[s.head]
	delete(s.byID, old.ID)
	s.floor = old.Offset
	s.window[s.head] = seen
	s.byID[seen.ID] = s.head
	s.head = (s.head + 1) % WindowRecords
	s.forgetMarks()
}

// forgetMarks drops the marks of values that were removed below the floor.
func (s *State) forgetMarks() {
	kept := s.marks[:0]
	for _, m := range s.marks {
		if m.offset > s.floor {
			kept = append(kept, m)
			continue
		}
		s.tree.Forget(m.change, s.floor+1)
	}
	s.marks = kept
}

// set applies one checked change.
func (s *State) set(c settings.Change, offset contract.Offset) {
	s.tree.Set(c, offset)
	if c.Unset {
		s.marks = append(s.marks, mark{settings.Change{Scope: c.Scope, Key: c.Key}, offset})
	}
}

// Check returns what Apply would decide about a change appended next, without
// applying it.
func (s *State) Check(c record.Change) Decision {
	d, _ := s.decide(c, s.offset+1)
	return d
}

// Apply decides the record at an offset and applies it. It fails with ErrGap if
// the offset does not follow the last one.
func (s *State) Apply(offset contract.Offset, data []byte) (Decision, error) {
	if offset != s.offset+1 {
		return Decision{}, errors.Wrapf(ErrGap, "offset %d after %d", offset, s.offset)
	}
	d := s.apply(offset, data)
	s.offset = offset
	return d, nil
}

func (s *State) apply(offset contract.Offset, data []byte) Decision {
	r, err := record.Decode(data)
	switch {
	case err != nil:
		return Decision{Offset: offset, Outcome: Malformed}
	case r.Change != nil:
		return s.applyChange(offset, *r.Change)
	case r.Mark != nil:
		return s.verify(offset, *r.Mark)
	default:
		digest, err := checkpoint.Digest(r.Checkpoint)
		if err != nil {
			return Decision{Offset: offset, Outcome: Malformed}
		}
		return s.verify(offset, digest)
	}
}

func (s *State) verify(offset contract.Offset, digest record.Digest) Decision {
	d := Decision{Offset: offset, Outcome: CheckpointConfirmed}
	if s.off&checkpointCheck == 0 && digest != s.Digest() {
		d.Outcome = CheckpointRefused
	}
	return d
}

func (s *State) applyChange(offset contract.Offset, c record.Change) Decision {
	d, checked := s.decide(c, offset)
	if d.Outcome == Duplicate || d.Outcome == IdentifierReused {
		return d
	}
	s.digest = nil
	switch {
	case d.Outcome == Accepted:
		s.setAll(checked, offset)
	case s.off&wholeRecord != 0:
		s.setAll(s.unopposed(c, checked), offset)
	}
	s.remember(d.seen(c))
	return d
}

func (s *State) setAll(changes []settings.Change, offset contract.Offset) {
	for _, c := range changes {
		s.set(c, offset)
	}
}

// unopposed lists the valid changes without a conflict; it serves only tests
// that switch wholeRecord off.
func (s *State) unopposed(c record.Change, checked []settings.Change) []settings.Change {
	var list []settings.Change
	for _, one := range checked {
		_, err := schema.Check(one)
		if e, _ := s.tree.At(one.Scope, one.Key); err == nil && e.Offset <= c.Base {
			list = append(list, one)
		}
	}
	return list
}
