package weights

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	"lukechampine.com/blake3"
	"pgregory.net/rapid"

	"mimosastand.example/mimosastand/contract"
)

// splitContent returns the manifest and the chunks of content.
func splitContent(t rapid.TB, content []byte, chunkBytes int) (*Manifest, [][]byte) {
	t.Helper()
	var chunks [][]byte
	m, err := Split(bytes.NewReader(content), "v", chunkBytes, func(_ contract.Digest, data []byte) error {
		chunks = append(chunks, bytes.Clone(data))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return m, chunks
}

func TestSplitRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.SliceOfN(rapid.Byte(), 1, 5000).Draw(t, "content")
		m, chunks := splitContent(t, content, rapid.IntRange(MinChunkBytes, 2000).Draw(t, "chunk"))
		data, digest, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		store := NewChunkStore()
		if _, err := store.AddVersion(digest, data); err != nil {
			t.Fatal(err)
		}
		for i, c := range chunks {
			if store.Complete(digest) {
				t.Fatalf("Complete() = true before chunk %d is stored, want false", i)
			}
			corrupt := bytes.Clone(c)
			corrupt[0] ^= 1
			if err := store.Put(digest, i, corrupt); !errors.Is(err, ErrChunkDigest) {
				t.Fatalf("Put() of a corrupt chunk: error = %v, want ErrChunkDigest", err)
			}
			if err := store.Put(digest, i, c); err != nil {
				t.Fatal(err)
			}
		}
		if !store.Complete(digest) || !bytes.Equal(bytes.Join(chunks, nil), content) {
			t.Fatal("after Put() of all chunks: Complete() = false or the chunks differ from the content")
		}
	})
}

func TestDecodeManifestRejectsInvalidFields(t *testing.T) {
	hashes := make([]byte, 2*hashBytes)
	cases := map[string]wireManifest{
		"empty name":           {ChunkBytes: 1024, TotalBytes: 1500, Hashes: hashes},
		"total too large":      {Name: "v", ChunkBytes: 1024, TotalBytes: 2049, Hashes: hashes},
		"total too small":      {Name: "v", ChunkBytes: 1024, TotalBytes: 1024, Hashes: hashes},
		"chunk size too large": {Name: "v", ChunkBytes: 1 << 30, TotalBytes: 1 << 30, Hashes: hashes[:hashBytes]},
		"chunk size too small": {Name: "v", ChunkBytes: 1, TotalBytes: 2, Hashes: hashes},
		"no chunks":            {Name: "v", ChunkBytes: 1024},
		"truncated hash":       {Name: "v", ChunkBytes: 1024, TotalBytes: 1500, Hashes: hashes[:40]},
	}
	for name, w := range cases {
		data, err := manifestEnc.Marshal(w)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeManifest(data, contract.NewDigest(blake3.Sum256(data))); !errors.Is(err, ErrManifest) {
			t.Errorf("%s: DecodeManifest() error = %v, want ErrManifest", name, err)
		}
	}
	if _, err := DecodeManifest([]byte{0xa0}, "blake3:00"); !errors.Is(err, ErrManifestDigest) {
		t.Errorf("DecodeManifest() of another digest: error = %v, want ErrManifestDigest", err)
	}
}

func FuzzDecodeManifest(f *testing.F) {
	m, _ := splitContent(f, make([]byte, 3000), 1024)
	data, _, err := m.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeManifest(data, contract.NewDigest(blake3.Sum256(data)))
		if err != nil {
			return
		}
		reencoded, _, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeManifest(reencoded, contract.NewDigest(blake3.Sum256(reencoded))); err != nil {
			t.Fatal(err)
		}
		m.ChunkSize(m.Chunks() - 1)
	})
}
