package deflate

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards against input from outside that is restored beyond the limit, or that is taken for whole
// although its end is missing.
func TestDecompressIsBounded(t *testing.T) {
	plain := bytes.Repeat([]byte("value "), 1000)
	for _, level := range []int{Fast, Dense} {
		data := Compress(plain, level)
		if got, err := Decompress(data, len(plain)); err != nil || !bytes.Equal(got, plain) {
			t.Errorf("Decompress() = %d bytes, %v, want %d", len(got), err, len(plain))
		}
		if _, err := Decompress(data, len(plain)-1); !errors.Is(err, ErrTooLarge) {
			t.Errorf("Decompress() over the limit = %v, want ErrTooLarge", err)
		}
		if _, err := Decompress(data[:len(data)/2], len(plain)); !errors.Is(err, ErrMalformed) {
			t.Errorf("Decompress() of a cut value = %v, want ErrMalformed", err)
		}
	}
}
