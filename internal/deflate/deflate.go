// Package deflate compresses byte slices in DEFLATE format, and restores them within a limit for
// bytes that come from outside the process.
package deflate

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

// The levels of Compress: Fast costs the least processor time, Dense the usual one.
const (
	Fast  = flate.BestSpeed
	Dense = flate.DefaultCompression
)

var (
	// ErrMalformed marks bytes that are not in DEFLATE format.
	ErrMalformed = errors.New("deflate: malformed")
	// ErrTooLarge means that the restored bytes exceed the limit.
	ErrTooLarge = errors.New("deflate: too large")
)

// Compress returns data in DEFLATE format.
func Compress(data []byte, level int) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, level)
	if err != nil {
		panic(err) // the levels are constants
	}
	_, _ = w.Write(data) // a bytes.Buffer takes all writes
	_ = w.Close()
	return out.Bytes()
}

// Decompress returns the bytes that data was made of. It fails with ErrMalformed, or with
// ErrTooLarge if they are more than maxBytes.
func Decompress(data []byte, maxBytes int) ([]byte, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), int64(maxBytes)+1))
	if err != nil {
		return nil, errors.Mark(err, ErrMalformed)
	}
	if len(plain) > maxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", maxBytes)
	}
	return plain, nil
}
