// Package problem implements the body of answers that an entry makes itself, in the format
// of problem details (RFC 9457).
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strings"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// MediaType is the content type of a Problem.
const MediaType = "application/problem+json"

const typeURI = "urn:mimosastand:reason:"

// Problem tells a caller why it does not get an answer from a target.
type Problem struct {
	Type    string             `json:"type"`
	Title   string             `json:"title"`
	Status  int                `json:"status"`
	Detail  string             `json:"detail,omitempty"`
	Outcome string             `json:"outcome"`
	Reason  contract.Reason    `json:"reason"`
	Request contract.RequestID `json:"request"`
	// RetryAfter repeats the Retry-After header, in seconds, for events within a stream.
	RetryAfter int `json:"retry_after,omitempty"`
}

// New returns a Problem of a reason, without Detail and RetryAfter.
func New(status int, reason contract.Reason, outcome contract.Outcome, request contract.RequestID) Problem {
	return Problem{
		Type:    typeURI + string(reason),
		Title:   strings.ReplaceAll(string(reason), "_", " "),
		Status:  status,
		Outcome: outcome.String(),
		Reason:  reason,
		Request: request,
	}
}

// RetryAfterSeconds returns a delay in seconds, rounded up so that callers never retry too
// early.
func RetryAfterSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

// Write sends the problem as the complete answer. Headers other than the content type must
// be set before. Write ignores errors, which mean that the caller is gone.
func (p Problem) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", MediaType)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
