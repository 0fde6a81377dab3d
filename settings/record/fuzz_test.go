package record_test

import (
	"testing"

	"mimosastand.example/mimosastand/settings/record"
)

// FuzzDecode checks that what is decoded can be encoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("\xa1\x01\x01"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := record.Decode(data)
		if err != nil {
			return
		}
		if _, err := record.Encode(r); err != nil {
			t.Fatalf("decoded, but not encoded: %v", err)
		}
	})
}
