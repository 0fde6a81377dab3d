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

// errEvent marks an event that cannot be passed on.
var errEvent = errors.New("entry: malformed event")

// event is one event of a stream as it came, its blank line included.
type event struct {
	data []byte
	// id orders the events; hasID tells that the event has one.
	id    int64
	hasID bool
}

// readEvent reads up to and with the next blank line. A stream that ends between
// two events ends with io.EOF; within one with io.ErrUnexpectedEOF.
func readEvent(r *bufio.Reader) (event, error) {
	var ev event
	for {
		line, err := r.ReadSlice('\n')
		ev.data = append(ev.data, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(ev.data) <= maxEventBytes {
			continue
		}
		if errors.Is(err, io.EOF) && len(ev.data) > 0 {
			return ev, io.ErrUnexpectedEOF
		}
		if err != nil {
			return ev, err
		}
		if len(ev.data) > maxEventBytes {
			return ev, errEvent
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			ev.id, ev.hasID = id, err == nil
		}
		if len(text) == 0 && len(bytes.TrimSpace(ev.data)) > 0 {
			return ev, nil
		}
	}
}

// stream passes the events of an answer on as they come. A stream that breaks
// off is Lost: another target may go on after the last event.
func (x *exchange) stream(resp *http.Response, reply platform.Reply) attempts.Outcome {
	c := x.call
	if reply.Encoded || !reply.Stamped {
		x.conn.abandon()
		x.broke = unusable(reply)
		return attempts.Lost
	}
	if c.version == 0 {
		c.version = reply.Version
	}
	events := bufio.NewReader(resp.Body)
	first := true
	for {
		ev, err := readEvent(events)
		if errors.Is(err, io.EOF) {
			return x.streamEnded(resp, reply)
		}
		if err != nil {
			return x.cut(err)
		}
		if !first {
			c.entry.meters.gap.RecordDuration(time.Since(x.start) - time.Duration(x.heard.Load()))
		}
		x.hear()
		if first {
			first = false
			c.entry.meters.first.RecordDuration(time.Since(x.start))
			c.entry.world.answered(c.service, x.choice.ID, time.Since(x.start))
		}
		if ev.hasID && ev.id <= c.last && (c.begun || c.info.HasLastEvent) {
			continue
		}
		if err := c.deliver(resp, ev); err != nil {
			x.conn.abandon()
			x.broke, x.err = brokeCaller, err
			return attempts.Lost
		}
	}
}

// streamEnded keeps the connection of a stream that came to its end.
func (x *exchange) streamEnded(resp *http.Response, reply platform.Reply) attempts.Outcome {
	c := x.call
	if resp.Close {
		_ = x.conn.Close()
	} else {
		c.entry.upstream.put(x.conn, reply.IdleLimit)
	}
	c.begin(resp)
	c.ended(http.StatusOK, "", 0)
	return attempts.Completed
}

// begin sends the head of the answer, which stays that of the first target.
func (c *call) begin(resp *http.Response) {
	if c.begun {
		return
	}
	c.begun = true
	h := c.w.Header()
	for name, values := range platform.AnswerHeaders(resp.Header) {
		h[name] = values
	}
	if c.entry.stopping.Load() {
		h.Set("Connection", "close")
	}
	c.w.WriteHeader(resp.StatusCode)
}

// deliver passes one event on.
func (c *call) deliver(resp *http.Response, ev event) error {
	c.begin(resp)
	control := http.NewResponseController(c.w)
	_ = control.SetWriteDeadline(c.deadline.Add(time.Second))
	if _, err := c.w.Write(ev.data); err != nil {
		return err
	}
	if ev.hasID {
		c.last = ev.id
	}
	c.story.delivered(time.Now())
	return control.Flush()
}
