package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	dialTimeout        = time.Second
	callTimeout        = 5 * time.Second
	answerCloseTimeout = 500 * time.Millisecond
	maxIdleConns       = 64
	idleTimeout        = 30 * time.Second
	maxDrainBytes      = 512
	maxReplyBytes      = 1 << 20
	ioBufferBytes      = 4 << 10
)

// newTransport returns a transport that ignores proxy settings. Without reuse, every call
// opens its own connection.
func newTransport(reuse bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableKeepAlives:   !reuse,
		DisableCompression:  true,
		ReadBufferSize:      ioBufferBytes,
		WriteBufferSize:     ioBufferBytes,
	}
}

// newClient returns a client that returns redirects to the caller instead of following
// them.
func newClient(reuse bool) *http.Client {
	return &http.Client{
		Transport:     newTransport(reuse),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// doRequest sends req. It fails with ErrNotSent if no connection was made for the
// request, otherwise with ErrReplyLost.
func doRequest(client *http.Client, req *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := client.Do(req)
	if err == nil {
		return resp, nil
	}
	if !connected.Load() {
		return nil, errors.Mark(errors.Wrap(err, "backend: connect"), ErrNotSent)
	}
	return nil, errors.Mark(errors.Wrap(err, "backend: receive reply"), ErrReplyLost)
}

// drain reads a bounded rest of the body, so that the connection can be reused, and
// closes the body.
func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	_ = body.Close()
}

func withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, callTimeout)
}
