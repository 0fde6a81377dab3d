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

// TokenFunc returns the text of token i of the answer that the version with the digest gives
// to prompt.
type TokenFunc func(prompt string, digest contract.Digest, i uint64) string

// Caller sends calls to entry hosts.
type Caller struct {
	client *http.Client
	// ExpectedToken returns the tokens of a correct answer.
	ExpectedToken TokenFunc
	// Timeout is the time limit that calls request.
	Timeout time.Duration
}

// NewCaller returns a caller whose calls request the given time limit.
func NewCaller(expectedToken TokenFunc, timeout time.Duration) *Caller {
	const idleConns = 64
	transport := &http.Transport{MaxIdleConnsPerHost: idleConns}
	return &Caller{client: &http.Client{Transport: transport}, ExpectedToken: expectedToken, Timeout: timeout}
}

// ModelCall is one call of a model service.
type ModelCall struct {
	Service   contract.ServiceName
	Team      contract.TeamName
	Prompt    string
	MaxTokens uint64
}

// Generate sends a model call to the entry host at base ("http://ip:port") and checks the
// streamed answer.
func (c *Caller) Generate(ctx context.Context, base string, call ModelCall) Result {
	body, err := json.Marshal(map[string]any{"prompt": call.Prompt, "max_tokens": call.MaxTokens, "idempotent": true})
	if err != nil {
		return Result{Class: Wrong, Detail: err.Error()}
	}
	req, err := c.newRequest(ctx, http.MethodPost, base+"/v1/models/"+string(call.Service)+"/generate", call.Team, body)
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
		return readRefusal(resp)
	}
	a := answerChecker{call: call, expectedToken: c.ExpectedToken, start: start, lastTokenAt: start}
	return a.read(resp.Body)
}

// PlainCall is one call of a plain service that must run at most once. Calls with the same key
// are the same call.
type PlainCall struct {
	Service contract.ServiceName
	Team    contract.TeamName
	Key     string
	Body    string
}

// CallPlain sends a call of a plain service to the entry host at base and checks the answer.
func (c *Caller) CallPlain(ctx context.Context, base string, call PlainCall) Result {
	req, err := c.newRequest(ctx, http.MethodPost, base+"/v1/services/"+string(call.Service)+"/effect", call.Team, []byte(call.Body))
	if err != nil {
		return Result{Class: Wrong, Detail: err.Error()}
	}
	req.Header.Set("Idempotency-Key", call.Key)
	start := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return unreachable(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Result{Class: Truncated, Detail: err.Error()}
	}
	if !call.isAnsweredBy(data) {
		return Result{Class: Wrong, Detail: fmt.Sprintf("got body %q in answer to %+v", data, call)}
	}
	return Result{Class: Complete, Status: resp.StatusCode, TimeToFirstToken: time.Since(start)}
}

// isAnsweredBy reports whether data is the plain service's answer to the call.
func (p PlainCall) isAnsweredBy(data []byte) bool {
	var answer struct {
		Key  string `json:"key"`
		Body string `json:"body"`
	}
	err := json.Unmarshal(data, &answer)
	return err == nil && answer.Key == p.Key && answer.Body == p.Body
}

// newRequest returns an HTTP request of a team with the time limit of the caller's calls.
func (c *Caller) newRequest(ctx context.Context, method, url string, team contract.TeamName, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "load: create request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Team", string(team))
	req.Header.Set("X-Request-Timeout", c.Timeout.String())
	return req, nil
}

// unreachable returns the result of a call that got no answer from the entry host.
func unreachable(err error) Result {
	return Result{Class: Unreachable, Detail: err.Error()}
}

// readRefusal reads the problem details of a refusal.
func readRefusal(resp *http.Response) Result {
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
