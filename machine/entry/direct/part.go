package direct

import (
	"net/http"
	"time"

	"mimosastand.example/mimosastand/machine/entry/attempts"
)

// part is a part of a response that the caller is to get, or the end of an attempt.
type part struct {
	// event and head are set for an event of a stream: head is that of the response. With the
	// end of a stream, event holds the blank lines after the last event.
	event event
	head  *http.Response
	// ended is set for the last part. The attempt ended with outcome, and with the complete
	// response if it is not a stream.
	ended    bool
	outcome  attempts.Outcome
	response *bufferedResponse
}

// release frees the memory of the part, once it has been sent or is not needed.
func (p part) release() {
	if p.event.data != nil {
		p.event.data.release()
	}
	p.response.release()
}

// emit hands a part to the request, and does not wait until the caller has taken it while there is
// room for it. Without room for maxUnreadTime it gives the attempt up: the target serves others, and
// the caller gets the rest of a stream from a later attempt. It reports false if the attempt is given
// up or abandoned.
func (x *exchange) emit(p part) bool {
	for since := time.Now(); !x.offer(p); x.awaitMove() {
		if time.Since(since) >= maxUnreadTime {
			p.release()
			x.conn.reset()
			x.breakage = breakageSlowCaller
			x.call.entry.meters.countSlowCaller()
			return false
		}
	}
	if x.isAbandoned() {
		x.discardParts()
		return false
	}
	return true
}

func (x *exchange) isAbandoned() bool {
	select {
	case <-x.abandoned:
		return true
	default:
		return false
	}
}

// discardParts frees the parts that nobody receives.
func (x *exchange) discardParts() {
	x.backlog.mu.Lock()
	defer x.backlog.mu.Unlock()
	for _, p := range x.backlog.parts {
		p.release()
	}
	x.backlog.parts, x.backlog.bytes = nil, 0
	for {
		select {
		case p := <-x.parts:
			p.release()
		default:
			return
		}
	}
}

// nextBuffer returns a buffer for an event.
func (x *exchange) nextBuffer() *chunkBuffer {
	select {
	case b := <-x.spare:
		return b
	default:
		return newChunkBuffer(&x.call.entry.buffers)
	}
}

// recycle frees an event that has been sent, and keeps its buffer for another one. The next part
// that waits can then be received.
func (x *exchange) recycle(p part) {
	x.keepBuffer(p.event.data)
	x.refill()
}

// keepBuffer frees a buffer and keeps it for another event, unless it has the size of one only.
func (x *exchange) keepBuffer(b *chunkBuffer) {
	b.release()
	if cap(b.first) < firstChunkBytes {
		return
	}
	select {
	case x.spare <- b:
	default:
	}
}
