package weights

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	"lukechampine.com/blake3"
	"pgregory.net/rapid"

	"mimosastand.example/mimosastand/contract"
)

func split(t rapid.TB, content []byte, chunkBytes int) (*Manifest, [][]byte) {
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
		m, chunks := split(t, content, rapid.IntRange(MinChunkBytes, 2000).Draw(t, "chunk"))
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
				t.Fatalf("whole before chunk %d", i)
			}
			bad := bytes.Clone(c)
			bad[0] ^= 1
			if err := store.Put(digest, i, bad); !errors.Is(err, ErrChunkDigest) {
				t.Fatalf("corrupt chunk: %v", err)
			}
			if err := store.Put(digest, i, c); err != nil {
				t.Fatal(err)
			}
		}
		if !store.Complete(digest) || !bytes.Equal(bytes.Join(chunks, nil), content) {
			t.Fatal("content is not whole")
		}
	})
}

func TestDecodeManifestRejectsLies(t *testing.T) {
	sums := make([]byte, 2*sumBytes)
	cases := map[string]wireManifest{
		"no name":       {ChunkBytes: 1024, TotalBytes: 1500, Sums: sums},
		"total too big": {Name: "v", ChunkBytes: 1024, TotalBytes: 2049, Sums: sums},
		"too few bytes": {Name: "v", ChunkBytes: 1024, TotalBytes: 1024, Sums: sums},
		"huge chunk":    {Name: "v", ChunkBytes: 1 << 30, TotalBytes: 1 << 30, Sums: sums[:sumBytes]},
		"tiny chunk":    {Name: "v", ChunkBytes: 1, TotalBytes: 2, Sums: sums},
		"no chunks":     {Name: "v", ChunkBytes: 1024},
		"half a hash":   {Name: "v", ChunkBytes: 1024, TotalBytes: 1500, Sums: sums[:40]},
	}
	for name, w := range cases {
		data, err := manifestEnc.Marshal(w)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeManifest(data, contract.NewDigest(blake3.Sum256(data))); !errors.Is(err, ErrManifest) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := DecodeManifest([]byte{0xa0}, "blake3:00"); !errors.Is(err, ErrManifestDigest) {
		t.Errorf("other digest: %v", err)
	}
}

func FuzzDecodeManifest(f *testing.F) {
	m, _ := split(f, make([]byte, 3000), 1024)
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
		again, _, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeManifest(again, contract.NewDigest(blake3.Sum256(again))); err != nil {
			t.Fatal(err)
		}
		m.ChunkSize(m.Chunks() - 1)
	})
}
