package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"lukechampine.com/blake3"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
	"mimosastand.example/mimosastand/settings"
)

const (
	modelsPrefix   = "/v1/models/"
	servicesPrefix = "/v1/services/"
	generateSuffix = "/generate"

	maxTimeout   = time.Hour
	bodyTimeout  = 10 * time.Second
	maxKeyBytes  = 256
	maxNameBytes = 64
	maxTokens    = 1 << 20
	// cachePrefixBytes is the length of the prompt prefix that identifies an entry of the
	// prefix cache. Shorter prompts identify none.
	cachePrefixBytes = 256
	// bytesPerToken is used to estimate the number of tokens of a prompt.
	bytesPerToken = 4
	// plainCallTokens is the cost of a call of a plain service, in tokens of a model call.
	plainCallTokens = 16
)

// requestError describes why a request is not accepted.
type requestError struct {
	reason contract.Reason
	detail string
}

// Error implements error.
func (e *requestError) Error() string {
	return string(e.reason) + ": " + e.detail
}

func newRequestError(reason contract.Reason, detail string) error {
	return &requestError{reason: reason, detail: detail}
}

// parser converts HTTP requests to requests of the state machine.
type parser struct {
	maxBodyBytes   int64
	defaultTimeout time.Duration
}

// parse reads and checks a request. Its error is a *requestError.
func (p parser) parse(id contract.RequestID, w http.ResponseWriter, r *http.Request) (dispatch.Request, error) {
	req := dispatch.Request{
		ID:          id,
		Team:        contract.TeamName(r.Header.Get(headerTeam)),
		Key:         r.Header.Get(headerKey),
		ContentType: r.Header.Get("Content-Type"),
	}
	steps := []func(*dispatch.Request, http.ResponseWriter, *http.Request) error{
		p.parseAddress, p.parseTeam, p.parseTimeout, p.parseKey, p.readBody, p.parseContent,
	}
	for _, step := range steps {
		if err := step(&req, w, r); err != nil {
			return req, err
		}
	}
	return req, nil
}

// parseAddress reads the service and its kind from the path. For a plain service it also
// reads the method and the path at the service.
func (p parser) parseAddress(req *dispatch.Request, _ http.ResponseWriter, r *http.Request) error {
	if rest, ok := strings.CutPrefix(r.URL.Path, modelsPrefix); ok {
		name, ok := strings.CutSuffix(rest, generateSuffix)
		if !ok || !isName(name) {
			return newRequestError(contract.ReasonUnknownService, "no such path")
		}
		if r.Method != http.MethodPost {
			return newRequestError(contract.ReasonBadRequest, "generate takes POST")
		}
		req.Kind = settings.KindModel
		req.Service = contract.ServiceName(name)
		return nil
	}
	rest, ok := strings.CutPrefix(r.URL.Path, servicesPrefix)
	name, path, _ := strings.Cut(rest, "/")
	if !ok || !isName(name) {
		return newRequestError(contract.ReasonUnknownService, "no such path")
	}
	req.Kind = settings.KindPlain
	req.Service = contract.ServiceName(name)
	req.Method = r.Method
	req.Path = "/" + path
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	req.Idempotent = isSafeMethod(r.Method)
	return nil
}

func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func isName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, c := range s {
		plain := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !plain && !strings.ContainsRune("._-", c) {
			return false
		}
	}
	return true
}

func (p parser) parseTeam(req *dispatch.Request, _ http.ResponseWriter, _ *http.Request) error {
	if !isName(string(req.Team)) {
		return newRequestError(contract.ReasonUnknownTeam, headerTeam+" must name a team")
	}
	return nil
}

func (p parser) parseTimeout(req *dispatch.Request, _ http.ResponseWriter, r *http.Request) error {
	text := r.Header.Get(headerTimeout)
	if text == "" {
		req.Timeout = p.defaultTimeout
		return nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return newRequestError(contract.ReasonBadRequest, headerTimeout+" must be a duration such as 1.5s")
	}
	if d <= 0 {
		return newRequestError(contract.ReasonDeadline, "the deadline has passed")
	}
	req.Timeout = min(d, maxTimeout)
	return nil
}

// parseKey checks the idempotency key. A call of a plain service that is not safe needs a
// key, or the caller's consent to run without one.
func (p parser) parseKey(req *dispatch.Request, _ http.ResponseWriter, r *http.Request) error {
	if len(req.Key) > maxKeyBytes {
		return newRequestError(contract.ReasonBadRequest, headerKey+" is too long")
	}
	if req.Kind == settings.KindModel || req.Idempotent {
		return nil
	}
	req.RequiresClaim = req.Key != ""
	if req.Key == "" && r.Header.Get(headerUnkeyed) != "allow" {
		return newRequestError(contract.ReasonMissingKey, "give "+headerKey+", or "+headerUnkeyed+": allow")
	}
	return nil
}

func (p parser) readBody(req *dispatch.Request, w http.ResponseWriter, r *http.Request) error {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, p.maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newRequestError(contract.ReasonBodyTooLarge, "the body is too large")
	}
	if err != nil {
		return newRequestError(contract.ReasonBadRequest, "the body could not be read")
	}
	req.Body = body
	return nil
}

// generateRequest is the body of a model call.
type generateRequest struct {
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Priority   int8   `json:"priority"`
	Idempotent bool   `json:"idempotent"`
}

// parseContent reads the body of a model call and estimates the cost of the request in
// tokens.
func (p parser) parseContent(req *dispatch.Request, _ http.ResponseWriter, _ *http.Request) error {
	if req.Kind == settings.KindPlain {
		req.Tokens = plainCallTokens
		req.BodyHash = bodyHash(req)
		return nil
	}
	var call generateRequest
	decoder := json.NewDecoder(bytes.NewReader(req.Body))
	if err := decoder.Decode(&call); err != nil || decoder.More() {
		return newRequestError(contract.ReasonBadRequest, "the body must be one JSON object with prompt and max_tokens")
	}
	if call.MaxTokens < 1 || call.MaxTokens > maxTokens {
		return newRequestError(contract.ReasonBadRequest, "max_tokens is out of range")
	}
	req.Priority = call.Priority
	req.Idempotent = call.Idempotent
	req.Tokens = uint32(call.MaxTokens + len(call.Prompt)/bytesPerToken)
	if len(call.Prompt) >= cachePrefixBytes {
		req.PrefixHash = xxhash.Sum64String(call.Prompt[:cachePrefixBytes])
	}
	return nil
}

// bodyHash hashes the method, path, content type and body of a call, so that different
// calls with the same idempotency key can be distinguished.
func bodyHash(req *dispatch.Request) contract.Digest {
	h := blake3.New(32, nil)
	for _, part := range []string{req.Method, req.Path, req.ContentType} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(req.Body)
	return contract.NewDigest([32]byte(h.Sum(nil)))
}
