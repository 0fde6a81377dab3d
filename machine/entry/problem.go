package entry

import (
	"net/http"
	"strconv"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/problem"
)

// These are the headers of callers' requests and of the responses.
const (
	headerTeam       = "X-Team"
	headerTimeout    = "X-Request-Timeout"
	headerKey        = "Idempotency-Key"
	headerUnkeyed    = "X-Unkeyed"
	headerRequest    = "X-Request-Id"
	headerRetryAfter = "Retry-After"
)

// refusal describes why a request failed or was refused, for the problem sent to the
// caller.
type refusal struct {
	request    contract.RequestID
	outcome    contract.Outcome
	reason     contract.Reason
	detail     string
	retryAfter time.Duration
}

func (r refusal) problem() problem.Problem {
	p := problem.New(r.reason.HTTPStatus(), r.reason, r.outcome, r.request)
	p.Detail = r.detail
	p.RetryAfter = problem.RetryAfterSeconds(r.retryAfter)
	return p
}

// write sends the refusal as the complete response.
func (r refusal) write(w http.ResponseWriter) {
	p := r.problem()
	w.Header().Set(headerRequest, string(r.request))
	if p.RetryAfter > 0 {
		w.Header().Set(headerRetryAfter, strconv.Itoa(p.RetryAfter))
	}
	p.Write(w)
}
