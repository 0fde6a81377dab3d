package direct

import (
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/problem"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/poison"
)

const (
	// maxBodyBytes bounds the body of a request if the manifest does not.
	maxBodyBytes = 4 << 20
	// defaultTimeout is the timeout of a request whose route sets none; the caller may
	// ask for a shorter one.
	defaultTimeout = 10 * time.Second
	// notReadyRetryAfter is the time after which callers should retry while the entry has
	// no manifest or no target list.
	notReadyRetryAfter = 500 * time.Millisecond
	// bodiesFullRetryAfter is the time after which callers should retry whose bodies find no room.
	bodiesFullRetryAfter = 500 * time.Millisecond
)

// callerHandler serves callers.
type callerHandler struct{ entry *Entry }

// ServeHTTP implements http.Handler.
func (h callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := h.entry
	e.openRequests.Add(1)
	defer e.openRequests.Add(-1)
	arrived := time.Now()
	answer := &beginWriter{ResponseWriter: w}
	c := &call{entry: e, w: answer, r: r, arrived: arrived, info: platform.DecodeCall(r.Header)}
	c.body.budget = &e.bodies
	defer c.body.release()
	defer c.answerPanic(answer)
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	manifest := e.fleet.currentManifest()
	if manifest == nil || !e.fleet.ready() {
		c.writeUnavailable(contract.ReasonSettingsNotReady, notReadyRetryAfter)
		return
	}
	if !c.admit(manifest) || !c.readBody(w, manifest) {
		return
	}
	c.identify()
	if e.isTooLate(time.Now(), c.deadline) {
		c.writeUnavailable(contract.ReasonShuttingDown, notReadyRetryAfter)
		return
	}
	c.serve()
}

// admit determines the request's route, team, service and deadline. It answers a request
// that the manifest does not allow, and returns false.
func (c *call) admit(m *catalog.Manifest) bool {
	c.manifest = m.Version
	c.route = m.Route(c.hostName(), c.r.URL.Path)
	if c.route == nil {
		c.writeRejection(http.StatusNotFound, contract.ReasonUnknownService)
		return false
	}
	if m.HasTeams() {
		c.team = m.Team(c.info.Key)
		if c.team == nil && !c.route.Anonymous {
			c.writeRejection(http.StatusUnauthorized, contract.ReasonUnauthorized)
			return false
		}
	}
	c.service = c.route.Pick(c.entry.fleet.randomFloat())
	c.rank, c.isRanked, c.hasQueue = c.route.Rank(c.team), m.IsRanked(c.service), c.entry.sharesSlots() && hasQueue(m, c.service)
	c.setDeadline()
	c.lastEvent = c.info.LastEvent
	return true
}

// setDeadline determines the deadline from the route and what the caller asks for.
func (c *call) setDeadline() {
	timeout := routeTimeout(c.route)
	if c.info.Timeout > 0 {
		timeout = min(timeout, c.info.Timeout)
	}
	c.deadline = c.arrived.Add(timeout)
}

// routeTimeout returns the longest time that a request to a route may take.
func routeTimeout(r *catalog.Route) time.Duration {
	if r.Timeout <= 0 {
		return defaultTimeout
	}
	return r.Timeout
}

// hostName returns the host that the caller named, in lower case and without a port.
func (c *call) hostName() string {
	host := c.r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// identify determines by what the request may be recognized if it comes again.
func (c *call) identify() {
	id := poison.Identity{Method: c.r.Method, Host: c.hostName(), URI: c.r.RequestURI, Body: c.body.data}
	if c.team != nil {
		id.Caller = string(c.team.Name)
	}
	c.suspect = poison.NewRequest(c.service, c.info.PromptParts)
	c.suspect.Whole = poison.WholeOf(c.service, id)
}

// readBody reads the request's body. It answers a request whose body is not accepted, and
// returns false. w is the server's own response writer, which closes the connection of a body
// that is too large.
func (c *call) readBody(w http.ResponseWriter, m *catalog.Manifest) bool {
	limit := int64(maxBodyBytes)
	if m.Limits.BodyBytes > 0 {
		limit = int64(m.Limits.BodyBytes)
	}
	err := c.body.readAll(http.MaxBytesReader(w, c.r.Body, limit), min(c.r.ContentLength, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.Is(err, errBodiesFull):
		c.writeUnavailable(contract.ReasonQueueFull, bodiesFullRetryAfter)
	case errors.As(err, &tooLarge):
		c.writeRejection(http.StatusRequestEntityTooLarge, contract.ReasonBodyTooLarge)
	case c.r.Context().Err() == nil:
		c.writeRejection(http.StatusBadRequest, contract.ReasonBadRequest)
	default:
		c.recordEnd(0, contract.ReasonCallerGone, 0)
	}
	return false
}

// writeRejection answers a request that would be rejected again if it were repeated
// unchanged.
func (c *call) writeRejection(status int, reason contract.Reason) {
	c.writeProblem(status, reason, 0)
}

// writeUnavailable answers a request that has not run and never will.
func (c *call) writeUnavailable(reason contract.Reason, retryAfter time.Duration) {
	c.writeProblem(http.StatusServiceUnavailable, reason, retryAfter)
}

// writeProblem sends a response of the entry itself.
func (c *call) writeProblem(status int, reason contract.Reason, retryAfter time.Duration) {
	outcome := contract.OutcomeNotRun
	if c.mayHaveRun {
		outcome = contract.OutcomeUnknown
	}
	p := problem.New(status, reason, outcome, contract.RequestID(c.info.AttemptID))
	p.Detail = reason.Explain()
	h := c.w.Header()
	platform.SetAttemptID(h, c.info.AttemptID)
	if retryAfter > 0 {
		platform.SetRetryAfter(h, retryAfter)
	}
	p.Write(c.w)
	c.recordEnd(status, reason, retryAfter)
}
