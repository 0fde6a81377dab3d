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

// writeTimeout bounds one write to a caller.
const writeTimeout = 30 * time.Second

// handler is the HTTP handler that serves callers.
type handler struct {
	parser    parser
	loop      *eventLoop
	responses *responseBuffers
	scope     tally.Scope
	// idPrefix is the prefix of the request IDs, followed by a number. It is unique to this
	// run of the process.
	idPrefix   string
	lastNumber atomic.Uint64
}

func (h *handler) newRequestID() contract.RequestID {
	return contract.RequestID(h.idPrefix + "-" + strconv.FormatUint(h.lastNumber.Add(1), 36))
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := h.newRequestID()
	arrived := time.Now()
	req, err := h.parser.parse(id, w, r)
	var invalid *requestError
	if errors.As(err, &invalid) {
		metrics.CountRefusal(h.scope, invalid.reason)
		refusal{request: id, outcome: contract.OutcomeNotRun, reason: invalid.reason, detail: invalid.detail}.write(w)
		return
	}
	req.Timeout -= time.Since(arrived)
	b := h.responses.add(id)
	defer h.responses.remove(id)
	h.loop.step(dispatch.RequestArrived{Request: req})
	rw := &responseWriter{w: w, control: http.NewResponseController(w), request: req}
	h.writeResponse(r, b, rw)
}

// writeResponse writes the response as it arrives, until it is complete or the caller has
// disconnected.
func (h *handler) writeResponse(r *http.Request, b *responseBuffer, rw *responseWriter) {
	for {
		select {
		case <-r.Context().Done():
			h.loop.step(dispatch.CallerDisconnected{Request: rw.request.ID})
			return
		case <-b.updated:
		}
		parts, final := b.takeAll()
		if err := rw.writeTokens(parts); err != nil {
			h.loop.step(dispatch.CallerDisconnected{Request: rw.request.ID})
			return
		}
		if final != nil {
			rw.writeFinal(*final)
			return
		}
	}
}

// responseWriter writes the response to one request.
type responseWriter struct {
	w             http.ResponseWriter
	control       *http.ResponseController
	request       dispatch.Request
	streamStarted bool
}

// writeTokens writes parts of a model's response as events and flushes them.
func (rw *responseWriter) writeTokens(parts []dispatch.Deliver) error {
	if len(parts) == 0 {
		return nil
	}
	rw.startStream()
	for _, p := range parts {
		event := struct {
			At   uint64 `json:"at"`
			Text string `json:"text"`
		}{p.At, string(p.Data)}
		if err := rw.writeEvent("token", event); err != nil {
			return err
		}
	}
	return rw.control.Flush()
}

// startStream sends the headers of an event stream, unless they have been sent already.
func (rw *responseWriter) startStream() {
	if rw.streamStarted {
		return
	}
	rw.streamStarted = true
	rw.w.Header().Set("Content-Type", "text/event-stream")
	rw.w.Header().Set("Cache-Control", "no-store")
	rw.w.Header().Set(headerRequest, string(rw.request.ID))
	rw.w.WriteHeader(http.StatusOK)
}

func (rw *responseWriter) writeEvent(name string, data any) error {
	body, err := json.Marshal(data)
	if err != nil {
		return err
	}
	_ = rw.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err = fmt.Fprintf(rw.w, "event: %s\ndata: %s\n\n", name, body)
	return err
}

// writeFinal writes the end of the response, or the complete response if it is not a
// stream.
func (rw *responseWriter) writeFinal(f dispatch.Finish) {
	_ = rw.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	switch {
	case f.Outcome != contract.OutcomeDone || f.Reason != "":
		rw.writeFailure(f)
	case rw.request.Kind == settings.KindModel:
		rw.writeStreamEnd(f)
	default:
		rw.writePlain(f.Answer)
	}
}

// writeFailure writes the problem as the response, or as an error event if a stream has
// been started.
func (rw *responseWriter) writeFailure(f dispatch.Finish) {
	r := refusal{
		request:    rw.request.ID,
		outcome:    f.Outcome,
		reason:     f.Reason,
		detail:     failureDetail(f),
		retryAfter: f.RetryAfter,
	}
	if !rw.streamStarted {
		r.write(rw.w)
		return
	}
	_ = rw.writeEvent("error", r.problem())
	_ = rw.control.Flush()
}

// failureDetail describes, for a person, why the request ended and how many attempts were
// sent.
func failureDetail(f dispatch.Finish) string {
	if f.Attempts == 0 {
		return f.Reason.Explain()
	}
	return fmt.Sprintf("%s; attempts sent: %d", f.Reason.Explain(), f.Attempts)
}

func (rw *responseWriter) writeStreamEnd(f dispatch.Finish) {
	rw.startStream()
	_ = rw.writeEvent("end", struct {
		Request contract.RequestID `json:"request"`
		Tokens  uint64             `json:"tokens"`
		Digest  contract.Digest    `json:"digest"`
	}{rw.request.ID, f.Tokens, f.Weights})
	_ = rw.control.Flush()
}

// writePlain writes the response of a plain service. One without a valid status is none: the service is in
// trouble, and what it did is not known.
func (rw *responseWriter) writePlain(p *dispatch.Answer) {
	if !contract.IsFinalStatus(p.Status) {
		rw.writeFailure(dispatch.Finish{Request: rw.request.ID, Outcome: contract.OutcomeUnknown, Reason: contract.ReasonBackendError})
		return
	}
	header := rw.w.Header()
	header.Set(headerRequest, string(rw.request.ID))
	if p.ContentType != "" {
		header.Set("Content-Type", p.ContentType)
	}
	header.Set("Content-Length", strconv.Itoa(len(p.Body)))
	rw.w.WriteHeader(p.Status)
	_, _ = rw.w.Write(p.Body)
}
