package weights

import (
	"github.com/cockroachdb/errors"
	"lukechampine.com/blake3"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/cborlimit"
)

// Limits of a manifest. MaxChunkBytes leaves room for the other fields of a frame within
// the largest frame that a link allows.
const (
	MinChunkBytes = 1 << 10
	MaxChunkBytes = 1 << 20
	MaxChunks     = 1 << 20
	MaxNameBytes  = 256
	// MaxManifestBytes limits the size of an encoded manifest.
	MaxManifestBytes = MaxChunks*hashBytes + 4<<10

	// DefaultChunkBytes is the chunk size of a version that is published without a given
	// chunk size.
	DefaultChunkBytes = 512 << 10

	// hashBytes is the length of a BLAKE3 hash.
	hashBytes = 32
)

// Manifest describes one version of a model's weights.
type Manifest struct {
	// Name is the name that operators give to the version, such as "drafting-7b-v3".
	Name string
	// ChunkBytes is the size of each chunk; only the last one may be shorter.
	ChunkBytes uint32
	// TotalBytes is the total size of the version's chunks.
	TotalBytes uint64
	// hashes holds the concatenated BLAKE3 hashes of the chunks.
	hashes []byte
}

// wireManifest is the form in which a Manifest is encoded.
type wireManifest struct {
	Name       string `cbor:"1,keyasint"`
	ChunkBytes uint32 `cbor:"2,keyasint"`
	TotalBytes uint64 `cbor:"3,keyasint"`
	Hashes     []byte `cbor:"4,keyasint"`
}

// manifestLimits can be tight because a manifest is a single map of four scalar values.
var manifestLimits = cborlimit.Limits{MaxElements: 16, MaxPairs: 16, MaxDepth: 4, DisallowUnknownFields: true}

var (
	manifestEnc = cborlimit.NewEncMode()
	manifestDec = cborlimit.NewDecMode(manifestLimits)
)

// Chunks returns the number of chunks in the version.
func (m *Manifest) Chunks() int {
	return len(m.hashes) / hashBytes
}

// Chunk returns the digest of chunk i, which must be in range.
func (m *Manifest) Chunk(i int) contract.Digest {
	return contract.NewDigest([hashBytes]byte(m.hash(i)))
}

// ChunkSize returns the length of chunk i in bytes; i must be in range.
func (m *Manifest) ChunkSize(i int) int {
	if i < m.Chunks()-1 {
		return int(m.ChunkBytes)
	}
	return int(m.TotalBytes - uint64(m.Chunks()-1)*uint64(m.ChunkBytes))
}

func (m *Manifest) hash(i int) []byte {
	return m.hashes[i*hashBytes : (i+1)*hashBytes]
}

// Verify checks that data is the content of chunk i. It fails with ErrChunkIndex,
// ErrChunkSize or ErrChunkDigest.
func (m *Manifest) Verify(i int, data []byte) error {
	if i < 0 || i >= m.Chunks() {
		return errors.Wrapf(ErrChunkIndex, "chunk %d of %d", i, m.Chunks())
	}
	if len(data) != m.ChunkSize(i) {
		return errors.Wrapf(ErrChunkSize, "chunk %d has %d bytes, want %d", i, len(data), m.ChunkSize(i))
	}
	if sum := blake3.Sum256(data); string(sum[:]) != string(m.hash(i)) {
		return errors.Wrapf(ErrChunkDigest, "chunk %d", i)
	}
	return nil
}

// Encode returns the deterministic encoding of the manifest and its digest, which
// identifies the version. It fails with ErrManifest.
func (m *Manifest) Encode() ([]byte, contract.Digest, error) {
	w := wireManifest{Name: m.Name, ChunkBytes: m.ChunkBytes, TotalBytes: m.TotalBytes, Hashes: m.hashes}
	if err := w.validate(); err != nil {
		return nil, "", err
	}
	data, err := manifestEnc.Marshal(w)
	if err != nil {
		return nil, "", errors.Mark(err, ErrManifest)
	}
	return data, contract.NewDigest(blake3.Sum256(data)), nil
}

// DecodeManifest decodes the manifest whose encoding has the digest want. It fails with
// ErrManifestDigest if data has another digest, and with ErrManifest if the manifest is
// too large or invalid.
func DecodeManifest(data []byte, want contract.Digest) (*Manifest, error) {
	if len(data) > MaxManifestBytes {
		return nil, errors.Wrapf(ErrManifest, "%d bytes, want at most %d", len(data), MaxManifestBytes)
	}
	if got := contract.NewDigest(blake3.Sum256(data)); got != want {
		return nil, errors.Wrapf(ErrManifestDigest, "%s, want %s", got.Short(), want.Short())
	}
	var w wireManifest
	if err := manifestDec.Unmarshal(data, &w); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode"), ErrManifest)
	}
	if err := w.validate(); err != nil {
		return nil, err
	}
	return &Manifest{Name: w.Name, ChunkBytes: w.ChunkBytes, TotalBytes: w.TotalBytes, hashes: w.Hashes}, nil
}

// validate checks that the fields are consistent and within the limits. It fails with
// ErrManifest.
func (w *wireManifest) validate() error {
	if w.Name == "" || len(w.Name) > MaxNameBytes {
		return errors.Wrapf(ErrManifest, "name of %d bytes, want 1 to %d", len(w.Name), MaxNameBytes)
	}
	if w.ChunkBytes < MinChunkBytes || w.ChunkBytes > MaxChunkBytes {
		return errors.Wrapf(ErrManifest, "chunks of %d bytes, want %d to %d", w.ChunkBytes, MinChunkBytes, MaxChunkBytes)
	}
	if len(w.Hashes) == 0 || len(w.Hashes)%hashBytes != 0 || len(w.Hashes)/hashBytes > MaxChunks {
		return errors.Wrapf(ErrManifest, "hash list of invalid length: %d bytes", len(w.Hashes))
	}
	chunks := uint64(len(w.Hashes) / hashBytes)
	maxTotal := chunks * uint64(w.ChunkBytes)
	if w.TotalBytes > maxTotal || w.TotalBytes <= maxTotal-uint64(w.ChunkBytes) {
		return errors.Wrapf(ErrManifest, "total of %d bytes is inconsistent with %d chunks of %d bytes", w.TotalBytes, chunks, w.ChunkBytes)
	}
	return nil
}
