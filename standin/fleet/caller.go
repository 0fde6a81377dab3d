package fleet

import (
	"net/http"
	"strings"
)

// Request is what a caller sends, with the host and the headers of the platform's
// callers.
type Request struct {
	// Attempt names this try; every try has another.
	AttemptID string
	APIKey    string
	// Entry is the "ip:port" of the entry that the caller reaches.
	Entry        string
	Method, Path string
	Body         string
}

// HTTP returns the request to send.
func (r Request) NewHTTPRequest() (*http.Request, error) {
	req, err := http.NewRequest(r.Method, "http://"+r.Entry+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	req.Host = Host
	req.Header.Set("Attempt-Id", r.AttemptID)
	req.Header.Set("Authorization", "Bearer "+r.APIKey)
	return req, nil
}

// Marks are what the headers of an answer say beside its status.
type AnswerHeaders struct {
	// Stamp is the back end's own mark, Weights the versions that it served with; After
	// is when the caller is to come back. Empty if not told.
	Stamp, Weights, RetryAfter string
}

// MarksOf reads the headers of an answer.
func DecodeAnswerHeaders(h http.Header) AnswerHeaders {
	return AnswerHeaders{Stamp: h.Get("Server-Stamp"), Weights: h.Get("Weight-Versions"), RetryAfter: h.Get("Retry-After")}
}
