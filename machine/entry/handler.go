package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
	"mimosastand.example/mimosastand/settings"
)

// callWriteTimeout bounds one write to a caller.
const callWriteTimeout = 30 * time.Second

// handler serves callers.
type handler struct {
	parser  parser
	loop    *loop
	callers *callers
	scope   tally.Scope
	// name precedes the numbers of requests; it is unique to this run.
	name   string
	number atomic.Uint64
}

func (h *handler) newID() contract.RequestID {
	return contract.RequestID(h.name + "-" + strconv.FormatUint(h.number.Add(1), 36))
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := h.newID()
	arrived := time.Now()
	req, err := h.parser.parse(id, w, r)
	var fault *badRequest
	if errors.As(err, &fault) {
		metrics.CountRefusal(h.scope, fault.reason)
		refusal{request: id, outcome: contract.OutcomeNotRun, reason: fault.reason, detail: fault.detail}.write(w)
		return
	}
	req.Timeout -= time.Since(arrived)
	c := h.callers.add(id)
	defer h.callers.remove(id)
	h.loop.step(dispatch.RequestArrived{Request: req})
	a := &answer{w: w, control: http.NewResponseController(w), request: req}
	h.serve(r, c, a)
}

// serve passes the answer on until it is finished or the caller is gone.
func (h *handler) serve(r *http.Request, c *caller, a *answer) {
	for {
		select {
		case <-r.Context().Done():
			h.loop.step(dispatch.CallerDisconnected{Request: a.request.ID})
			return
		case <-c.news:
		}
		parts, final := c.take()
		if err := a.tokens(parts); err != nil {
			h.loop.step(dispatch.CallerDisconnected{Request: a.request.ID})
			return
		}
		if final != nil {
			a.finish(*final)
			return
		}
	}
}

// answer writes one answer.
type answer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	request dispatch.Request
	begun   bool
}

// tokens writes parts of a model's answer.
func (a *answer) tokens(parts []dispatch.Deliver) error {
	if len(parts) == 0 {
		return nil
	}
	a.begin()
	for _, p := range parts {
		event := struct {
			At   uint64 `json:"at"`
			Text string `json:"text"`
		}{p.At, string(p.Data)}
		if err := a.event("token", event); err != nil {
			return err
		}
	}
	return a.control.Flush()
}

func (a *answer) begin() {
	if a.begun {
		return
	}
	a.begun = true
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-store")
	a.w.Header().Set(headerRequest, string(a.request.ID))
	a.w.WriteHeader(http.StatusOK)
}

func (a *answer) event(name string, data any) error {
	body, err := json.Marshal(data)
	if err != nil {
		return err
	}
	_ = a.control.SetWriteDeadline(time.Now().Add(callWriteTimeout))
	_, err = fmt.Fprintf(a.w, "event: %s\ndata: %s\n\n", name, body)
	return err
}

// finish writes the final answer.
func (a *answer) finish(f dispatch.Finish) {
	_ = a.control.SetWriteDeadline(time.Now().Add(callWriteTimeout))
	switch {
	case f.Outcome != contract.OutcomeDone || f.Reason != "":
		a.fail(f)
	case a.request.Kind == settings.KindModel:
		a.endStream(f)
	default:
		a.plain(f.Answer)
	}
}

// fail ends a begun stream by an error event, and is the answer otherwise.
func (a *answer) fail(f dispatch.Finish) {
	r := refusal{
		request:    a.request.ID,
		outcome:    f.Outcome,
		reason:     f.Reason,
		detail:     detailOf(f),
		retryAfter: f.RetryAfter,
	}
	if !a.begun {
		r.write(a.w)
		return
	}
	_ = a.event("error", r.problem())
	_ = a.control.Flush()
}

// detailOf tells a person why a request ended and how often it was sent.
func detailOf(f dispatch.Finish) string {
	if f.Attempts == 0 {
		return f.Reason.Explain()
	}
	return fmt.Sprintf("%s; attempts sent: %d", f.Reason.Explain(), f.Attempts)
}

func (a *answer) endStream(f dispatch.Finish) {
	a.begin()
	_ = a.event("end", struct {
		Request contract.RequestID `json:"request"`
		Tokens  uint64             `json:"tokens"`
		Digest  contract.Digest    `json:"digest"`
	}{a.request.ID, f.Tokens, f.Weights})
	_ = a.control.Flush()
}

func (a *answer) plain(p *dispatch.Answer) {
	header := a.w.Header()
	header.Set(headerRequest, string(a.request.ID))
	if p.ContentType != "" {
		header.Set("Content-Type", p.ContentType)
	}
	header.Set("Content-Length", strconv.Itoa(len(p.Body)))
	status := p.Status
	if status < http.StatusOK || status > 999 {
		status = http.StatusOK
	}
	a.w.WriteHeader(status)
	_, _ = a.w.Write(p.Body)
}
