package entry

import (
	"sync"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
)

// maxPendingBytes limits how much of a response is buffered for a slow caller. While more
// is buffered, no further messages are read from the target.
const maxPendingBytes = 256 << 10

// responseBuffer holds the parts of a response that the HTTP handler of the request has
// not taken yet.
type responseBuffer struct {
	mu           sync.Mutex
	parts        []dispatch.Deliver
	pendingBytes int
	final        *dispatch.Finish
	// updated is signalled when parts or final change, drained when the parts are taken.
	updated chan struct{}
	drained chan struct{}
}

func newResponseBuffer() *responseBuffer {
	return &responseBuffer{updated: make(chan struct{}, 1), drained: make(chan struct{}, 1)}
}

// signal sends on ch unless a signal is pending already.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (b *responseBuffer) deliver(d dispatch.Deliver) {
	b.mu.Lock()
	b.parts = append(b.parts, d)
	b.pendingBytes += len(d.Data)
	b.mu.Unlock()
	signal(b.updated)
}

func (b *responseBuffer) finish(f dispatch.Finish) {
	b.mu.Lock()
	b.final = &f
	b.mu.Unlock()
	signal(b.updated)
}

// takeAll removes and returns the buffered parts. It also returns the final result of the
// request, or nil if there is none yet.
func (b *responseBuffer) takeAll() ([]dispatch.Deliver, *dispatch.Finish) {
	b.mu.Lock()
	defer b.mu.Unlock()
	parts := b.parts
	b.parts = nil
	b.pendingBytes = 0
	signal(b.drained)
	return parts, b.final
}

// isFull reports whether more than maxPendingBytes are buffered.
func (b *responseBuffer) isFull() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pendingBytes > maxPendingBytes
}

// responseBuffers holds the buffers of all requests in progress.
type responseBuffers struct {
	mu   sync.Mutex
	byID map[contract.RequestID]*responseBuffer
}

func newResponseBuffers() *responseBuffers {
	return &responseBuffers{byID: map[contract.RequestID]*responseBuffer{}}
}

func (b *responseBuffers) add(id contract.RequestID) *responseBuffer {
	added := newResponseBuffer()
	b.mu.Lock()
	b.byID[id] = added
	b.mu.Unlock()
	return added
}

func (b *responseBuffers) remove(id contract.RequestID) {
	b.mu.Lock()
	delete(b.byID, id)
	b.mu.Unlock()
}

func (b *responseBuffers) get(id contract.RequestID) *responseBuffer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byID[id]
}
