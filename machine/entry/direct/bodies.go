package direct

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// freeBodyBytes is what each request may hold of its body without taking from the budget.
	freeBodyBytes = 4 << 10
	// stagedBodyBytes is what has to arrive of a body before room for all of its stated length is taken.
	stagedBodyBytes = 64 << 10
	// maxBodiesBytes bounds what the bodies of all requests take together. The heap grows to about
	// twice what is in use before garbage is collected.
	maxBodiesBytes = 64 << 20
)

// errBodiesFull means that the bodies of the requests under way leave no room for another one.
var errBodiesFull = errors.New("entry: bodies of all requests are full")

// bodyBudget bounds the memory of the bodies of all requests. A body may take half of what the others
// leave, so that a few large ones leave room for small ones; a body that is alone may have any size.
// A request never waits for the budget. The zero value is ready to use.
type bodyBudget struct {
	mu   sync.Mutex
	used int
}

// take increases what a body has taken from taken to size bytes. It reports false if that is too much.
func (b *bodyBudget) take(taken, size int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	others := b.used - taken
	if others > 0 && size > (maxBodiesBytes-others)/2 {
		return false
	}
	b.used = others + size
	return true
}

// put takes back what a body has taken.
func (b *bodyBudget) put(taken int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= taken
}

// requestBody is the body of a request. release has to be called.
type requestBody struct {
	budget *bodyBudget
	data   []byte
	taken  int
}

// readAll reads r to its end. length is the length that the caller stated, negative if it stated none.
// It fails with errBodiesFull if there is no room.
func (b *requestBody) readAll(r io.Reader, length int64) error {
	for {
		if len(b.data) == cap(b.data) {
			if err := b.grow(length); err != nil {
				return err
			}
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow makes room for more of the body.
func (b *requestBody) grow(length int64) error {
	size := nextBodySize(cap(b.data), length)
	if size > freeBodyBytes {
		if !b.budget.take(b.taken, size) {
			return errBodiesFull
		}
		b.taken = size
	}
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	return nil
}

// nextBodySize returns how much room follows a size that is used up. It is one byte more than the stated
// length, so that the end of the body is read without more room.
func nextBodySize(size int, length int64) int {
	whole := int(length) + 1
	switch {
	case size == 0 && length >= 0:
		return min(whole, freeBodyBytes)
	case size == 0:
		return freeBodyBytes
	case size < stagedBodyBytes && length >= 0:
		return min(whole, stagedBodyBytes)
	case size < whole:
		return whole
	default:
		return 2 * size
	}
}

// release gives back what the body has taken. The data stays: an attempt that was abandoned may still
// be about to send it.
func (b *requestBody) release() {
	b.budget.put(b.taken)
	b.taken = 0
}
