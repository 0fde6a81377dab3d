//go:build review

package harness

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"mimosastand.example/mimosastand/standin/fleet"
)

// Request is a request of a client to an entry.
type Request struct {
	Entry, Method, Path, Key, Body string
	// Timeout is how long the client waits; it tells the entry so.
	Timeout time.Duration
}

// Answer is what became of a request.
type Answer struct {
	AttemptID string
	SentAt    time.Time
	Took      time.Duration
	// Status is 0 if the channel ended without an answer.
	Status int
	Body   string
	// Engine is the engine that says it answered, and Stamped is set if the answer has its stamp.
	Engine  string
	Stamped bool
	// Err is set if the channel ended before the answer was complete.
	Err error
}

// IsServed reports whether the answer is a complete success of an engine.
func (a Answer) IsServed() bool { return a.Err == nil && a.Status == http.StatusOK && a.Stamped }

// String describes the answer for the record.
func (a Answer) String() string {
	return fmt.Sprintf("%s: status %d from engine %q after %d ms, %d bytes, error %v", a.AttemptID, a.Status, a.Engine, a.Took.Milliseconds(), len(a.Body), a.Err)
}

// lastAttempt numbers the attempts of all clients.
var lastAttempt atomic.Int64

// Client sends requests, each on a channel of its own.
type Client struct{ http *http.Client }

// NewClient returns a client.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// Send sends a request and waits for the complete answer.
func (c *Client) Send(r Request) Answer {
	a := Answer{AttemptID: "attempt-" + strconv.FormatInt(lastAttempt.Add(1), 10), SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	defer func() { a.Took = time.Since(a.SentAt) }()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Entry+r.Path, strings.NewReader(r.Body))
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = fleet.Host
	req.Header.Set("Attempt-Id", a.AttemptID)
	req.Header.Set("Authorization", "Bearer "+r.Key)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	return c.receive(req, a)
}

func (c *Client) receive(req *http.Request, a Answer) Answer {
	resp, err := c.http.Do(req)
	if err != nil {
		a.Err, a.Took = err, time.Since(a.SentAt)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	a.Status, a.Body, a.Err, a.Took = resp.StatusCode, string(body), err, time.Since(a.SentAt)
	a.Engine, a.Stamped = resp.Header.Get("Instance-Id"), resp.Header.Get("Server-Stamp") != ""
	return a
}
