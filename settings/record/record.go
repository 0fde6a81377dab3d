// Package record holds the records of the log stream that carries operators'
// changes: changes, and checkpoints that stand for all records before them.
package record

import (
	"github.com/cockroachdb/errors"
	"lukechampine.com/blake3"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/cborlimit"
	"mimosastand.example/mimosastand/settings"
)

// Stream is the name of the log stream.
const Stream = "settings"

// Limits of one record.
const (
	MaxBytes   = 1 << 20
	MaxChanges = 4096
	// MaxIDBytes and MaxNoteBytes bound the free text of a change.
	MaxIDBytes   = 128
	MaxNoteBytes = 512
)

// ErrMalformed marks bytes that are no record.
var ErrMalformed = errors.New("settings: malformed record")

// Change is one operator's change of one or more keys, whole or not at all.
type Change struct {
	// ID makes a resend harmless. It is unique for each change.
	ID string `cbor:"1,keyasint"`
	// Author is the name of the operator's token.
	Author string `cbor:"2,keyasint"`
	// Base is the offset of the tree that the operator saw.
	Base    contract.Offset   `cbor:"3,keyasint"`
	Changes []settings.Change `cbor:"4,keyasint"`
	// UnixMilli is the submitter's clock, for the history only.
	UnixMilli int64  `cbor:"5,keyasint"`
	Note      string `cbor:"6,keyasint,omitempty"`
	// Intent names the operator's command if the changes follow from it and from
	// the tree, so that a resend is known again although the tree has moved on.
	Intent string `cbor:"7,keyasint,omitempty"`
}

// Sum identifies what a change is meant to do, so that a resend and another
// change with the same identifier can be told apart. Base and time are left
// out: they may differ in a resend.
func (c Change) Sum() [8]byte {
	meant := Change{Author: c.Author, Intent: c.Intent}
	if c.Intent == "" {
		meant.Changes = c.Changes
	}
	data, err := encMode.Marshal(meant)
	if err != nil {
		return [8]byte{}
	}
	full := blake3.Sum256(data)
	return [8]byte(full[:8])
}

// Digest is the hash of a checkpoint's content.
type Digest [32]byte

// Record is one record of the stream; exactly one field is set.
type Record struct {
	Change *Change `cbor:"1,keyasint,omitempty"`
	// Checkpoint is a whole checkpoint, as package checkpoint encodes it.
	Checkpoint []byte `cbor:"2,keyasint,omitempty"`
	// Mark stands for a checkpoint between peers: the receiver has the state
	// that it covers and needs only its digest.
	Mark *Digest `cbor:"3,keyasint,omitempty"`
}

const (
	maxPairs   = 64
	maxNesting = 8
)

var (
	encMode = cborlimit.NewEncMode()
	decMode = cborlimit.NewDecMode(cborlimit.Limits{MaxElements: MaxChanges, MaxPairs: maxPairs, MaxDepth: maxNesting})
)

// Encode returns the record's bytes. It fails with ErrMalformed if the record
// is over a limit.
func Encode(r Record) ([]byte, error) {
	if !r.valid() {
		return nil, ErrMalformed
	}
	data, err := encMode.Marshal(r)
	if err != nil {
		return nil, errors.Mark(err, ErrMalformed)
	}
	if len(data) > MaxBytes {
		return nil, errors.Wrapf(ErrMalformed, "%d bytes, at most %d", len(data), MaxBytes)
	}
	return data, nil
}

// Decode reads a record. It fails with ErrMalformed.
func Decode(data []byte) (Record, error) {
	var r Record
	if len(data) > MaxBytes {
		return r, errors.Wrapf(ErrMalformed, "%d bytes, at most %d", len(data), MaxBytes)
	}
	if err := decMode.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Mark(err, ErrMalformed)
	}
	if !r.valid() {
		return Record{}, errors.Wrap(ErrMalformed, "no content, or over a limit")
	}
	return r, nil
}

func (r Record) valid() bool {
	set := 0
	for _, has := range []bool{r.Change != nil, len(r.Checkpoint) > 0, r.Mark != nil} {
		if has {
			set++
		}
	}
	return set == 1 && (r.Change == nil || r.Change.valid())
}

func (c *Change) valid() bool {
	return c.ID != "" && len(c.ID) <= MaxIDBytes && len(c.Author) <= MaxIDBytes &&
		len(c.Note) <= MaxNoteBytes && len(c.Intent) <= MaxNoteBytes && len(c.Changes) > 0 && len(c.Changes) <= MaxChanges
}
