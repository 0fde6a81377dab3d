package direct

import (
	"bufio"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

// Guards against an answer that is taken for complete although its target broke off or sent
// bytes that are no answer.
func TestAnswersOfUnsoundTargets(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nAttempt-Id: a\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
		event   = "id: 1\ndata: x\n\n"
	)
	const buffered, stream = catalog.Idempotent, catalog.Streaming
	for name, c := range map[string]struct {
		kind   catalog.Kind
		answer string
		reset  bool
		want   attempts.Outcome
		body   string
		kept   bool
	}{
		"length":                       {buffered, head + "Content-Length: 2\r\n\r\nok", false, attempts.Completed, "ok", true},
		"chunks":                       {buffered, chunked + "2\r\nok\r\n0\r\n\r\n", false, attempts.Completed, "ok", true},
		"end of connection":            {buffered, head + "\r\nok", false, attempts.Completed, "ok", false},
		"reset instead of end":         {buffered, head + "\r\nok", true, attempts.Lost, "", false},
		"shorter than its length":      {buffered, head + "Content-Length: 3\r\n\r\nok", false, attempts.Lost, "", false},
		"longer than its length":       {buffered, head + "Content-Length: 2\r\n\r\nokay", false, attempts.Completed, "ok", false},
		"second answer":                {buffered, head + "Content-Length: 2\r\n\r\nok" + head + "Content-Length: 2\r\n\r\nno", false, attempts.Completed, "ok", false},
		"negative length":              {buffered, head + "Content-Length: -1\r\n\r\nok", false, attempts.Lost, "", false},
		"two lengths":                  {buffered, head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", false, attempts.Lost, "", false},
		"length of 20 digits":          {buffered, head + "Content-Length: 99999999999999999999\r\n\r\nok", false, attempts.Lost, "", false},
		"no number as length":          {buffered, head + "Content-Length: 2x\r\n\r\nok", false, attempts.Lost, "", false},
		"no end of chunks":             {buffered, chunked + "2\r\nok\r\n", false, attempts.Lost, "", false},
		"no chunk":                     {buffered, chunked + "zz\r\nok\r\n", false, attempts.Lost, "", false},
		"long chunk extension":         {buffered, chunked + "2;" + strings.Repeat("x", 8<<10) + "\r\nok\r\n0\r\n\r\n", false, attempts.Lost, "", false},
		"long trailer":                 {buffered, chunked + "2\r\nok\r\n0\r\nX: " + strings.Repeat("x", 8<<10) + "\r\n\r\n", false, attempts.Lost, "", false},
		"no answer":                    {buffered, "\x00\x01 garbage\r\n\r\n", false, attempts.Lost, "", false},
		"end of connection at once":    {buffered, "", false, attempts.Lost, "", false},
		"part of a head":               {buffered, head, false, attempts.Lost, "", false},
		"end of connection, no stamp":  {buffered, "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\nok", false, attempts.Lost, "", false},
		"HTTP/1.0":                     {buffered, strings.Replace(head, "1.1", "1.0", 1) + "Content-Length: 2\r\n\r\nok", false, attempts.Completed, "ok", false},
		"informational":                {buffered, "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", false, attempts.Completed, "ok", true},
		"stream, chunks":               {stream, chunked + "f\r\n" + event + "\r\n0\r\n\r\n", false, attempts.Completed, event, true},
		"stream, end of connection":    {stream, head + "\r\n" + event, false, attempts.Completed, event, false},
		"stream, ends with a line":     {stream, head + "\r\n" + event + "\n", false, attempts.Completed, event + "\n", false},
		"stream, reset":                {stream, head + "\r\n" + event, true, attempts.Lost, event, false},
		"stream, end inside an event":  {stream, head + "\r\n" + event + "id: 2\nda", false, attempts.Lost, event, false},
		"stream, end before the blank": {stream, head + "\r\n" + event + "id: 2\ndata: y\n", false, attempts.Lost, event, false},
		"stream, shorter":              {stream, head + "Content-Length: 99\r\n\r\n" + event, false, attempts.Lost, event, false},
		"stream, no end of chunks":     {stream, chunked + "f\r\n" + event + "\r\n", false, attempts.Lost, event, false},
		"stream, longer":               {stream, head + "Content-Length: 15\r\n\r\n" + event + "id: 2\n\n", false, attempts.Completed, event, false},
		"stream, no stamp":             {stream, "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\n" + event, false, attempts.Lost, "", false},
	} {
		e := newQuietEntry()
		call, w := boundedCall(e, c.kind)
		address := closingTarget(t, c.answer, c.reset)
		outcome, _ := call.runAttempts(context.Background(), placement.Choice{ID: "target-1", Address: address})
		if outcome != c.want || w.Body.String() != c.body {
			t.Errorf("%s: outcome %v, body %q, want %v, %q (broke %q)", name, outcome, w.Body, c.want, c.body, call.record.breakage)
		}
		if kept := len(e.conns.idle[address]) > 0; kept != c.kept {
			t.Errorf("%s: connection kept: %v, want %v", name, kept, c.kept)
		}
		if e.buffers.used != 0 {
			t.Errorf("%s: %d chunks in use after the attempt, want none", name, e.buffers.used)
		}
	}
}

// FuzzReadResponse reads a response from any bytes: it has to end, within the bounds, and
// whatever it brings has to be free of the buffers afterwards.
func FuzzReadResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nid: 1\n\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", 2000),
		"HTTP/1.1 200 " + strings.Repeat("y", 20<<10),
		"HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\n\r\nid: 1\n\n",
		strings.Repeat("HTTP/1.1 103 Hints\r\n\r\n", 20),
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		source := &headReader{source: strings.NewReader(string(data))}
		c := &conn{reader: bufio.NewReader(source), head: source}
		resp, err := c.readResponse(httptest.NewRequest(http.MethodPost, "/x", nil))
		if source.total > maxHeadBytes+bufferBytes {
			t.Fatalf("read %d bytes for a head, want at most %d", source.total, maxHeadBytes+bufferBytes)
		}
		if err != nil {
			return
		}
		if lines := countLines(resp.Header); lines > maxHeadLines || !contract.IsFinalStatus(resp.StatusCode) {
			t.Fatalf("status %d with %d lines, want 200 to 599 and at most %d lines", resp.StatusCode, lines, maxHeadLines)
		}
		budget := &bufferBudget{}
		readEvents(bufio.NewReader(resp.Body), budget)
		if budget.used != 0 {
			t.Errorf("%d chunks in use afterwards, want none", budget.used)
		}
	})
}

// bufferBytes is the size of a connection's buffer: what may be read ahead.
const bufferBytes = 4 << 10

func readEvents(r *bufio.Reader, budget *bufferBudget) {
	data := newChunkBuffer(budget)
	defer data.release()
	for {
		if _, err := readEvent(r, data); err != nil {
			return
		}
	}
}
