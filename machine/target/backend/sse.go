package backend

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const maxLineBytes = 256 << 10

// event is one server-sent event.
type event struct {
	name string
	data []byte
}

// eventReader reads server-sent events. The data of an event is valid until the next call
// of next.
type eventReader struct {
	lines *bufio.Scanner
	data  []byte
}

func newEventReader(r io.Reader) *eventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, ioBufferBytes), maxLineBytes)
	return &eventReader{lines: lines}
}

// next returns the next event. It fails with ErrTooLarge if a line or an event is too
// long and with ErrTruncated if the input ends, even between two events.
func (r *eventReader) next() (event, error) {
	e := event{}
	r.data = r.data[:0]
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 {
			if e.name == "" && len(r.data) == 0 {
				continue
			}
			e.data = r.data
			return e, nil
		}
		if err := r.parseField(line, &e); err != nil {
			return event{}, err
		}
	}
	return event{}, r.endError()
}

func (r *eventReader) parseField(line []byte, e *event) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "event":
		e.name = string(value)
	case "data":
		if len(r.data) > 0 {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
	}
	if len(r.data) > maxLineBytes {
		return ErrTooLarge
	}
	return nil
}

// endError returns the error for the end of the input.
func (r *eventReader) endError() error {
	err := r.lines.Err()
	switch {
	case err == nil:
		return ErrTruncated
	case errors.Is(err, bufio.ErrTooLong):
		return ErrTooLarge
	default:
		return errors.Mark(errors.Wrap(err, "backend: read answer"), ErrTruncated)
	}
}
