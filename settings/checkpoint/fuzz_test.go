package checkpoint_test

import (
	"testing"

	"mimosastand.example/mimosastand/settings/checkpoint"
	"mimosastand.example/mimosastand/settings/tree"
)

// FuzzDecode checks that what is decoded has the digest of its own encoding.
func FuzzDecode(f *testing.F) {
	data, _, err := checkpoint.Encode(checkpoint.Snapshot{Tree: tree.New()})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := checkpoint.Decode(data)
		if err != nil {
			return
		}
		_, digest, err := checkpoint.Encode(s)
		if err != nil || digest != checkpoint.DigestOf(s) {
			t.Fatalf("digest %v, %v", digest, err)
		}
	})
}
