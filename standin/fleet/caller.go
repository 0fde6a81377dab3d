package fleet

import (
	"net/http"
	"strings"
)

// Request is a request of a caller. It is sent with the host and the headers that the
// platform's callers use.
type Request struct {
	// AttemptID identifies this try; each try has a different one.
	AttemptID string
	APIKey    string
	// Entry is the "ip:port" of the entry that the request is sent to.
	Entry        string
	Method, Path string
	Body         string
	// Prompt lists the parts of the prompt, in order; empty if the request names none.
	Prompt []PromptPart
}

// NewHTTPRequest returns the HTTP request to send.
func (r Request) NewHTTPRequest() (*http.Request, error) {
	req, err := http.NewRequest(r.Method, "http://"+r.Entry+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	req.Host = Host
	req.Header.Set("Attempt-Id", r.AttemptID)
	req.Header.Set("Authorization", "Bearer "+r.APIKey)
	if len(r.Prompt) > 0 {
		setPrompt(req.Header, r.Prompt)
	}
	return req, nil
}

// AnswerHeaders holds what the headers of an answer say.
type AnswerHeaders struct {
	// Stamp shows that the back end itself made the answer. Weights is the version of the
	// weights that made it. RetryAfter is when the caller is to retry. A value is empty if
	// its header is missing.
	Stamp, Weights, RetryAfter string
}

// DecodeAnswerHeaders decodes the headers of an answer.
func DecodeAnswerHeaders(h http.Header) AnswerHeaders {
	return AnswerHeaders{Stamp: h.Get("Server-Stamp"), Weights: h.Get("Weight-Versions"), RetryAfter: h.Get("Retry-After")}
}
