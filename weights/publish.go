package weights

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"lukechampine.com/blake3"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
)

// Split reads r to its end, calls each for every chunk and returns the manifest.
// The data that each gets is valid during the call only.
func Split(r io.Reader, name string, chunkBytes int, each func(d contract.Digest, data []byte) error) (*Manifest, error) {
	if chunkBytes < MinChunkBytes || chunkBytes > MaxChunkBytes {
		return nil, errors.Wrapf(ErrManifest, "chunks of %d bytes, want %d to %d", chunkBytes, MinChunkBytes, MaxChunkBytes)
	}
	m := &Manifest{Name: name, ChunkBytes: uint32(chunkBytes)}
	buf := make([]byte, chunkBytes)
	for {
		n, err := io.ReadFull(r, buf)
		if n > 0 {
			if err := m.add(buf[:n], each); err != nil {
				return nil, err
			}
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return m, nil
		}
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "read"), ErrPublish)
		}
	}
}

func (m *Manifest) add(data []byte, each func(contract.Digest, []byte) error) error {
	sum := blake3.Sum256(data)
	m.sums = append(m.sums, sum[:]...)
	m.TotalBytes += uint64(len(data))
	return each(contract.NewDigest(sum), data)
}

const (
	publishTries  = 8
	publishRetry  = 200 * time.Millisecond
	publishMaxGap = 5 * time.Second
)

// Publish stores the chunks of r and then the manifest, so that a manifest in
// the store means that all its chunks are there too. Publishing the same
// content again is harmless. It returns the version's digest and fails with
// ErrPublish or ErrManifest.
func Publish(ctx context.Context, store durable.Store, r io.Reader, name string, chunkBytes int) (contract.Digest, error) {
	m, err := Split(r, name, chunkBytes, func(d contract.Digest, data []byte) error {
		return put(ctx, store, durable.ChunkPrefix+string(d), data)
	})
	if err != nil {
		return "", err
	}
	data, digest, err := m.Encode()
	if err != nil {
		return "", err
	}
	return digest, put(ctx, store, durable.ManifestPrefix+string(digest), data)
}

// put stores one object and retries: objects are immutable, so a repeated put
// has no further effect.
func put(ctx context.Context, store durable.Store, name string, data []byte) error {
	gap := publishRetry
	var err error
	for range publishTries {
		if err = store.Put(ctx, name, data); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Mark(ctx.Err(), ErrPublish)
		case <-time.After(gap):
		}
		gap = min(2*gap, publishMaxGap)
	}
	return errors.Mark(errors.Wrapf(err, "put %s", name), ErrPublish)
}
