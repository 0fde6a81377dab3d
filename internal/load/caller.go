package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
)

// TokenFunc returns the text of token i of the answer to prompt from a version.
type TokenFunc func(prompt string, digest contract.Digest, i uint64) string

// Caller sends calls to entry hosts.
type Caller struct {
	client *http.Client
	// Token says what a right answer holds.
	ExpectedToken TokenFunc
	// Timeout is the deadline that calls ask for.
	Timeout time.Duration
}

// NewCaller returns a caller whose calls have the given deadline.
func NewCaller(token TokenFunc, timeout time.Duration) *Caller {
	const idleConns = 64
	transport := &http.Transport{MaxIdleConnsPerHost: idleConns}
	return &Caller{client: &http.Client{Transport: transport}, ExpectedToken: token, Timeout: timeout}
}

// Model is one model call.
type ModelCall struct {
	Service   contract.ServiceName
	Team      contract.TeamName
	Prompt    string
	MaxTokens uint64
}

// Generate sends a model call to the entry host at base ("http://ip:port").
func (c *Caller) Generate(ctx context.Context, base string, m ModelCall) Result {
	body, err := json.Marshal(map[string]any{"prompt": m.Prompt, "max_tokens": m.MaxTokens, "idempotent": true})
	if err != nil {
		return Result{Class: Wrong, Detail: err.Error()}
	}
	req, err := c.request(ctx, http.MethodPost, base+"/v1/models/"+string(m.Service)+"/generate", m.Team, body)
	if err != nil {
		return Result{Class: Wrong, Detail: err.Error()}
	}
	start := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return unreachable(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	a := answer{model: m, token: c.ExpectedToken, start: start, last: start}
	return a.read(resp.Body)
}

// Effect is one call of a plain service that must run at most once.
type PlainCall struct {
	Service contract.ServiceName
	Team    contract.TeamName
	Key     string
	Body    string
}

// Call sends a service call to the entry host at base.
func (c *Caller) CallPlain(ctx context.Context, base string, e PlainCall) Result {
	req, err := c.request(ctx, http.MethodPost, base+"/v1/services/"+string(e.Service)+"/effect", e.Team, []byte(e.Body))
	if err != nil {
		return Result{Class: Wrong, Detail: err.Error()}
	}
	req.Header.Set("Idempotency-Key", e.Key)
	start := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return unreachable(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Result{Class: Truncated, Detail: err.Error()}
	}
	if !e.answeredBy(data) {
		return Result{Class: Wrong, Detail: fmt.Sprintf("body %q for %+v", data, e)}
	}
	return Result{Class: Complete, Status: resp.StatusCode, TimeToFirstToken: time.Since(start)}
}

// answeredBy reports whether data is the plain service's answer to the call.
func (e PlainCall) answeredBy(data []byte) bool {
	var answer struct {
		Key  string `json:"key"`
		Body string `json:"body"`
	}
	err := json.Unmarshal(data, &answer)
	return err == nil && answer.Key == e.Key && answer.Body == e.Body
}

func (c *Caller) request(ctx context.Context, method, url string, team contract.TeamName, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "load")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Team", string(team))
	req.Header.Set("X-Request-Timeout", c.Timeout.String())
	return req, nil
}

func unreachable(err error) Result {
	return Result{Class: Unreachable, Detail: err.Error()}
}

// refusal reads problem details.
func refusal(resp *http.Response) Result {
	var problem struct {
		Outcome string          `json:"outcome"`
		Reason  contract.Reason `json:"reason"`
		Detail  string          `json:"detail"`
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Result{Class: Truncated, Status: resp.StatusCode, Detail: err.Error()}
	}
	if err := json.Unmarshal(data, &problem); err != nil {
		return Result{Class: Wrong, Status: resp.StatusCode, Detail: fmt.Sprintf("status %d: %q", resp.StatusCode, data)}
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return Result{
		Class:      Refused,
		Status:     resp.StatusCode,
		Outcome:    problem.Outcome,
		Reason:     problem.Reason,
		RetryAfter: time.Duration(seconds) * time.Second,
		Detail:     fmt.Sprintf("%d %s: %s", resp.StatusCode, problem.Reason, problem.Detail),
	}
}
