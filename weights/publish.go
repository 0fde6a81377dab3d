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

// Split reads r up to its end, calls each for every chunk in order and returns the
// manifest. The data passed to each is valid only during the call. Split fails with
// ErrManifest if chunkBytes is out of range, with ErrPublish if reading fails, and with
// the error of each.
func Split(r io.Reader, name string, chunkBytes int, each func(d contract.Digest, data []byte) error) (*Manifest, error) {
	if chunkBytes < MinChunkBytes || chunkBytes > MaxChunkBytes {
		return nil, errors.Wrapf(ErrManifest, "chunks of %d bytes, want %d to %d", chunkBytes, MinChunkBytes, MaxChunkBytes)
	}
	m := &Manifest{Name: name, ChunkBytes: uint32(chunkBytes)}
	buf := make([]byte, chunkBytes)
	for {
		n, err := io.ReadFull(r, buf)
		if n > 0 {
			if err := m.addChunk(buf[:n], each); err != nil {
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

// addChunk appends a chunk to the manifest and calls each for it.
func (m *Manifest) addChunk(data []byte, each func(contract.Digest, []byte) error) error {
	hash := blake3.Sum256(data)
	m.hashes = append(m.hashes, hash[:]...)
	m.TotalBytes += uint64(len(data))
	return each(contract.NewDigest(hash), data)
}

const (
	// publishAttempts limits the attempts to store one object. The delay between two
	// attempts starts at publishRetryDelay and doubles up to maxPublishRetryDelay.
	publishAttempts      = 8
	publishRetryDelay    = 200 * time.Millisecond
	maxPublishRetryDelay = 5 * time.Second
)

// Publish splits the content of r into chunks, stores the chunks and then the manifest,
// and returns the digest of the version. Because the manifest is stored last, a manifest
// in the store implies that all its chunks are stored too. Publishing the same content
// again has no further effect. Publish fails with ErrPublish or ErrManifest.
func Publish(ctx context.Context, store durable.Store, r io.Reader, name string, chunkBytes int) (contract.Digest, error) {
	m, err := Split(r, name, chunkBytes, func(d contract.Digest, data []byte) error {
		return putWithRetry(ctx, store, durable.ChunkPrefix+string(d), data)
	})
	if err != nil {
		return "", err
	}
	data, digest, err := m.Encode()
	if err != nil {
		return "", err
	}
	return digest, putWithRetry(ctx, store, durable.ManifestPrefix+string(digest), data)
}

// putWithRetry stores one object and retries on errors. Retrying is safe because objects
// are immutable, so that storing one again has no further effect. It fails with
// ErrPublish.
func putWithRetry(ctx context.Context, store durable.Store, name string, data []byte) error {
	delay := publishRetryDelay
	var err error
	for range publishAttempts {
		if err = store.Put(ctx, name, data); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Mark(ctx.Err(), ErrPublish)
		case <-time.After(delay):
		}
		delay = min(2*delay, maxPublishRetryDelay)
	}
	return errors.Mark(errors.Wrapf(err, "store %s", name), ErrPublish)
}
