package weights

import (
	"github.com/cockroachdb/errors"
	"lukechampine.com/blake3"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/cborlimit"
)

// Limits of a manifest. The chunk limit leaves room for a frame's other fields
// under the largest frame of a link.
const (
	MinChunkBytes = 1 << 10
	MaxChunkBytes = 1 << 20
	MaxChunks     = 1 << 20
	MaxNameBytes  = 256
	// MaxManifestBytes bounds an encoded manifest.
	MaxManifestBytes = MaxChunks*sumBytes + 4<<10

	// DefaultChunkBytes is the chunk size of a version published without one.
	DefaultChunkBytes = 512 << 10

	sumBytes = 32
)

// Manifest describes one version of weights.
type Manifest struct {
	// Name is the operators' name of the version, such as "drafting-7b-v3".
	Name string
	// ChunkBytes is the size of every chunk but the last, which may be shorter.
	ChunkBytes uint32
	// TotalBytes is the size of the whole version.
	TotalBytes uint64
	// sums holds the BLAKE3 hashes of the chunks, one after the other.
	sums []byte
}

// wireManifest is the encoded form of a Manifest.
type wireManifest struct {
	Name       string `cbor:"1,keyasint"`
	ChunkBytes uint32 `cbor:"2,keyasint"`
	TotalBytes uint64 `cbor:"3,keyasint"`
	Sums       []byte `cbor:"4,keyasint"`
}

// manifestLimits are tight: a manifest is one map of four scalars.
var manifestLimits = cborlimit.Limits{MaxElements: 16, MaxPairs: 16, MaxDepth: 4, DisallowUnknownFields: true}

var (
	manifestEnc = cborlimit.NewEncMode()
	manifestDec = cborlimit.NewDecMode(manifestLimits)
)

// Chunks returns the number of chunks.
func (m *Manifest) Chunks() int {
	return len(m.sums) / sumBytes
}

// Chunk returns the digest of chunk i, which must exist.
func (m *Manifest) Chunk(i int) contract.Digest {
	return contract.NewDigest([sumBytes]byte(m.sum(i)))
}

// ChunkSize returns the length of chunk i in bytes; i must exist.
func (m *Manifest) ChunkSize(i int) int {
	if i < m.Chunks()-1 {
		return int(m.ChunkBytes)
	}
	return int(m.TotalBytes - uint64(m.Chunks()-1)*uint64(m.ChunkBytes))
}

func (m *Manifest) sum(i int) []byte {
	return m.sums[i*sumBytes : (i+1)*sumBytes]
}

// Verify checks that data is chunk i. It fails with ErrChunkIndex, ErrChunkSize
// or ErrChunkDigest.
func (m *Manifest) Verify(i int, data []byte) error {
	if i < 0 || i >= m.Chunks() {
		return errors.Wrapf(ErrChunkIndex, "chunk %d of %d", i, m.Chunks())
	}
	if len(data) != m.ChunkSize(i) {
		return errors.Wrapf(ErrChunkSize, "chunk %d has %d bytes, want %d", i, len(data), m.ChunkSize(i))
	}
	if sum := blake3.Sum256(data); string(sum[:]) != string(m.sum(i)) {
		return errors.Wrapf(ErrChunkDigest, "chunk %d", i)
	}
	return nil
}

// Encode returns the manifest's only encoding and its digest, which names the
// version.
func (m *Manifest) Encode() ([]byte, contract.Digest, error) {
	w := wireManifest{Name: m.Name, ChunkBytes: m.ChunkBytes, TotalBytes: m.TotalBytes, Sums: m.sums}
	if err := w.check(); err != nil {
		return nil, "", err
	}
	data, err := manifestEnc.Marshal(w)
	if err != nil {
		return nil, "", errors.Mark(err, ErrManifest)
	}
	return data, contract.NewDigest(blake3.Sum256(data)), nil
}

// DecodeManifest decodes data and checks that it is the version that want
// names. It fails with ErrManifestDigest or ErrManifest.
func DecodeManifest(data []byte, want contract.Digest) (*Manifest, error) {
	if len(data) > MaxManifestBytes {
		return nil, errors.Wrapf(ErrManifest, "%d bytes, at most %d", len(data), MaxManifestBytes)
	}
	if got := contract.NewDigest(blake3.Sum256(data)); got != want {
		return nil, errors.Wrapf(ErrManifestDigest, "%s, want %s", got.Short(), want.Short())
	}
	var w wireManifest
	if err := manifestDec.Unmarshal(data, &w); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode"), ErrManifest)
	}
	if err := w.check(); err != nil {
		return nil, err
	}
	return &Manifest{Name: w.Name, ChunkBytes: w.ChunkBytes, TotalBytes: w.TotalBytes, sums: w.Sums}, nil
}

func (w *wireManifest) check() error {
	if w.Name == "" || len(w.Name) > MaxNameBytes {
		return errors.Wrapf(ErrManifest, "name of %d bytes, want 1 to %d", len(w.Name), MaxNameBytes)
	}
	if w.ChunkBytes < MinChunkBytes || w.ChunkBytes > MaxChunkBytes {
		return errors.Wrapf(ErrManifest, "chunks of %d bytes, want %d to %d", w.ChunkBytes, MinChunkBytes, MaxChunkBytes)
	}
	if len(w.Sums) == 0 || len(w.Sums)%sumBytes != 0 || len(w.Sums)/sumBytes > MaxChunks {
		return errors.Wrapf(ErrManifest, "%d bytes of hashes", len(w.Sums))
	}
	chunks := uint64(len(w.Sums) / sumBytes)
	most := chunks * uint64(w.ChunkBytes)
	if w.TotalBytes > most || w.TotalBytes <= most-uint64(w.ChunkBytes) {
		return errors.Wrapf(ErrManifest, "%d bytes do not make %d chunks of %d", w.TotalBytes, chunks, w.ChunkBytes)
	}
	return nil
}
