package fleet

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Framing is how the end of an answer shows.
type Framing uint8

// The framings of answers.
const (
	// FramedAnswers have a length or are sent in chunks.
	FramedAnswers Framing = iota
	// UnframedAnswers end with their connection.
	UnframedAnswers
	// UnframedAnswersCut end with their connection, streams in the middle of an event.
	UnframedAnswersCut
)

// SetFraming sets how the ends of answers show.
func (e *Engine) SetFraming(f Framing) { e.withLock(func() { e.framing = f }) }

// EndlessKind is what an engine sends without end.
type EndlessKind uint8

// The kinds of answers without end.
const (
	EndlessNone EndlessKind = iota
	// EndlessHead is an answer whose header lines do not end.
	EndlessHead
	EndlessBody
	// EndlessEvent is a stream of one event that does not end.
	EndlessEvent
	EndlessComments
	// EndlessInterim is a sequence of interim responses without a final one.
	EndlessInterim
	EndlessKindCount
)

const (
	// maxEndlessBytes is how much an engine sends on one connection at most, after which it
	// closes it.
	maxEndlessBytes = 64 << 20
	// endlessChunkBytes is sent every endlessInterval: about 4 MiB a second.
	endlessChunkBytes = 32 << 10
	endlessInterval   = 8 * time.Millisecond
	endlessLineBytes  = 100
)

// SetEndless sets what the engine sends without end, until the caller closes the connection
// or 64 MiB are sent; EndlessNone ends the fault for new requests.
func (e *Engine) SetEndless(kind EndlessKind) { e.withLock(func() { e.endless = kind }) }

// sendEndless answers with the beginning of an answer that has the headers of w, followed by
// one chunk after the other.
func sendEndless(w http.ResponseWriter, kind EndlessKind) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	begin, chunk := endlessParts(w.Header(), kind)
	if _, err := conn.Write(begin); err != nil {
		return
	}
	for sent := len(begin); sent+len(chunk) <= maxEndlessBytes; sent += len(chunk) {
		if _, err := conn.Write(chunk); err != nil {
			return
		}
		time.Sleep(endlessInterval)
	}
}

// endlessParts returns what an answer without end begins with and the chunk that it repeats.
func endlessParts(h http.Header, kind EndlessKind) (begin, chunk []byte) {
	h = h.Clone()
	h.Del("Transfer-Encoding")
	h.Set("Connection", "close")
	line := strings.Repeat("a", endlessLineBytes)
	switch kind {
	case EndlessHead:
		return encodeHead(h), repeated("Filler: " + line + "\r\n")
	case EndlessInterim:
		return nil, repeated("HTTP/1.1 103 Early Hints\r\nFiller: " + line + "\r\n\r\n")
	case EndlessBody:
		h.Set("Content-Type", "application/octet-stream")
		return append(encodeHead(h), "\r\n"...), repeated(line)
	}
	h.Set("Content-Type", "text/event-stream")
	begin = append(encodeHead(h), "\r\n"...)
	if kind == EndlessComments {
		return begin, repeated(": " + line + "\n\n")
	}
	return append(begin, "id: 1\ndata: "...), repeated(line)
}

// encodeHead encodes the head of an answer without the blank line at its end.
func encodeHead(h http.Header) []byte {
	var head bytes.Buffer
	_, _ = fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", http.StatusOK, http.StatusText(http.StatusOK))
	_ = h.Write(&head)
	return head.Bytes()
}

// repeated repeats a text up to the size of a chunk.
func repeated(text string) []byte {
	return bytes.Repeat([]byte(text), endlessChunkBytes/len(text))
}
