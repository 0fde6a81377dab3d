package load

import (
	"bufio"
	"io"
	"strings"
)

// maxEventBytes limits the length of one line of an event.
const maxEventBytes = 1 << 20

// event is one server-sent event.
type event struct {
	name string
	data string
}

// eventReader reads server-sent events.
type eventReader struct {
	scanner *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	return &eventReader{scanner: scanner}
}

// next returns the next event; it fails with io.EOF at the end of the stream
// and with io.ErrUnexpectedEOF in the middle of an event.
func (r *eventReader) next() (event, error) {
	var e event
	started := false
	for r.scanner.Scan() {
		line := r.scanner.Text()
		switch {
		case line == "" && started:
			return e, nil
		case strings.HasPrefix(line, "event: "):
			e.name = strings.TrimPrefix(line, "event: ")
			started = true
		case strings.HasPrefix(line, "data: "):
			e.data += strings.TrimPrefix(line, "data: ")
			started = true
		}
	}
	if err := r.scanner.Err(); err != nil {
		return event{}, err
	}
	if started {
		return event{}, io.ErrUnexpectedEOF
	}
	return event{}, io.EOF
}
