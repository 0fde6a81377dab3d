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
	// prefixBytes is the length of the prompt prefix that names a cache entry;
	// shorter prompts have none.
	prefixBytes = 256
	// bytesPerToken estimates the tokens of a prompt.
	bytesPerToken = 4
	// plainTokens is the cost of a plain call beside model calls.
	plainTokens = 16
)

// badRequest tells why a request cannot be taken.
type badRequest struct {
	reason contract.Reason
	detail string
}

// Error implements error.
func (e *badRequest) Error() string {
	return string(e.reason) + ": " + e.detail
}

func bad(reason contract.Reason, detail string) error {
	return &badRequest{reason: reason, detail: detail}
}

// parser turns HTTP requests into requests of the state machine.
type parser struct {
	maxBody        int64
	defaultTimeout time.Duration
}

// parse reads a request. Its error is a *badRequest.
func (p parser) parse(id contract.RequestID, w http.ResponseWriter, r *http.Request) (dispatch.Request, error) {
	req := dispatch.Request{
		ID:          id,
		Team:        contract.TeamName(r.Header.Get(headerTeam)),
		Key:         r.Header.Get(headerKey),
		ContentType: r.Header.Get("Content-Type"),
	}
	steps := []func(*dispatch.Request, http.ResponseWriter, *http.Request) error{
		p.address, p.team, p.timeout, p.key, p.body, p.content,
	}
	for _, step := range steps {
		if err := step(&req, w, r); err != nil {
			return req, err
		}
	}
	return req, nil
}

// address reads service and kind from the path.
func (p parser) address(req *dispatch.Request, _ http.ResponseWriter, r *http.Request) error {
	if rest, ok := strings.CutPrefix(r.URL.Path, modelsPrefix); ok {
		name, ok := strings.CutSuffix(rest, generateSuffix)
		if !ok || !isName(name) {
			return bad(contract.ReasonUnknownService, "no such path")
		}
		if r.Method != http.MethodPost {
			return bad(contract.ReasonBadRequest, "generate takes POST")
		}
		req.Kind = settings.KindModel
		req.Service = contract.ServiceName(name)
		return nil
	}
	rest, ok := strings.CutPrefix(r.URL.Path, servicesPrefix)
	name, path, _ := strings.Cut(rest, "/")
	if !ok || !isName(name) {
		return bad(contract.ReasonUnknownService, "no such path")
	}
	req.Kind = settings.KindPlain
	req.Service = contract.ServiceName(name)
	req.Method = r.Method
	req.Path = "/" + path
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	req.Idempotent = isSafe(r.Method)
	return nil
}

func isSafe(method string) bool {
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

func (p parser) team(req *dispatch.Request, _ http.ResponseWriter, _ *http.Request) error {
	if !isName(string(req.Team)) {
		return bad(contract.ReasonUnknownTeam, headerTeam+" must name a team")
	}
	return nil
}

func (p parser) timeout(req *dispatch.Request, _ http.ResponseWriter, r *http.Request) error {
	text := r.Header.Get(headerTimeout)
	if text == "" {
		req.Timeout = p.defaultTimeout
		return nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return bad(contract.ReasonBadRequest, headerTimeout+" must be a duration such as 1.5s")
	}
	if d <= 0 {
		return bad(contract.ReasonDeadline, "the deadline has passed")
	}
	req.Timeout = min(d, maxTimeout)
	return nil
}

func (p parser) key(req *dispatch.Request, _ http.ResponseWriter, r *http.Request) error {
	if len(req.Key) > maxKeyBytes {
		return bad(contract.ReasonBadRequest, headerKey+" is too long")
	}
	if req.Kind == settings.KindModel || req.Idempotent {
		return nil
	}
	req.RequiresClaim = req.Key != ""
	if req.Key == "" && r.Header.Get(headerUnkeyed) != "allow" {
		return bad(contract.ReasonMissingKey, "give "+headerKey+", or "+headerUnkeyed+": allow")
	}
	return nil
}

func (p parser) body(req *dispatch.Request, w http.ResponseWriter, r *http.Request) error {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, p.maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return bad(contract.ReasonBodyTooLarge, "the body is too large")
	}
	if err != nil {
		return bad(contract.ReasonBadRequest, "the body could not be read")
	}
	req.Body = body
	return nil
}

// generateCall is the body of a model call.
type generateCall struct {
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Priority   int8   `json:"priority"`
	Idempotent bool   `json:"idempotent"`
}

func (p parser) content(req *dispatch.Request, _ http.ResponseWriter, _ *http.Request) error {
	if req.Kind == settings.KindPlain {
		req.Tokens = plainTokens
		req.BodyHash = bodyHash(req)
		return nil
	}
	var call generateCall
	decoder := json.NewDecoder(bytes.NewReader(req.Body))
	if err := decoder.Decode(&call); err != nil || decoder.More() {
		return bad(contract.ReasonBadRequest, "the body must be one JSON object with prompt and max_tokens")
	}
	if call.MaxTokens < 1 || call.MaxTokens > maxTokens {
		return bad(contract.ReasonBadRequest, "max_tokens is out of range")
	}
	req.Priority = call.Priority
	req.Idempotent = call.Idempotent
	req.Tokens = uint32(call.MaxTokens + len(call.Prompt)/bytesPerToken)
	if len(call.Prompt) >= prefixBytes {
		req.PrefixHash = xxhash.Sum64String(call.Prompt[:prefixBytes])
	}
	return nil
}

// bodyHash tells different calls with one key apart.
func bodyHash(req *dispatch.Request) contract.Digest {
	h := blake3.New(32, nil)
	for _, part := range []string{req.Method, req.Path, req.ContentType} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(req.Body)
	return contract.NewDigest([32]byte(h.Sum(nil)))
}
