package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/machine/entry/admin/wire"
)

const (
	callTimeout   = 15 * time.Second
	dialTimeout   = 2 * time.Second
	maxReplyBytes = 64 << 20
)

// client calls the administration API on the first server that answers. Without a token it calls what
// needs none.
type client struct {
	servers []string
	token   string
	http    *http.Client
}

func newClient(servers []string, token string) *client {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	return &client{servers: servers, token: token, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// get reads path into reply.
func (c *client) get(ctx context.Context, path string, reply any) error {
	return c.tryServers(ctx, http.MethodGet, path, nil, reply)
}

// post sends a change. The body contains an identifier, so that sending it again to
// another server after a lost reply has no further effect.
func (c *client) post(ctx context.Context, path string, body, reply any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	return c.tryServers(ctx, http.MethodPost, path, data, reply)
}

// tryServers tries the servers in turn. If the reply to a change is lost, the result is
// unknown unless another server reports it.
func (c *client) tryServers(ctx context.Context, method, path string, body []byte, reply any) error {
	lost := false
	lastErr := error(ErrUnavailable)
	for _, server := range c.servers {
		sent, err := c.call(ctx, method, server+path, body, reply)
		if err == nil || isFinal(err) {
			return err
		}
		lost = lost || sent && method == http.MethodPost
		lastErr = err
	}
	if lost {
		return errors.Mark(errors.Wrapf(ErrResultUnknown, "%v", lastErr), ErrResultUnknown)
	}
	var problem *ProblemError
	if errors.As(lastErr, &problem) {
		return lastErr
	}
	return errors.Mark(errors.Newf("%v: %v", ErrUnavailable, lastErr), ErrUnavailable)
}

// isFinal reports whether another server would give the same answer.
func isFinal(err error) bool {
	var problem *ProblemError
	return errors.As(err, &problem) && problem.Problem.Status != http.StatusServiceUnavailable
}

// call sends one request and decodes the reply. If it fails, sent reports whether the
// request may have taken effect.
func (c *client) call(ctx context.Context, method, url string, body []byte, reply any) (sent bool, err error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return false, errors.Mark(err, ErrUsage)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		return !(errors.As(err, &op) && op.Op == "dial"), errors.Wrap(err, "call")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return true, errors.Wrap(err, "read reply")
	}
	if resp.StatusCode != http.StatusOK {
		return problemError(resp, data)
	}
	return true, errors.Wrap(json.Unmarshal(data, reply), "decode reply")
}

// problemError returns the problem in an error reply and whether the request may have
// taken effect. It fails with the status alone if the reply contains no problem.
func problemError(resp *http.Response, data []byte) (bool, error) {
	p := wire.Problem{Status: resp.StatusCode}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") || json.Unmarshal(data, &p) != nil {
		return true, errors.Newf("status %s", resp.Status)
	}
	return p.Outcome == "unknown", &ProblemError{Problem: p}
}
