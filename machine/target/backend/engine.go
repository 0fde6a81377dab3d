package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
)

// EngineClient is the client of one model engine. It is safe for concurrent use.
type EngineClient struct {
	baseURL string
	client  *http.Client
}

// NewEngineClient returns a client of the engine at baseURL, such as
// "http://10.0.0.1:8000".
func NewEngineClient(baseURL string) *EngineClient {
	return &EngineClient{baseURL: baseURL, client: newClient(true)}
}

// GenerateRequest is a request to generate tokens.
type GenerateRequest struct {
	// ID identifies the work when it is cancelled.
	ID        string          `json:"id"`
	Prompt    string          `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Priority  int             `json:"priority"`
	ResumeAt  uint64          `json:"resume_at"`
	Digest    contract.Digest `json:"digest"`
}

// Token is one part of an answer.
type Token struct {
	// At is the number of tokens before this one, counted from the start of the complete
	// answer.
	At   uint64 `json:"at"`
	Text string `json:"text"`
}

// GenerateEnd ends a complete answer.
type GenerateEnd struct {
	// Tokens is the length of the complete answer, including the tokens before the
	// position from which it was requested.
	Tokens uint64          `json:"tokens"`
	Digest contract.Digest `json:"digest"`
}

// Report is what an engine reports of itself. It lags behind the engine's state.
type Report struct {
	// Boot changes when the engine restarts; Seq orders the reports of one boot.
	Boot    string          `json:"boot"`
	Seq     uint64          `json:"seq"`
	Digest  contract.Digest `json:"digest"`
	Role    string          `json:"role"`
	Warm    bool            `json:"warm"`
	Running int             `json:"running"`
	// Limit is the number of units that the engine can run.
	Limit int `json:"limit"`
	// AgeMS is how old the report was when it was sent, in milliseconds.
	AgeMS   int64 `json:"age_ms"`
	Fencing bool  `json:"fencing"`
}

// OrderRequest orders an engine to change what it serves.
type OrderRequest struct {
	Fence    contract.Fence  `json:"fence"`
	Order    string          `json:"order"`
	Digest   contract.Digest `json:"digest"`
	Adapters []string        `json:"adapters,omitempty"`
	Role     string          `json:"role,omitempty"`
}

// The kinds of order.
const (
	OrderActivate = "activate"
	OrderDrop     = "drop"
	OrderRole     = "role"
)

// Generate runs one request and calls onToken for each token in order. It returns the end
// of a complete answer or an error: ErrNotSent or ErrRefused if the work did not start,
// ErrReplyLost, ErrTruncated or ErrTooLarge if it may have started, or the error of
// onToken.
func (e *EngineClient) Generate(ctx context.Context, g GenerateRequest, onToken func(Token) error) (GenerateEnd, error) {
	resp, err := e.post(ctx, "/v1/generate", g)
	if err != nil {
		return GenerateEnd{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return GenerateEnd{}, generateError(resp)
	}
	end, err := readAnswer(resp.Body, g.ResumeAt, onToken)
	if err == nil {
		awaitClose(resp.Body)
	}
	return end, err
}

// awaitClose waits until the engine has closed a complete answer, for at most
// answerCloseTimeout. Until then the engine counts the work as running.
func awaitClose(body io.ReadCloser) {
	timer := time.AfterFunc(answerCloseTimeout, func() { _ = body.Close() })
	defer timer.Stop()
	drain(body)
}

// generateError returns the error for the status of a reply to a generate request.
func generateError(resp *http.Response) error {
	drain(resp.Body)
	switch resp.StatusCode {
	case http.StatusConflict:
		return errors.Mark(ErrDigestMismatch, ErrRefused)
	case http.StatusServiceUnavailable:
		return errors.Mark(ErrOverloaded, ErrRefused)
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusNotFound:
		return errors.Mark(ErrBadCall, ErrRefused)
	default:
		return errors.Wrapf(ErrReplyLost, "status %d", resp.StatusCode)
	}
}

// readAnswer reads the tokens from position next on, which must have no gaps.
func readAnswer(body io.Reader, next uint64, onToken func(Token) error) (GenerateEnd, error) {
	events := newEventReader(body)
	for {
		event, err := events.next()
		if err != nil {
			return GenerateEnd{}, err
		}
		switch event.name {
		case "token":
			var t Token
			if err := json.Unmarshal(event.data, &t); err != nil || t.At != next {
				return GenerateEnd{}, errors.Wrapf(ErrTruncated, "token at position %d, want %d", t.At, next)
			}
			if err := onToken(t); err != nil {
				return GenerateEnd{}, err
			}
			next++
		case "end":
			return decodeEnd(event.data, next)
		}
	}
}

func decodeEnd(data []byte, next uint64) (GenerateEnd, error) {
	var end GenerateEnd
	if err := json.Unmarshal(data, &end); err != nil || end.Tokens != next {
		return GenerateEnd{}, errors.Wrapf(ErrTruncated, "answer ends at %d tokens, received %d", end.Tokens, next)
	}
	return end, nil
}

// Cancel stops the work that runs under id. If it returns nil, the work has stopped or
// the engine knows no such work.
func (e *EngineClient) Cancel(ctx context.Context, id string) error {
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	resp, err := e.post(ctx, "/v1/cancel", struct {
		ID string `json:"id"`
	}{id})
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusNotFound {
		drain(resp.Body)
		return nil
	}
	return checkStatus(resp)
}

// Report returns the newest report of the engine.
func (e *EngineClient) Report(ctx context.Context) (Report, error) {
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	resp, err := e.send(ctx, http.MethodGet, "/v1/report", nil)
	if err != nil {
		return Report{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return Report{}, checkStatus(resp)
	}
	return decodeReport(resp.Body)
}

func decodeReport(body io.ReadCloser) (Report, error) {
	defer drain(body)
	var r Report
	if err := json.NewDecoder(io.LimitReader(body, maxReplyBytes)).Decode(&r); err != nil {
		return Report{}, errors.Mark(errors.Wrap(err, "backend: decode report"), ErrTruncated)
	}
	return r, nil
}

// PutManifest begins to stage a version.
func (e *EngineClient) PutManifest(ctx context.Context, digest contract.Digest, manifest []byte) error {
	return e.put(ctx, fmt.Sprintf("/v1/weights/%s/manifest", digest), manifest)
}

// PutChunk stages chunk i of a version. It fails with ErrNotVerified if the engine
// computes a different hash.
func (e *EngineClient) PutChunk(ctx context.Context, digest contract.Digest, i uint32, chunk []byte) error {
	return e.put(ctx, fmt.Sprintf("/v1/weights/%s/chunks/%d", digest, i), chunk)
}

func (e *EngineClient) put(ctx context.Context, path string, body []byte) error {
	resp, err := e.send(ctx, http.MethodPut, path, body)
	if err != nil {
		return err
	}
	return checkStatus(resp)
}

// Order sends an order to the engine and waits until it has been executed. It fails with
// a *FencedError if the fencing number is out of date and with ErrNotVerified if the
// version is not completely staged.
func (e *EngineClient) Order(ctx context.Context, o OrderRequest) error {
	resp, err := e.post(ctx, "/v1/orders", o)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusConflict {
		return checkStatus(resp)
	}
	defer drain(resp.Body)
	var reply struct {
		Fence contract.Fence `json:"fence"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&reply); err != nil {
		return errors.Mark(err, ErrRefused)
	}
	return &FencedError{Highest: reply.Fence}
}

// checkStatus returns nil if the status of a reply states success, and otherwise the
// error for the status.
func checkStatus(resp *http.Response) error {
	drain(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusUnprocessableEntity:
		return errors.Mark(ErrNotVerified, ErrRefused)
	case http.StatusServiceUnavailable:
		return errors.Mark(ErrOverloaded, ErrRefused)
	default:
		return errors.Wrapf(ErrReplyLost, "status %d", resp.StatusCode)
	}
}

func (e *EngineClient) post(ctx context.Context, path string, v any) (*http.Response, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	return e.send(ctx, http.MethodPost, path, body)
}

func (e *EngineClient) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, e.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	return doRequest(e.client, req)
}

// Age returns how old the report was when it was sent.
func (r Report) Age() time.Duration {
	return time.Duration(r.AgeMS) * time.Millisecond
}
