package direct

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// firstChunkBytes is what each answer may buffer without taking from the budget,
	// chunkBytes what it takes at a time.
	firstChunkBytes = 4 << 10
	chunkBytes      = 32 << 10
	// maxBufferedBytes bounds what all answers of the process buffer together. The heap
	// grows to about twice what is in use before garbage is collected.
	maxBufferedBytes = 16 << 20
)

var (
	// errTooLong means that what is buffered exceeds its own bound.
	errTooLong = errors.New("entry: part of a response exceeds its bound")
	// errBuffersFull means that the answers of the process buffer too much together.
	errBuffersFull = errors.New("entry: buffers of all responses are full")
)

type chunk [chunkBytes]byte

// bufferBudget bounds the memory of all buffered answers. An answer may hold at most as much
// as is left for the others, so that a few that send without end cannot take all of it. A
// caller never waits for the budget: an answer without end would hold its part meanwhile.
type bufferBudget struct {
	mu sync.Mutex
	// used counts the chunks in use. idle holds those that can be used again; it is emptied
	// once none is in use.
	used int
	idle []*chunk
	// bytes counts what is in use beside chunks: the parts that wait for their callers.
	bytes int
}

// takeBytes takes n bytes for an answer that holds held bytes. It reports false if the answer may
// have no more.
func (b *bufferBudget) takeBytes(held, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if held+n > maxBufferedBytes-b.used*chunkBytes-b.bytes {
		return false
	}
	b.bytes += n
	return true
}

// putBytes takes bytes back.
func (b *bufferBudget) putBytes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes -= n
}

// take returns a chunk for an answer that holds held chunks, or nil if it may have no more.
func (b *bufferBudget) take(held int) *chunk {
	b.mu.Lock()
	defer b.mu.Unlock()
	if held+1 > (maxBufferedBytes-b.bytes)/chunkBytes-b.used {
		return nil
	}
	b.used++
	last := len(b.idle) - 1
	if last < 0 {
		return new(chunk)
	}
	c := b.idle[last]
	b.idle = b.idle[:last]
	return c
}

// put takes chunks back.
func (b *bufferBudget) put(chunks []*chunk) {
	if len(chunks) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= len(chunks)
	b.idle = append(b.idle, chunks...)
	if b.used == 0 {
		b.idle = nil
	}
}

// chunkBuffer holds a part of an answer until it is forwarded. release has to be called.
type chunkBuffer struct {
	budget *bufferBudget
	first  []byte
	chunks []*chunk
	// tail is how much of the last chunk is used.
	tail int
	// taken is what first has taken from the budget; 0 unless its part waits for the caller.
	taken int
}

func newChunkBuffer(budget *bufferBudget) *chunkBuffer {
	return &chunkBuffer{budget: budget, first: make([]byte, 0, firstChunkBytes)}
}

// len returns the number of bytes held.
func (b *chunkBuffer) len() int {
	if len(b.chunks) == 0 {
		return len(b.first)
	}
	return len(b.first) + (len(b.chunks)-1)*chunkBytes + b.tail
}

// room returns where the next bytes belong, at least one.
func (b *chunkBuffer) room() ([]byte, error) {
	if len(b.first) < firstChunkBytes {
		return b.first[len(b.first):firstChunkBytes], nil
	}
	if len(b.chunks) == 0 || b.tail == chunkBytes {
		c := b.budget.take(len(b.chunks))
		if c == nil {
			return nil, errBuffersFull
		}
		b.chunks, b.tail = append(b.chunks, c), 0
	}
	return b.chunks[len(b.chunks)-1][b.tail:], nil
}

// advance adds n bytes that were written to room.
func (b *chunkBuffer) advance(n int) {
	if len(b.chunks) == 0 {
		b.first = b.first[:len(b.first)+n]
		return
	}
	b.tail += n
}

// append adds a copy of data.
func (b *chunkBuffer) append(data []byte) error {
	for len(data) > 0 {
		room, err := b.room()
		if err != nil {
			return err
		}
		n := copy(room, data)
		b.advance(n)
		data = data[n:]
	}
	return nil
}

// readAll reads r to its end. It fails with errTooLong if that is more than limit bytes.
func (b *chunkBuffer) readAll(r io.Reader, limit int) error {
	for b.len() <= limit {
		room, err := b.room()
		if err != nil {
			return err
		}
		n, err := r.Read(room)
		b.advance(n)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return errTooLong
}

// writeTo writes all bytes held.
func (b *chunkBuffer) writeTo(w io.Writer) error {
	if _, err := w.Write(b.first); err != nil {
		return err
	}
	for i, c := range b.chunks {
		part := c[:]
		if i == len(b.chunks)-1 {
			part = c[:b.tail]
		}
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// release empties the buffer, which can be used again.
func (b *chunkBuffer) release() {
	b.budget.put(b.chunks)
	if b.taken > 0 {
		b.budget.putBytes(b.taken)
	}
	b.first, b.chunks, b.tail, b.taken = b.first[:0], nil, 0, 0
}
