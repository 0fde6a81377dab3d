// Package checkpoint encodes the state that a prefix of the settings stream
// leads to. The encoding is a pure function of those records: every process
// that replayed them gets the same digest, so that any process may write a
// checkpoint and every other can verify it.
package checkpoint

import (
	"github.com/cockroachdb/errors"
	"lukechampine.com/blake3"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/cborlimit"
	"mimosastand.example/mimosastand/internal/deflate"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/record"
	"mimosastand.example/mimosastand/settings/tree"
)

// MaxSnapshotBytes bounds the uncompressed encoding.
const MaxSnapshotBytes = 16 << 20

// ErrMalformed marks bytes that are no checkpoint.
var ErrMalformed = errors.New("settings: malformed checkpoint")

// Outcome is what became of a change.
type Outcome uint8

// The outcomes of a change, as all processes decide them.
const (
	Accepted Outcome = iota + 1
	Conflict
	Refused
)

// Seen is what is remembered of a recent change.
type Seen struct {
	// ID is the first half of the hash of the change's identifier.
	ID      [16]byte        `cbor:"1,keyasint"`
	Sum     [8]byte         `cbor:"2,keyasint"`
	Offset  contract.Offset `cbor:"3,keyasint"`
	Outcome Outcome         `cbor:"4,keyasint"`
	// With is the change that a conflict is with.
	With contract.Offset `cbor:"5,keyasint,omitempty"`
}

// Snapshot is the state after a prefix of the stream.
type Snapshot struct {
	Tree *tree.Tree
	// Window holds the recent changes, oldest first.
	Window []Seen
	// Floor is the newest change that the window no longer holds.
	Floor contract.Offset
}

type wireEntry struct {
	Key    settings.Key    `cbor:"1,keyasint"`
	Value  string          `cbor:"2,keyasint,omitempty"`
	Offset contract.Offset `cbor:"3,keyasint"`
	Unset  bool            `cbor:"4,keyasint,omitempty"`
}

type wireNode struct {
	Scope   settings.Scope `cbor:"1,keyasint"`
	Entries []wireEntry    `cbor:"2,keyasint"`
}

type wireSnapshot struct {
	Nodes  []wireNode      `cbor:"1,keyasint"`
	Window []Seen          `cbor:"2,keyasint"`
	Floor  contract.Offset `cbor:"3,keyasint"`
}

const (
	maxElements = 1 << 20
	maxPairs    = 64
	maxNesting  = 8
)

var (
	encMode = cborlimit.NewEncMode()
	decMode = cborlimit.NewDecMode(cborlimit.Limits{MaxElements: maxElements, MaxPairs: maxPairs, MaxDepth: maxNesting})
)

func (s Snapshot) wire() wireSnapshot {
	w := wireSnapshot{Nodes: []wireNode{}, Window: s.Window, Floor: s.Floor}
	s.Tree.Each(func(scope settings.Scope, key settings.Key, e tree.Entry) {
		last := len(w.Nodes) - 1
		if last < 0 || w.Nodes[last].Scope != scope {
			w.Nodes = append(w.Nodes, wireNode{Scope: scope})
			last++
		}
		entry := wireEntry{Key: key, Value: e.Value, Offset: e.Offset, Unset: e.Unset}
		w.Nodes[last].Entries = append(w.Nodes[last].Entries, entry)
	})
	if w.Window == nil {
		w.Window = []Seen{}
	}
	return w
}

// Encode returns the compressed snapshot and the digest of its content. It
// fails with ErrMalformed if the snapshot is over MaxSnapshotBytes.
func Encode(s Snapshot) ([]byte, record.Digest, error) {
	plain, err := encMode.Marshal(s.wire())
	if err != nil || len(plain) > MaxSnapshotBytes {
		return nil, record.Digest{}, errors.Wrapf(ErrMalformed, "%d bytes: %v", len(plain), err)
	}
	return deflate.Compress(plain, deflate.Dense), blake3.Sum256(plain), nil
}

// DigestOf returns the digest of a snapshot's content.
func DigestOf(s Snapshot) record.Digest {
	plain, err := encMode.Marshal(s.wire())
	if err != nil {
		return record.Digest{}
	}
	return blake3.Sum256(plain)
}

// Digest returns the digest of an encoded snapshot without decoding it. It
// fails with ErrMalformed.
func Digest(data []byte) (record.Digest, error) {
	plain, err := inflate(data)
	if err != nil {
		return record.Digest{}, err
	}
	return blake3.Sum256(plain), nil
}

// Decode reads an encoded snapshot. It fails with ErrMalformed.
func Decode(data []byte) (Snapshot, error) {
	plain, err := inflate(data)
	if err != nil {
		return Snapshot{}, err
	}
	var w wireSnapshot
	if err := decMode.Unmarshal(plain, &w); err != nil {
		return Snapshot{}, errors.Mark(err, ErrMalformed)
	}
	s := Snapshot{Tree: tree.New(), Window: w.Window, Floor: w.Floor}
	for _, n := range w.Nodes {
		for _, e := range n.Entries {
			s.Tree.Set(settings.Change{Scope: n.Scope, Key: e.Key, Value: e.Value, Unset: e.Unset}, e.Offset)
		}
	}
	return s, nil
}

func inflate(data []byte) ([]byte, error) {
	plain, err := deflate.Decompress(data, MaxSnapshotBytes)
	if err != nil {
		return nil, errors.Mark(err, ErrMalformed)
	}
	return plain, nil
}
