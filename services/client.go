package services

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
)

const (
	maxReplyBytes = 64 << 20
	dialTimeout   = time.Second
	// callTimeout bounds a call that does not wait on purpose.
	callTimeout = 5 * time.Second
	// hostsWait is how long the host list service may hold a call open.
	hostsWait = 10 * time.Second
)

// Client speaks the platform's HTTP protocols. It implements Log, Store or
// Hosts, depending on the address it was made for.
type Client struct {
	base  string
	http  *http.Client
	meter *Meter

	// hosts is the last host list; List asks for what changed since.
	mu    sync.Mutex
	hosts HostList
}

// NewClient returns a client of the service at base, such as "http://10.0.0.1:7000".
func NewClient(base string) *Client {
	return NewMeteredClient(base, new(Meter))
}

// NewMeteredClient returns a client whose bytes are added to meter, which
// several clients may share.
func NewMeteredClient(base string, meter *Meter) *Client {
	c := &Client{base: base, meter: meter}
	transport := &http.Transport{
		DialContext:         c.dial,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
	}
	c.http = &http.Client{Transport: transport}
	return c
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meter: c.meter}, nil
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (contract.Offset, error) {
	body, err := c.call(ctx, http.MethodPost, "/log/"+url.PathEscape(stream), data, callTimeout)
	if err != nil {
		return 0, err
	}
	var reply struct {
		Offset contract.Offset `json:"offset"`
	}
	if err := json.Unmarshal(body, &reply); err != nil || reply.Offset == 0 {
		return 0, errors.Mark(errors.New("platform: append reply without offset"), ErrUncertain)
	}
	return reply.Offset, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, after contract.Offset, wait time.Duration) (Batch, error) {
	path := fmt.Sprintf("/log/%s?after=%d&wait_ms=%d", url.PathEscape(stream), after, wait.Milliseconds())
	body, err := c.call(ctx, http.MethodGet, path, nil, wait+callTimeout)
	if err != nil {
		return Batch{}, readError(err)
	}
	var batch Batch
	if err := json.Unmarshal(body, &batch); err != nil {
		return Batch{}, errors.Mark(err, ErrProtocol)
	}
	return batch, batch.check(after)
}

func (b Batch) check(after contract.Offset) error {
	next := after + 1
	for _, r := range b.Records {
		if r.Offset != next {
			return errors.Wrapf(ErrProtocol, "offset %d, want %d", r.Offset, next)
		}
		next++
	}
	return nil
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	body, err := c.call(ctx, http.MethodGet, "/store/"+name, nil, 0)
	return body, readError(err)
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	_, err := c.call(ctx, http.MethodPut, "/store/"+name, data, 0)
	return err
}

// List implements Hosts. It transfers only what changed since the last call, and
// waits for a change for up to hostsWait.
func (c *Client) List(ctx context.Context) (HostList, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	path := fmt.Sprintf("/hosts?after=%d&wait_ms=%d", c.hosts.Version, hostsWait.Milliseconds())
	body, err := c.call(ctx, http.MethodGet, path, nil, hostsWait+callTimeout)
	if err != nil {
		return HostList{}, readError(err)
	}
	var change HostChange
	if err := json.Unmarshal(body, &change); err != nil {
		return HostList{}, errors.Mark(err, ErrProtocol)
	}
	c.hosts, err = c.hosts.Apply(change)
	return c.hosts, err
}

// readError turns a lost reply into ErrUnavailable: a read has no effect.
func readError(err error) error {
	if errors.Is(err, ErrUncertain) {
		return errors.Mark(errors.Newf("%v", err), ErrUnavailable)
	}
	return err
}

// call sends one request. A timeout of 0 leaves the bound to ctx.
func (c *Client) call(ctx context.Context, method, path string, body []byte, timeout time.Duration) ([]byte, error) {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Mark(err, ErrProtocol)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, sendError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "platform"), ErrUncertain)
	}
	if len(reply) > maxReplyBytes {
		return nil, errors.Wrap(ErrProtocol, "reply too long")
	}
	return reply, statusError(resp.StatusCode, reply)
}

// sendError tells a connection that was never made, and so a call that had no
// effect, from a reply that did not come.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Mark(errors.Wrap(err, "platform"), ErrUnavailable)
	}
	return errors.Mark(errors.Wrap(err, "platform"), ErrUncertain)
}

func statusError(status int, body []byte) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusGone:
		return ErrTrimmed
	case http.StatusTooManyRequests:
		return ErrThrottled
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		const shown = 200
		return errors.Wrapf(ErrUncertain, "status %d: %s", status, body[:min(shown, len(body))])
	}
}
