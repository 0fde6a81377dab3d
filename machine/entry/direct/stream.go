package direct

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/platform"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// statusLinePrefix begins the head of an answer, and no line of an event.
	statusLinePrefix = "HTTP/1."
	// writeGrace is how long after its deadline a response may still be written to a caller that
	// reads slowly.
	writeGrace = time.Second
)

// errEventTooLong means that an event is longer than maxEventBytes and cannot be
// forwarded.
var errEventTooLong = errors.Mark(errors.New("entry: event of a stream exceeds 1 MiB"), errTooLong)

// errNoEvent means that a stream contains the head of an answer: without a length it ends with its
// connection, and a faulty target may write something else behind it.
var errNoEvent = errors.New("entry: a stream contains the head of an answer")

// event is one event of a stream as received, including its blank line. Its data is valid
// until the next event is read.
type event struct {
	data *chunkBuffer
	// id orders the events of a stream; hasID is set if this event has one.
	id    int64
	hasID bool
	// hasField is set if the event has more than comments.
	hasField bool
	// hasText is set if the event has more than white space.
	hasText bool
	// version is the version of the weights from this event on, if it gives one; 0 otherwise.
	version int64
}

// versionField begins the line of an event that gives the version of the weights.
const versionField = "weight-versions:"

// readEvent reads up to and including the next blank line into data, which it empties
// before. It returns io.EOF if the stream ends between two events, blank lines after the last
// one included, and io.ErrUnexpectedEOF if it ends within one.
func readEvent(r *bufio.Reader, data *chunkBuffer) (event, error) {
	data.release()
	ev := event{data: data}
	for {
		blank, err := ev.readLine(r)
		if errors.Is(err, io.EOF) && ev.hasText {
			return ev, io.ErrUnexpectedEOF
		}
		if err != nil {
			return ev, err
		}
		if blank && ev.hasText {
			return ev, nil
		}
	}
}

// readLine adds the next line, whatever the size of the reader's buffer, and reports whether
// it is blank.
func (ev *event) readLine(r *bufio.Reader) (blank bool, err error) {
	blank = true
	for first := true; ; first = false {
		part, err := r.ReadSlice('\n')
		if first && bytes.HasPrefix(part, []byte(statusLinePrefix)) {
			return false, errNoEvent
		}
		if ev.data.len()+len(part) > maxEventBytes {
			return false, errEventTooLong
		}
		if appendErr := ev.data.append(part); appendErr != nil {
			return false, appendErr
		}
		ev.hasText = ev.hasText || len(bytes.TrimSpace(part)) > 0
		text := bytes.TrimRight(part, "\r\n")
		if len(text) > 0 && blank {
			blank = false
			ev.hasField = ev.hasField || text[0] != ':'
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if first {
			ev.applyLine(text)
		}
		return blank, err
	}
}

// applyLine takes the number of the event, or the version of the weights, from a line that holds it.
func (ev *event) applyLine(line []byte) {
	if value, ok := bytes.CutPrefix(line, []byte(versionField)); ok {
		ev.version, _ = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return
	}
	if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		ev.id, ev.hasID = id, err == nil
	}
}

// readStream hands on the events of a response as they arrive. A stream that breaks off is
// Lost: another target may continue it after the last event.
func (x *exchange) readStream(resp *http.Response, reply platform.Reply) attempts.Outcome {
	c := x.call
	if reply.HasContentEncoding || !reply.HasStamp {
		x.conn.reset()
		x.breakage = unusableBreakage(reply)
		return attempts.Lost
	}
	events := bufio.NewReader(resp.Body)
	first := true
	for {
		ev, err := readEvent(events, x.nextBuffer())
		if errors.Is(err, io.EOF) && (first && endsWithConnection(resp) || x.mayBeCutOff(resp)) {
			err = io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) {
			x.rest = ev
			x.releaseConn(resp, reply)
			return attempts.Completed
		}
		if err != nil {
			ev.data.release()
			return x.abort(err)
		}
		if !first {
			c.entry.meters.eventGap.RecordDuration(time.Since(x.start) - time.Duration(x.lastActivity.Load()))
		}
		x.recordEvent(ev)
		if first {
			first = false
			c.entry.meters.firstEventTime.RecordDuration(time.Since(x.start))
			x.recordResponse(time.Since(x.start))
		}
		if !x.emit(part{event: ev, head: resp}) {
			return attempts.Lost
		}
	}
}

// mayBeCutOff reports whether a response that has ended may have been cut off: only the end of its
// connection ends it, and nothing listens at the target's address any more, or may not have listened for a
// while. A target that crashes and one that has sent everything end a connection in the same way.
func (x *exchange) mayBeCutOff(resp *http.Response) bool {
	if !endsWithConnection(resp) {
		return false
	}
	return x.mayHaveRestarted() || x.call.entry.isDown(x.call.r.Context(), x.choice.Address)
}

// endsWithConnection reports whether only the end of its connection ends a response.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// sendHead sends the head of the response unless that has been done: if another target
// continues a stream, the head of the first target stays.
func (c *call) sendHead(resp *http.Response) {
	if c.headSent {
		return
	}
	c.headSent = true
	_ = http.NewResponseController(c.w).SetWriteDeadline(c.deadline.Add(writeGrace))
	h := c.w.Header()
	for name, values := range platform.AnswerHeaders(resp.Header) {
		h[name] = values
	}
	if c.entry.stopping.Load() {
		h.Set("Connection", "close")
	}
	c.w.WriteHeader(resp.StatusCode)
}

// hasEvent reports whether the caller has an event already.
func (c *call) hasEvent(ev event) bool {
	return ev.hasID && ev.id <= c.lastEvent && (c.headSent || c.info.HasLastEvent)
}

// sendEvent sends one event to the caller, after the head of the response.
func (c *call) sendEvent(resp *http.Response, ev event) error {
	c.sendHead(resp)
	if err := ev.data.writeTo(c.w); err != nil {
		return err
	}
	if ev.hasID {
		c.lastEvent = ev.id
	}
	c.record.partDelivered(time.Now())
	return http.NewResponseController(c.w).Flush()
}
