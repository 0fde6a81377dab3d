package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Headers of callers' requests and answers.
const (
	headerTeam       = "X-Team"
	headerTimeout    = "X-Request-Timeout"
	headerKey        = "Idempotency-Key"
	headerUnkeyed    = "X-Unkeyed"
	headerRequest    = "X-Request-Id"
	headerRetryAfter = "Retry-After"
)

const (
	problemType    = "application/problem+json"
	problemTypeURI = "urn:mimosastand:reason:"
)

// problem is the body of a refusal (RFC 9457).
type problem struct {
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

// refusal is what a problem tells.
type refusal struct {
	request    contract.RequestID
	outcome    contract.Outcome
	reason     contract.Reason
	detail     string
	retryAfter time.Duration
}

func (r refusal) problem() problem {
	return problem{
		Type:       problemTypeURI + string(r.reason),
		Title:      strings.ReplaceAll(string(r.reason), "_", " "),
		Status:     r.reason.HTTPStatus(),
		Detail:     r.detail,
		Outcome:    r.outcome.String(),
		Reason:     r.reason,
		Request:    r.request,
		RetryAfter: seconds(r.retryAfter),
	}
}

// seconds rounds up, so that a caller never comes back too early.
func seconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

// write sends the refusal as the whole answer.
func (r refusal) write(w http.ResponseWriter) {
	p := r.problem()
	w.Header().Set("Content-Type", problemType)
	w.Header().Set(headerRequest, string(r.request))
	if p.RetryAfter > 0 {
		w.Header().Set(headerRetryAfter, strconv.Itoa(p.RetryAfter))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
