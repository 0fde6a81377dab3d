package direct

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/problem"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/catalog"
)

const (
	// maxBodyBytes bounds a body while the manifest does not.
	maxBodyBytes = 4 << 20
	// defaultTimeout is the deadline of a request whose route and caller name none.
	defaultTimeout = 10 * time.Second
	// notReadyPause is when to come back while the entry knows no manifest.
	notReadyPause = 500 * time.Millisecond
)

// front serves callers.
type front struct{ entry *Entry }

// ServeHTTP implements http.Handler.
func (f front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := f.entry
	e.open.Add(1)
	defer e.open.Add(-1)
	arrived := time.Now()
	c := &call{entry: e, w: w, r: r, arrived: arrived, info: platform.DecodeCall(r.Header)}
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	manifest := e.world.current()
	if manifest == nil || !e.world.ready() {
		c.refuse(contract.ReasonSettingsNotReady, notReadyPause)
		return
	}
	if !c.admit(manifest) || !c.readBody(manifest) {
		return
	}
	c.serve()
}

// admit finds the request's route and team; it answers a request that the
// manifest does not allow.
func (c *call) admit(m *catalog.Manifest) bool {
	host := c.r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	c.manifest = m.Version
	c.route = m.Route(strings.ToLower(host), c.r.URL.Path)
	if c.route == nil {
		c.deny(http.StatusNotFound, contract.ReasonUnknownService)
		return false
	}
	if m.HasTeams() {
		c.team = m.Team(c.info.Key)
		if c.team == nil && !c.route.Anonymous {
			c.deny(http.StatusUnauthorized, contract.ReasonUnauthorized)
			return false
		}
	}
	c.service = c.route.Pick(c.entry.world.chance())
	timeout := c.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.info.Patience > 0 {
		timeout = min(timeout, c.info.Patience)
	}
	c.deadline = c.arrived.Add(timeout)
	c.last = c.info.LastEvent
	return true
}

// readBody reads the request's body; it answers one that cannot be taken.
func (c *call) readBody(m *catalog.Manifest) bool {
	limit := int64(maxBodyBytes)
	if m.Limits.BodyBytes > 0 {
		limit = int64(m.Limits.BodyBytes)
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		c.body = body
		return true
	case errors.As(err, &tooLarge):
		c.deny(http.StatusRequestEntityTooLarge, contract.ReasonBodyTooLarge)
	case c.r.Context().Err() == nil:
		c.deny(http.StatusBadRequest, contract.ReasonBadRequest)
	default:
		c.ended(0, contract.ReasonCallerGone, 0)
	}
	return false
}

// deny answers a request that will never be allowed as it is.
func (c *call) deny(status int, reason contract.Reason) {
	c.write(status, reason, 0)
}

// refuse answers a request that has not run and never will.
func (c *call) refuse(reason contract.Reason, after time.Duration) {
	c.write(http.StatusServiceUnavailable, reason, after)
}

// write sends an answer of the entry's own.
func (c *call) write(status int, reason contract.Reason, after time.Duration) {
	outcome := contract.OutcomeNotRun
	if c.ran {
		outcome = contract.OutcomeUnknown
	}
	p := problem.New(status, reason, outcome, contract.RequestID(c.info.ID))
	p.Detail = reason.Explain()
	h := c.w.Header()
	platform.SetAttempt(h, c.info.ID)
	if after > 0 {
		platform.SetRetryAfter(h, after)
	}
	p.Write(c.w)
	c.ended(status, reason, after)
}
