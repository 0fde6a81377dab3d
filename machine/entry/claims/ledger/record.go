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
	// MaxBatchBytes bounds an encoded batch; the log takes at most 1 MiB.
	MaxBatchBytes = 1 << 20
	// hashBytes is the length of keys and body hashes in records.
	hashBytes = 16
	maxDepth  = 8
	maxPairs  = 64
)

// ErrMalformed marks a record that is no valid batch.
var ErrMalformed = errors.New("ledger: malformed record")

// Key identifies an idempotency key of one team at one service.
type Key [hashBytes]byte

// Body identifies the body of a request.
type BodyHash [hashBytes]byte

// KeyOf returns the identity of a claim's key.
func KeyOf(c contract.Claim) Key {
	text := string(c.Service) + "\x00" + string(c.Team) + "\x00" + c.Key
	sum := blake3.Sum256([]byte(text))
	return Key(sum[:hashBytes])
}

// BodyOf returns the identity of a claim's body.
func BodyHashOf(c contract.Claim) BodyHash {
	sum := blake3.Sum256([]byte(c.BodyHash))
	return BodyHash(sum[:hashBytes])
}

// Kind tells what an item does.
type Kind uint8

// The kinds of item.
const (
	// KindClaim asks for a key that nobody holds.
	KindClaim Kind = iota + 1
	// KindTakeover asks for the key of a request that surely never ran.
	KindTakeover
	// KindOutcome tells how the holder of a key ended.
	KindOutcome
)

// Result is how a request ended.
type Result struct {
	Status      int    `cbor:"1,keyasint,omitempty"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	// Omitted tells that the answer's body was too long to keep: the call is
	// done, but its body can not be given again.
	BodyOmitted bool             `cbor:"4,keyasint,omitempty"`
	Outcome     contract.Outcome `cbor:"5,keyasint,omitempty"`
	Reason      contract.Reason  `cbor:"6,keyasint,omitempty"`
}

// Item is one claim, takeover or outcome.
type Item struct {
	Kind    Kind               `cbor:"1,keyasint"`
	Key     Key                `cbor:"2,keyasint"`
	Request contract.RequestID `cbor:"3,keyasint"`
	// Body is that of the request.
	BodyHash BodyHash `cbor:"4,keyasint,omitempty"`
	// Supersedes is the holder that a takeover replaces.
	Supersedes contract.RequestID `cbor:"5,keyasint,omitempty"`
	// Result is set for outcomes.
	Result *Result `cbor:"6,keyasint,omitempty"`
}

// Size returns a bound of the item's encoded size in bytes.
func (it *Item) Size() int {
	const fixed = 80
	size := fixed + len(it.Request) + len(it.Supersedes)
	if it.Result != nil {
		size += fixed + len(it.Result.ContentType) + len(it.Result.Body) + len(it.Result.Reason)
	}
	return size
}

func (it *Item) valid() bool {
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
	// Writer names one run of one process.
	Writer string `cbor:"1,keyasint"`
	// Seq counts the batches of the writer, from 1. A batch whose Seq is not
	// above all former ones of its writer has no effect, so that a batch may be
	// sent again and a late copy of it is harmless.
	Seq   uint64 `cbor:"2,keyasint"`
	Items []Item `cbor:"3,keyasint"`
}

var decoder = cborlimit.NewDecMode(cborlimit.Limits{MaxElements: MaxItems, MaxPairs: maxPairs, MaxDepth: maxDepth})

// Encode returns the bytes of a log record.
func (b *Batch) Encode() ([]byte, error) {
	data, err := cbor.Marshal(b)
	return data, errors.Wrap(err, "ledger")
}

// Decode reads a log record. It fails with ErrMalformed.
func Decode(data []byte) (*Batch, error) {
	if len(data) > MaxBatchBytes {
		return nil, errors.Wrap(ErrMalformed, "too long")
	}
	var b Batch
	if err := decoder.Unmarshal(data, &b); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "ledger"), ErrMalformed)
	}
	if b.Writer == "" || b.Seq == 0 || len(b.Items) > MaxItems {
		return nil, errors.Wrap(ErrMalformed, "no writer or sequence")
	}
	for i := range b.Items {
		if !b.Items[i].valid() {
			return nil, errors.Wrapf(ErrMalformed, "item %d", i)
		}
	}
	return &b, nil
}
