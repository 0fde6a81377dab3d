package direct

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
)

const (
	// maxHeadBytes bounds the head of a response, informational responses before it
	// included; maxHeadLineBytes bounds one line of it and maxHeadLines their number.
	maxHeadBytes     = 64 << 10
	maxHeadLineBytes = 16 << 10
	maxHeadLines     = 512
	// maxInformational bounds the informational responses (1xx) before a response.
	maxInformational = 16
)

// errHeadTooLarge means that the head of a response exceeds one of the bounds on heads.
var errHeadTooLarge = errors.New("entry: head of a response exceeds its bound")

// errInvalidStatus means that the status of a response is neither a final nor an informational one. What
// follows its head is not known.
var errInvalidStatus = errors.New("entry: invalid status of a response")

// headReader is the source of a connection's buffered reader. While it is limited, it fails
// with errHeadTooLarge once the head exceeds a bound.
//
// The buffered reader reads ahead. It asks for more only if what it has ends within a line,
// so that the bounds hold for all that was read before; what is read ahead in one read, at
// most the reader's buffer, may belong to the body.
type headReader struct {
	source  io.Reader
	limited bool
	// exceeded is set once the head exceeds a bound.
	exceeded bool
	// total counts the bytes of the head, line those since the last end of a line, and
	// lines the ends of lines.
	total, line, lines int
}

// limitHead starts the bounds for a head.
func (h *headReader) limitHead() { *h = headReader{source: h.source, limited: true} }

// endHead ends the bounds: what follows is a body.
func (h *headReader) endHead() { h.limited = false }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.limited {
		return h.source.Read(p)
	}
	if h.total > maxHeadBytes || h.line > maxHeadLineBytes || h.lines > maxHeadLines {
		h.exceeded = true
		return 0, errHeadTooLarge
	}
	n, err := h.source.Read(p)
	h.count(p[:n])
	return n, err
}

func (h *headReader) count(part []byte) {
	h.total += len(part)
	h.lines += bytes.Count(part, []byte("\n"))
	if i := bytes.LastIndexByte(part, '\n'); i >= 0 {
		h.line = len(part) - i - 1
		return
	}
	h.line += len(part)
}

// readResponse reads the head of the response to a request, past informational responses.
func (c *conn) readResponse(req *http.Request) (*http.Response, error) {
	c.head.limitHead()
	defer c.head.endHead()
	for range maxInformational + 1 {
		resp, err := http.ReadResponse(c.reader, req)
		if c.head.exceeded {
			// The parser may report the line that was cut off instead.
			return nil, errHeadTooLarge
		}
		if err != nil {
			return nil, err
		}
		if countLines(resp.Header) > maxHeadLines {
			return nil, errHeadTooLarge
		}
		if contract.IsFinalStatus(resp.StatusCode) {
			return resp, nil
		}
		if !contract.IsInformationalStatus(resp.StatusCode) {
			return nil, errors.Wrapf(errInvalidStatus, "status %03d", resp.StatusCode)
		}
	}
	return nil, errHeadTooLarge
}

func countLines(h http.Header) int {
	lines := 0
	for _, values := range h {
		lines += len(values)
	}
	return lines
}
