package direct

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
)

// maxJoinedBodyBytes bounds the body that is copied behind the head of a request, so that both are
// sent by one write.
const maxJoinedBodyBytes = 64 << 10

// attemptRequest is a request as it is sent to a target. uri is the target of the caller's request line.
type attemptRequest struct {
	method, uri, host string
	header            http.Header
	body              []byte
}

// framingHeaders are written by attemptRequest itself.
var framingHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// writeTo writes the request with the caller's method, URI and body unchanged, and returns the number of
// bytes written. http.Request.Write changes a URI that begins with two slashes. The server that
// read the caller's request has checked the parts of which lines are made.
func (r attemptRequest) writeTo(w io.Writer) (n int, err error) {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.method, r.uri, r.host)
	if err := r.header.WriteSubset(&out, framingHeaders); err != nil {
		return 0, err
	}
	if len(r.body) > 0 || mayHaveBody(r.method) {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(r.body))
	}
	out.WriteString("\r\n")
	if len(r.body) <= maxJoinedBodyBytes {
		out.Write(r.body)
		return w.Write(out.Bytes())
	}
	if n, err = w.Write(out.Bytes()); err != nil {
		return n, err
	}
	sent, err := w.Write(r.body)
	return n + sent, err
}

// mayHaveBody reports whether a request with a method states the length of its body even if that is 0.
func mayHaveBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
