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

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// errEventTooLong means that an event is longer than maxEventBytes and cannot be
// forwarded.
var errEventTooLong = errors.New("entry: event of a stream exceeds 1 MiB")

// event is one event of a stream as received, including its blank line.
type event struct {
	data []byte
	// id orders the events of a stream; hasID is set if this event has one.
	id    int64
	hasID bool
	// hasField is set if the event has more than comments.
	hasField bool
}

// readEvent reads up to and including the next blank line. It returns io.EOF if the
// stream ends between two events, and io.ErrUnexpectedEOF if it ends within one.
func readEvent(r *bufio.Reader) (event, error) {
	var ev event
	for {
		line, err := readLine(r, maxEventBytes-len(ev.data))
		ev.data = append(ev.data, line...)
		if errors.Is(err, io.EOF) && len(ev.data) > 0 {
			return ev, io.ErrUnexpectedEOF
		}
		if err != nil {
			return ev, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			ev.id, ev.hasID = id, err == nil
		}
		ev.hasField = ev.hasField || len(text) > 0 && text[0] != ':'
		if len(text) == 0 && len(bytes.TrimSpace(ev.data)) > 0 {
			return ev, nil
		}
	}
}

// readLine reads up to and including the end of a line, whatever the size of the reader's
// buffer. It returns errEventTooLong if the line is longer than limit.
func readLine(r *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > limit {
			return line, errEventTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// forwardStream forwards the events of a response as they arrive. A stream that breaks
// off is Lost: another target may continue it after the last event.
func (x *exchange) forwardStream(resp *http.Response, reply platform.Reply) attempts.Outcome {
	c := x.call
	if reply.HasContentEncoding || !reply.HasStamp {
		x.conn.reset()
		x.breakage = unusableBreakage(reply)
		return attempts.Lost
	}
	events := bufio.NewReader(resp.Body)
	first := true
	for {
		ev, err := readEvent(events)
		if errors.Is(err, io.EOF) {
			return x.finishStream(resp, reply)
		}
		if err != nil {
			return x.abort(err)
		}
		if !first {
			c.entry.meters.eventGap.RecordDuration(time.Since(x.start) - time.Duration(x.lastActivity.Load()))
		}
		x.recordEvent(ev)
		if first {
			first = false
			c.entry.meters.firstEventTime.RecordDuration(time.Since(x.start))
			c.entry.fleet.recordResponse(c.service, x.choice.ID, time.Since(x.start))
		}
		if ev.hasID && ev.id <= c.lastEvent && (c.headSent || c.info.HasLastEvent) {
			continue
		}
		if c.pinnedVersion == 0 {
			c.pinnedVersion = reply.Version
		}
		if err := c.sendEvent(resp, ev); err != nil {
			x.conn.reset()
			x.breakage, x.err = breakageCallerGone, err
			return attempts.Lost
		}
	}
}

// finishStream ends the response to a stream that is complete and keeps the connection.
func (x *exchange) finishStream(resp *http.Response, reply platform.Reply) attempts.Outcome {
	c := x.call
	x.releaseConn(resp, reply)
	c.sendHead(resp)
	c.recordEnd(http.StatusOK, "", 0)
	return attempts.Completed
}

// sendHead sends the head of the response unless that has been done: if another target
// continues a stream, the head of the first target stays.
func (c *call) sendHead(resp *http.Response) {
	if c.headSent {
		return
	}
	c.headSent = true
	h := c.w.Header()
	for name, values := range platform.AnswerHeaders(resp.Header) {
		h[name] = values
	}
	if c.entry.stopping.Load() {
		h.Set("Connection", "close")
	}
	c.w.WriteHeader(resp.StatusCode)
}

// sendEvent sends one event to the caller, after the head of the response.
func (c *call) sendEvent(resp *http.Response, ev event) error {
	c.sendHead(resp)
	rc := http.NewResponseController(c.w)
	_ = rc.SetWriteDeadline(c.deadline.Add(time.Second))
	if _, err := c.w.Write(ev.data); err != nil {
		return err
	}
	if ev.hasID {
		c.lastEvent = ev.id
	}
	c.record.partDelivered(time.Now())
	return rc.Flush()
}
