package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
)

// Plain is the client of one plain service. It is safe for concurrent use.
type PlainClient struct {
	base string
	// reused keeps connections open; only calls that may be repeated use it.
	reused *http.Client
	// fresh makes a connection for each call, because the HTTP library sends a
	// call again by itself when a connection that it reuses breaks.
	fresh *http.Client
}

// NewPlain returns a client of the service at base.
func NewPlainClient(base string) *PlainClient {
	return &PlainClient{base: base, reused: newClient(true), fresh: newClient(false)}
}

// Call is one call of a plain service.
type Call struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Request     contract.RequestID
	// Key is the caller's idempotency key, or empty.
	Key        string
	Idempotent bool
}

// Reply is the head of an answer; its body must be read to the end and closed.
type Reply struct {
	Status      int
	ContentType string
	Body        io.ReadCloser
}

// Headers that the target adds to a call.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// Call sends one call. It fails with ErrBadCall if the call is malformed, with
// ErrNotSent if the service cannot have seen it, else with ErrLost.
func (p *PlainClient) Call(ctx context.Context, c Call) (Reply, error) {
	req, err := p.request(ctx, c)
	if err != nil {
		return Reply{}, errors.Mark(errors.Mark(err, ErrBadCall), ErrNotSent)
	}
	client := p.fresh
	if c.Idempotent {
		client = p.reused
	}
	resp, err := do(client, req)
	if err != nil {
		return Reply{}, err
	}
	return Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: resp.Body}, nil
}

// request builds the HTTP request. Its body cannot be rewound, so that the
// HTTP library cannot send it a second time.
func (p *PlainClient) request(ctx context.Context, c Call) (*http.Request, error) {
	if !validPath(c.Path) {
		return nil, errors.Newf("path %q", c.Path)
	}
	var body io.Reader
	if len(c.Body) > 0 {
		body = io.NopCloser(bytes.NewReader(c.Body))
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, p.base+c.Path, body)
	if err != nil {
		return nil, err
	}
	if body != nil {
		req.ContentLength = int64(len(c.Body))
	}
	if c.ContentType != "" {
		req.Header.Set("Content-Type", c.ContentType)
	}
	req.Header.Set(headerRequestID, string(c.Request))
	if c.Key != "" {
		req.Header.Set(headerIdempotencyKey, c.Key)
	}
	return req, nil
}

// validPath reports whether path stays below the service's address.
func validPath(path string) bool {
	u, err := url.ParseRequestURI(path)
	return err == nil && strings.HasPrefix(path, "/") && u.Host == "" && u.Scheme == ""
}

// Load is what a plain service tells of its load.
type Load struct {
	Running int `json:"running"`
	Limit   int `json:"limit"`
}

// Report returns the service's load. It fails with ErrNoReport if the answer is
// that of a service which reports none.
func (p *PlainClient) Report(ctx context.Context) (Load, error) {
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.base+"/report", nil)
	if err != nil {
		return Load{}, errors.Mark(err, ErrNotSent)
	}
	resp, err := do(p.reused, req)
	if err != nil {
		return Load{}, err
	}
	defer drain(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
		return decodeLoad(resp.Body)
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return Load{}, errors.Wrapf(ErrNoReport, "status %d", resp.StatusCode)
	default:
		return Load{}, errors.Wrapf(ErrReplyLost, "status %d", resp.StatusCode)
	}
}

// decodeLoad reads a report. A service that answers every path with something
// of its own gives none.
func decodeLoad(body io.Reader) (Load, error) {
	var load Load
	if err := json.NewDecoder(io.LimitReader(body, maxReplyBytes)).Decode(&load); err != nil {
		return Load{}, errors.Mark(errors.Wrap(err, "backend: report"), ErrNoReport)
	}
	if load.Limit <= 0 || load.Running < 0 {
		return Load{}, errors.Wrapf(ErrNoReport, "running %d, limit %d", load.Running, load.Limit)
	}
	return load, nil
}
