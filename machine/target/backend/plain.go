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

// PlainClient is the client of one plain service. It is safe for concurrent use.
type PlainClient struct {
	baseURL string
	// keepAliveClient reuses connections; only calls that may be repeated use it.
	keepAliveClient *http.Client
	// singleUseClient opens a connection for each call, because the HTTP library repeats
	// a call by itself when a reused connection breaks.
	singleUseClient *http.Client
}

// NewPlainClient returns a client of the service at baseURL.
func NewPlainClient(baseURL string) *PlainClient {
	return &PlainClient{baseURL: baseURL, keepAliveClient: newClient(true), singleUseClient: newClient(false)}
}

// Call is one call of a plain service.
type Call struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Request     contract.RequestID
	// Key is the caller's idempotency key, or "".
	Key        string
	Idempotent bool
}

// Reply is the head of an answer. Its body must be read to the end and closed.
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

// Call sends one call. It fails with ErrBadCall and ErrNotSent if the call is malformed,
// with ErrNotSent if the service cannot have received it, and otherwise with
// ErrReplyLost, also if the status of the reply is no final one.
func (p *PlainClient) Call(ctx context.Context, c Call) (Reply, error) {
	req, err := p.newRequest(ctx, c)
	if err != nil {
		return Reply{}, errors.Mark(errors.Mark(err, ErrBadCall), ErrNotSent)
	}
	client := p.singleUseClient
	if c.Idempotent {
		client = p.keepAliveClient
	}
	resp, err := doRequest(client, req)
	if err != nil {
		return Reply{}, err
	}
	if !contract.IsFinalStatus(resp.StatusCode) {
		_ = resp.Body.Close()
		return Reply{}, errors.Wrapf(ErrReplyLost, "invalid status %03d", resp.StatusCode)
	}
	return Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: resp.Body}, nil
}

// newRequest builds the HTTP request. Its body cannot be rewound, so that the HTTP
// library cannot send it a second time.
func (p *PlainClient) newRequest(ctx context.Context, c Call) (*http.Request, error) {
	if !isValidPath(c.Path) {
		return nil, errors.Newf("backend: invalid path %q", c.Path)
	}
	var body io.Reader
	if len(c.Body) > 0 {
		body = io.NopCloser(bytes.NewReader(c.Body))
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, p.baseURL+c.Path, body)
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

// isValidPath reports whether path stays below the address of the service.
func isValidPath(path string) bool {
	u, err := url.ParseRequestURI(path)
	return err == nil && strings.HasPrefix(path, "/") && u.Host == "" && u.Scheme == ""
}

// Load is what a plain service reports of its load.
type Load struct {
	Running int `json:"running"`
	Limit   int `json:"limit"`
}

// Report returns the load of the service. It fails with ErrNoReport if the answer shows
// that the service does not report its load.
func (p *PlainClient) Report(ctx context.Context) (Load, error) {
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.baseURL+"/report", nil)
	if err != nil {
		return Load{}, errors.Mark(err, ErrNotSent)
	}
	resp, err := doRequest(p.keepAliveClient, req)
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

// decodeLoad decodes a report. A service that answers every path with content of its own
// does not report its load.
func decodeLoad(body io.Reader) (Load, error) {
	var load Load
	if err := json.NewDecoder(io.LimitReader(body, maxReplyBytes)).Decode(&load); err != nil {
		return Load{}, errors.Mark(errors.Wrap(err, "backend: decode report"), ErrNoReport)
	}
	if load.Limit <= 0 || load.Running < 0 {
		return Load{}, errors.Wrapf(ErrNoReport, "invalid load: running %d, limit %d", load.Running, load.Limit)
	}
	return load, nil
}
