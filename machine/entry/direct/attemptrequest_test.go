package direct

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

// received is a request as it arrived at a target.
type received struct {
	line string
	*http.Request
	body string
}

// recordingTarget answers one request, and returns it as it arrived.
func recordingTarget(t *testing.T) (address string, requests <-chan received) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	arrived := make(chan received, 1)
	go func() {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		// The line itself is compared as text; what follows is parsed behind one that is valid.
		r, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(strings.Fields(line)[0]+" / HTTP/1.1\r\n"), reader)))
		if err != nil {
			t.Errorf("request %q cannot be read: %v", line, err)
			return
		}
		body, _ := io.ReadAll(r.Body)
		arrived <- received{strings.TrimSuffix(line, "\r\n"), r, string(body)}
		_, _ = io.WriteString(conn, answerText(200, r.Header.Get("Attempt-Id"), "", "ok"))
	}()
	return lis.Addr().String(), arrived
}

// Guards against requests that run with another path than the caller's (UNASKED, review/4): a path that begins with two
// slashes reached the target behind a colon.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", maxJoinedBodyBytes/8)
	for _, text := range []string{
		"POST //filings/17?draft=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab",
		"POST // HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
		"GET ///x HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /x//y?z=//q HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a%2Fb/%C3%A4\xc3\xa4?x=%zz&y=\"<>{}|^`\" HTTP/1.1\r\nHost: h:81\r\n\r\n",
		"GET /? HTTP/1.1\r\nHost: h\r\nX-Own: a\r\nX-Own: b\r\n\r\n",
		"DELETE /x HTTP/1.1\r\nHost: h\r\n\r\n",
		"PUT /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"PUT /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + large + "\r\n0\r\n\r\n",
	} {
		line, _, _ := strings.Cut(text, "\r\n")
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		address, requests := recordingTarget(t)
		c, _ := boundedCall(newQuietEntry(), catalog.NonIdempotent)
		r.Header.Set("Attempt-Id", "a")
		c.r, c.body.data = r, body
		outcome, _ := c.runAttempts(context.Background(), placement.Choice{ID: "target-1", Address: address})
		if outcome != attempts.Completed {
			t.Errorf("%q: outcome %v, want 0 (Completed)", line, outcome)
			continue
		}
		got := <-requests
		if got.line != line || got.body != string(body) || got.Host != r.Host {
			t.Errorf("%q: %q arrived, host %q, %d bytes of body, want the same line, host %q and %d bytes", line, got.line, got.Host, len(got.body), r.Host, len(body))
		}
		if own, want := got.Header["X-Own"], r.Header["X-Own"]; strings.Join(own, ",") != strings.Join(want, ",") {
			t.Errorf("%q: X-Own %q arrived, want %q", line, own, want)
		}
		if agent, ok := got.Header["User-Agent"]; ok {
			t.Errorf("%q: User-Agent %q arrived, want none", line, agent)
		}
		if got.ContentLength != int64(len(body)) || len(got.TransferEncoding) > 0 {
			t.Errorf("%q: length %d and encoding %q arrived, want %d and none", line, got.ContentLength, got.TransferEncoding, len(body))
		}
	}
}
