package direct

import (
	"net/http"

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

// emit hands a part to the request. It reports false if the attempt is abandoned.
func (x *exchange) emit(p part) bool {
	select {
	case x.parts <- p:
	case <-x.abandoned:
		p.release()
		return false
	}
	select {
	case <-x.abandoned:
		x.discardParts()
		return false
	default:
		return true
	}
}

// discardParts frees the parts that nobody receives.
func (x *exchange) discardParts() {
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

// recycle frees an event that has been sent, and keeps its buffer for another one.
func (x *exchange) recycle(p part) {
	p.release()
	select {
	case x.spare <- p.event.data:
	default:
	}
}
