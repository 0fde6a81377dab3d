package direct

import (
	"bytes"
	"sync"
	"time"
)

const (
	// maxUnreadTime is how long an answer may stay unread because its caller and the others take
	// all room that there is for parts that wait. Engines cut answers that stay unread for some
	// seconds.
	maxUnreadTime = time.Second
	// roomCheckInterval is the time between two checks whether other answers have left room.
	roomCheckInterval = 100 * time.Millisecond
	// maxWaitingParts bounds the parts of one answer that wait. Answers of models have fewer events; a target
	// that sends small events without end would fill the heap with them faster than they are collected.
	maxWaitingParts = 256
	// maxWaitingComments is the number of waiting parts from which on a comment waits as well: a target may
	// send comments without end to keep a connection.
	maxWaitingComments = 8
	// partOverheadBytes is what a waiting part takes beside its text, with the spare room of the list that
	// holds it.
	partOverheadBytes = 256
)

// backlog holds the parts of a response that have been read and that the caller has not taken yet,
// so that the response is read in time however slowly the caller reads. Their text counts against
// the budget of all answers.
type backlog struct {
	mu    sync.Mutex
	parts []part
	// bytes is what the parts have taken from the budget.
	bytes int
	// moved has an element when the request has taken a part.
	moved chan struct{}
}

// offer hands a part to the request, or adds it to the backlog if the request is still busy with
// the parts before it. It reports false if there is no room for it.
func (x *exchange) offer(p part) bool {
	b := &x.backlog
	b.mu.Lock()
	defer b.mu.Unlock()
	if x.isAbandoned() {
		p.release()
		return true
	}
	if len(b.parts) == 0 {
		select {
		case x.parts <- p:
			return true
		default:
		}
	}
	if !p.ended && !x.compact(&p) {
		return false
	}
	b.parts = append(b.parts, p)
	return true
}

// compact moves the text of a part that is to wait from its buffer, which may be larger, to one of
// its size. It reports false if there is no room. x.backlog.mu must be held.
func (x *exchange) compact(p *part) bool {
	data := p.event.data
	size := data.len() + partOverheadBytes
	if len(x.backlog.parts) >= maxWaiting(p.event) || !data.budget.takeBytes(x.backlog.bytes, size) {
		return false
	}
	text := bytes.NewBuffer(make([]byte, 0, data.len()))
	_ = data.writeTo(text) // a bytes.Buffer takes all writes
	p.event.data = &chunkBuffer{budget: data.budget, first: text.Bytes(), taken: size}
	x.backlog.bytes += size
	x.keepBuffer(data)
	return true
}

// maxWaiting returns the number of waiting parts from which on an event is not added to them.
func maxWaiting(ev event) int {
	if ev.hasField {
		return maxWaitingParts
	}
	return maxWaitingComments
}

// refill hands the next part of the backlog, if there is one, to the request, which has taken the
// one before.
func (x *exchange) refill() {
	b := &x.backlog
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.parts) > 0 {
		next := b.parts[0]
		select {
		case x.parts <- next:
		default:
			return
		}
		b.parts[0], b.parts = part{}, b.parts[1:]
		if next.event.data != nil {
			b.bytes -= next.event.data.taken
		}
	}
	select {
	case b.moved <- struct{}{}:
	default:
	}
}

// awaitMove waits until the request has taken a part, or for roomCheckInterval: other answers may have
// left room.
func (x *exchange) awaitMove() {
	timer := time.NewTimer(roomCheckInterval)
	defer timer.Stop()
	select {
	case <-x.backlog.moved:
	case <-x.abandoned:
	case <-timer.C:
	}
}
