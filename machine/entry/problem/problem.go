// Package problem holds the body of an entry's own answers (RFC 9457).
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

// Problem tells a caller why it gets no answer of a target.
type Problem struct {
	Type    string             `json:"type"`
	Title   string             `json:"title"`
	Status  int                `json:"status"`
	Detail  string             `json:"detail,omitempty"`
	Outcome string             `json:"outcome"`
	Reason  contract.Reason    `json:"reason"`
	Request contract.RequestID `json:"request"`
	// RetryAfter repeats the header in seconds, for events inside a stream.
	RetryAfter int `json:"retry_after,omitempty"`
}

// New returns the problem of a reason.
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

// Seconds rounds up, so that a caller never comes back too early.
func RetryAfterSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

// Write sends the problem as the whole answer; headers beside the content type
// must be set before. A caller that is gone does not matter.
func (p Problem) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", MediaType)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
