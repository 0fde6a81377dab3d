package peers

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/deflate"
	"mimosastand.example/mimosastand/link"
)

const (
	// minPackedBytes is the size of a value from which on it is sent compressed.
	minPackedBytes = 16 << 10
	// maxUnpackedBytes bounds the size of all values that a peer sent compressed in one reply.
	maxUnpackedBytes = 8 << 20
	// maxPackedKeys bounds the keys whose compressed value is kept.
	maxPackedKeys = 16
)

// Packer compresses the large values of records that are sent to peers, each once however many
// peers request it. It is safe for concurrent use.
type Packer struct {
	mu     sync.Mutex
	packed map[string]packedValue
}

// packedValue is the compressed value of a key's record at an offset.
type packedValue struct {
	offset int64
	data   []byte
}

// NewPacker returns a Packer.
func NewPacker() *Packer { return &Packer{packed: map[string]packedValue{}} }

// Pack returns the records of a reply with their large values compressed, if the pull accepts that.
func (p *Packer) Pack(pull contract.RecordsPull, records []contract.Record) []contract.Record {
	isLarge := func(r contract.Record) bool { return len(r.Value) >= minPackedBytes }
	if !pull.AcceptPacked || !slices.ContainsFunc(records, isLarge) {
		return records
	}
	packed := slices.Clone(records)
	for i, r := range packed {
		if !isLarge(r) {
			continue
		}
		if data := p.dataOf(r); len(data) < len(r.Value) {
			packed[i].Value, packed[i].Packed = nil, data
		}
	}
	return packed
}

// dataOf returns the compressed value of a record. Concurrent calls compress it once.
func (p *Packer) dataOf(r contract.Record) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.packed[r.Key]; ok && known.offset == r.Offset {
		return known.data
	}
	if len(p.packed) >= maxPackedKeys {
		clear(p.packed)
	}
	data := deflate.Compress(r.Value, deflate.Fast)
	p.packed[r.Key] = packedValue{offset: r.Offset, data: data}
	return data
}

// unpack restores the compressed values of records. It fails with link.ErrFrame if one is
// malformed, or if all of them are too large.
func unpack(records []contract.Record) error {
	left := maxUnpackedBytes
	for i, r := range records {
		if len(r.Packed) == 0 {
			continue
		}
		value, err := deflate.Decompress(r.Packed, left)
		if err != nil {
			return errors.Mark(errors.Wrapf(err, "compressed record %s", r.Key), link.ErrFrame)
		}
		if len(value) == 0 {
			return errors.Wrapf(link.ErrFrame, "compressed record %s is empty", r.Key)
		}
		records[i].Value, records[i].Packed = value, nil
		left -= len(value)
	}
	return nil
}
