package ledger

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"lukechampine.com/blake3"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/cborlimit"
)

const (
	// MaxItems bounds the items of one batch.
	MaxItems = 1024
	// MaxBatchBytes bounds an encoded batch: the log rejects records of more than 1 MiB.
	MaxBatchBytes = 1 << 20
	// hashBytes is the length of the hashes of keys and bodies in records.
	hashBytes = 16
	maxDepth  = 8
	maxPairs  = 64
)

// ErrMalformed marks a record that is not a valid batch.
var ErrMalformed = errors.New("ledger: malformed record")

// Key is the hash of an idempotency key, the team and the service.
type Key [hashBytes]byte

// BodyHash is the hash of a request's body.
type BodyHash [hashBytes]byte

// KeyOf returns the hash of a claim's key.
func KeyOf(c contract.Claim) Key {
	text := string(c.Service) + "\x00" + string(c.Team) + "\x00" + c.Key
	sum := blake3.Sum256([]byte(text))
	return Key(sum[:hashBytes])
}

// BodyHashOf returns the hash of a claim's body.
func BodyHashOf(c contract.Claim) BodyHash {
	sum := blake3.Sum256([]byte(c.BodyHash))
	return BodyHash(sum[:hashBytes])
}

// Kind is the kind of an item.
type Kind uint8

// The kinds of item.
const (
	// KindClaim claims a free key.
	KindClaim Kind = iota + 1
	// KindTakeover claims the key of a holder that certainly never ran.
	KindTakeover
	// KindOutcome reports how the holder of a key ended.
	KindOutcome
)

// Result is how a request ended.
type Result struct {
	Status      int    `cbor:"1,keyasint,omitempty"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	// BodyOmitted is set if the body of the answer was too long to retain: the request is
	// done, but its body cannot be returned again.
	BodyOmitted bool             `cbor:"4,keyasint,omitempty"`
	Outcome     contract.Outcome `cbor:"5,keyasint,omitempty"`
	Reason      contract.Reason  `cbor:"6,keyasint,omitempty"`
}

// Item is one claim, takeover or outcome.
type Item struct {
	Kind    Kind               `cbor:"1,keyasint"`
	Key     Key                `cbor:"2,keyasint"`
	Request contract.RequestID `cbor:"3,keyasint"`
	// BodyHash is the hash of the request's body.
	BodyHash BodyHash `cbor:"4,keyasint,omitempty"`
	// Supersedes is the holder that a takeover replaces.
	Supersedes contract.RequestID `cbor:"5,keyasint,omitempty"`
	// Result is set for outcomes.
	Result *Result `cbor:"6,keyasint,omitempty"`
}

// Size returns an upper bound of the item's encoded size in bytes.
func (it *Item) Size() int {
	const fixed = 80
	size := fixed + len(it.Request) + len(it.Supersedes)
	if it.Result != nil {
		size += fixed + len(it.Result.ContentType) + len(it.Result.Body) + len(it.Result.Reason)
	}
	return size
}

func (it *Item) isValid() bool {
	switch it.Kind {
	case KindClaim:
		return it.Request != ""
	case KindTakeover:
		return it.Request != "" && it.Supersedes != "" && it.Request != it.Supersedes
	case KindOutcome:
		return it.Request != "" && it.Result != nil && it.Result.Outcome <= contract.OutcomeDone
	default:
		return false
	}
}

// Batch is the content of one log record.
type Batch struct {
	// Writer identifies one run of one process.
	Writer string `cbor:"1,keyasint"`
	// Seq numbers the batches of the writer, from 1. A batch has no effect unless its Seq
	// is higher than all earlier ones of its writer. A batch can therefore be sent again,
	// and a late copy of it is harmless.
	Seq   uint64 `cbor:"2,keyasint"`
	Items []Item `cbor:"3,keyasint"`
}

var decMode = cborlimit.NewDecMode(cborlimit.Limits{MaxElements: MaxItems, MaxPairs: maxPairs, MaxDepth: maxDepth})

// Encode returns the batch as a log record.
func (b *Batch) Encode() ([]byte, error) {
	data, err := cbor.Marshal(b)
	return data, errors.Wrap(err, "ledger: encode record")
}

// Decode parses a log record. It returns ErrMalformed for an invalid one.
func Decode(data []byte) (*Batch, error) {
	if len(data) > MaxBatchBytes {
		return nil, errors.Wrap(ErrMalformed, "record is larger than 1 MiB")
	}
	var b Batch
	if err := decMode.Unmarshal(data, &b); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "ledger: decode record"), ErrMalformed)
	}
	if b.Writer == "" || b.Seq == 0 || len(b.Items) > MaxItems {
		return nil, errors.Wrap(ErrMalformed, "writer or sequence number is missing, or there are more than 1024 items")
	}
	for i := range b.Items {
		if !b.Items[i].isValid() {
			return nil, errors.Wrapf(ErrMalformed, "item %d is invalid", i)
		}
	}
	return &b, nil
}
