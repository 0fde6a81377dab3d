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
	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/internal/traffic"
	"mimosastand.example/mimosastand/zone/hostlist"
)

const (
	maxReplyBytes = 64 << 20
	dialTimeout   = time.Second
	// callTimeout bounds a call, beyond the time that it asks the service to wait.
	callTimeout = 5 * time.Second
	// hostsWait is how long the host list service may hold a call open until the list
	// changes.
	hostsWait = 10 * time.Second
)

// Client calls one of the services over HTTP. It serves as durable.Log, durable.Store
// or hostlist.Reader, depending on the service at its address.
type Client struct {
	base  string
	http  *http.Client
	meter *traffic.Meter

	// hosts is the last host list; List requests only the changes since. mu guards it.
	mu    sync.Mutex
	hosts hostlist.List
}

// NewClient returns a client of the service at base, such as "http://10.0.0.1:7000".
func NewClient(base string) *Client {
	return NewMeteredClient(base, new(traffic.Meter))
}

// NewMeteredClient returns a client that adds the bytes it sends and receives to meter,
// which several clients may share.
func NewMeteredClient(base string, meter *traffic.Meter) *Client {
	c := &Client{base: base, meter: meter}
	transport := &http.Transport{
		DialContext:         c.dial,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
	}
	c.http = &http.Client{Transport: transport}
	return c
}

// dial opens a connection whose bytes are counted.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return c.meter.Wrap(conn), nil
}

// Append implements durable.Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (contract.Offset, error) {
	body, err := c.call(ctx, http.MethodPost, "/log/"+url.PathEscape(stream), data, callTimeout)
	if err != nil {
		return 0, err
	}
	var reply struct {
		Offset contract.Offset `json:"offset"`
	}
	if err := json.Unmarshal(body, &reply); err != nil || reply.Offset == 0 {
		return 0, errors.Mark(errors.New("platform: append reply without offset"), durable.ErrUncertain)
	}
	return reply.Offset, nil
}

// Read implements durable.Log.
func (c *Client) Read(ctx context.Context, stream string, after contract.Offset, wait time.Duration) (durable.Batch, error) {
	path := fmt.Sprintf("/log/%s?after=%d&wait_ms=%d", url.PathEscape(stream), after, wait.Milliseconds())
	body, err := c.call(ctx, http.MethodGet, path, nil, wait+callTimeout)
	if err != nil {
		return durable.Batch{}, readError(err)
	}
	var batch durable.Batch
	if err := json.Unmarshal(body, &batch); err != nil {
		return durable.Batch{}, errors.Mark(err, durable.ErrProtocol)
	}
	return batch, batch.CheckOffsets(after)
}

// Get implements durable.Store.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	body, err := c.call(ctx, http.MethodGet, "/store/"+name, nil, 0)
	return body, readError(err)
}

// Put implements durable.Store.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	_, err := c.call(ctx, http.MethodPut, "/store/"+name, data, 0)
	return err
}

// List implements hostlist.Reader. It transfers only the changes since the last call and
// waits for a change for up to hostsWait.
func (c *Client) List(ctx context.Context) (hostlist.List, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	path := fmt.Sprintf("/hosts?after=%d&wait_ms=%d", c.hosts.Version, hostsWait.Milliseconds())
	body, err := c.call(ctx, http.MethodGet, path, nil, hostsWait+callTimeout)
	if err != nil {
		return hostlist.List{}, readError(err)
	}
	var change hostlist.Change
	if err := json.Unmarshal(body, &change); err != nil {
		return hostlist.List{}, errors.Mark(err, durable.ErrProtocol)
	}
	c.hosts, err = c.hosts.Apply(change)
	return c.hosts, err
}

// readError turns durable.ErrUncertain into durable.ErrUnavailable: a read has no effect,
// so that a lost reply leaves nothing uncertain.
func readError(err error) error {
	if errors.Is(err, durable.ErrUncertain) {
		return errors.Mark(errors.Newf("%v", err), durable.ErrUnavailable)
	}
	return err
}

// call sends one request and returns the body of the reply. With a timeout of 0 only ctx
// bounds the call.
func (c *Client) call(ctx context.Context, method, path string, body []byte, timeout time.Duration) ([]byte, error) {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Mark(err, durable.ErrProtocol)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, sendError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "platform"), durable.ErrUncertain)
	}
	if len(reply) > maxReplyBytes {
		return nil, errors.Wrap(durable.ErrProtocol, "reply longer than 64 MiB")
	}
	return reply, statusError(resp.StatusCode, reply)
}

// sendError marks a failed connection attempt, after which the call certainly had no
// effect, as durable.ErrUnavailable, and any other failure as durable.ErrUncertain.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Mark(errors.Wrap(err, "platform"), durable.ErrUnavailable)
	}
	return errors.Mark(errors.Wrap(err, "platform"), durable.ErrUncertain)
}

// statusError returns the error for the status of a reply; body is shown for a status that
// the protocol does not define.
func statusError(status int, body []byte) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return durable.ErrNotFound
	case http.StatusGone:
		return durable.ErrTrimmed
	case http.StatusTooManyRequests:
		return durable.ErrThrottled
	case http.StatusServiceUnavailable:
		return durable.ErrUnavailable
	default:
		const maxShownBytes = 200
		return errors.Wrapf(durable.ErrUncertain, "status %d: %s", status, body[:min(maxShownBytes, len(body))])
	}
}
