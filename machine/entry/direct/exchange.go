package direct

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

const (
	// maxResponseBytes bounds a response that is forwarded only once it is complete.
	maxResponseBytes = 8 << 20
	// targetSilenceTimeout is how long a target with open streams may send nothing on any
	// of them; streamSilenceTimeout bounds the silence of one stream.
	targetSilenceTimeout = 900 * time.Millisecond
	streamSilenceTimeout = 1600 * time.Millisecond
	// minIdempotentTimeout is the least time that an idempotent request waits for its
	// response before it is sent elsewhere; it waits for idempotentTimeoutObjectives
	// objectives of its route if that is longer.
	minIdempotentTimeout        = 250 * time.Millisecond
	idempotentTimeoutObjectives = 3
	// maxChoiceAge is how old a choice may be when the attempt is sent: longer than it takes
	// to connect, and short against the bounds on what the choice rests on.
	maxChoiceAge = dialTimeout + 200*time.Millisecond
	// silenceCheckInterval is the time between two checks whether the target is silent.
	silenceCheckInterval = 50 * time.Millisecond
)

// bufferedResponse is a complete response of a target, with the headers that callers get. What
// its headers tell the entry is in platform.Reply.
type bufferedResponse struct {
	status int
	header http.Header
	body   *chunkBuffer
}

// release frees the memory of the response; there may be none.
func (r *bufferedResponse) release() {
	if r != nil {
		r.body.release()
	}
}

// exchange is one attempt on one connection.
type exchange struct {
	call   *call
	choice placement.Choice
	start  time.Time
	conn   *conn
	// silent is set if the exchange was aborted because the target sent nothing. abort sets
	// it if silenceDetected is set.
	silent      bool
	misdirected bool
	// breakage is why the attempt brought no usable response, err the error behind it if
	// there is one.
	breakage breakage
	err      error
	// lastActivity is when something was last received, in nanoseconds since start;
	// lastActivityRunTime is the run time of the process at that moment, in nanoseconds.
	// silenceDetected is set when watchSilence aborts the exchange.
	lastActivity        atomic.Int64
	lastActivityRunTime atomic.Int64
	silenceDetected     atomic.Bool
}

func newExchange(c *call, choice placement.Choice) *exchange {
	x := &exchange{call: c, choice: choice, start: time.Now()}
	x.lastActivityRunTime.Store(int64(c.entry.fleet.runTime()))
	return x
}

func (x *exchange) run(ctx context.Context) (attempts.Outcome, *bufferedResponse) {
	c := x.call
	// An hour adds no limit in practice: the connection's idleLimit is shorter.
	maxIdle := time.Hour
	if !c.route.IsRepeatable() {
		maxIdle = onceIdleLimit
	}
	conn, err := c.entry.conns.acquire(ctx, x.choice.Address, maxIdle)
	if err != nil {
		x.recordBreakage(err)
		return attempts.NotSent, nil
	}
	x.conn = conn
	if time.Since(x.start) > maxChoiceAge {
		// The process stood still since.
		conn.reset()
		x.breakage = breakageStaleChoice
		return attempts.NotSent, nil
	}
	stop := context.AfterFunc(ctx, conn.reset)
	defer stop()
	defer x.watchSilence()()
	resp, err := conn.roundTrip(x.request(), c.deadline)
	if err != nil {
		outcome := x.abort(err)
		if mayHaveRun(err) {
			return outcome, nil
		}
		return attempts.NotSent, nil
	}
	return x.receive(resp)
}

func (x *exchange) request() attemptRequest {
	c := x.call
	attempt := platform.Attempt{
		Target:      x.choice.ID,
		Remaining:   time.Until(c.deadline),
		Priority:    -1,
		Resume:      c.headSent || c.info.HasLastEvent,
		ResumeAfter: c.lastEvent,
		Version:     c.entry.fleet.expectedVersion(c.service, c.pinnedVersion, x.choice.Version),
	}
	c.record.expectedVersion = attempt.Version
	if c.team != nil {
		attempt.Team = string(c.team.Name)
	}
	return attemptRequest{
		method: c.r.Method,
		uri:    c.r.RequestURI,
		host:   c.r.Host,
		header: attempt.ForwardedHeaders(c.r.Header),
		body:   c.body,
	}
}

// watchSilence aborts the exchange when the target falls silent, if the request may run
// more than once. The function returned stops the watch and waits for its end: the connection
// may carry another attempt from then on.
func (x *exchange) watchSilence() (stop func()) {
	c := x.call
	if !c.route.IsRepeatable() {
		return func() {}
	}
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(silenceCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			if x.isSilent() {
				x.silenceDetected.Store(true)
				x.conn.reset()
				return
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// isSilent reports whether the target has sent nothing for too long, and another attempt can
// follow: a late answer is better than none. A time in which this process stood still does
// not count, since what arrived meanwhile has not been read yet.
func (x *exchange) isSilent() bool {
	c := x.call
	runTime := c.entry.fleet.runTime()
	silence := runTime - time.Duration(x.lastActivityRunTime.Load())
	if c.route.Kind != catalog.Streaming {
		return silence > max(minIdempotentTimeout, idempotentTimeoutObjectives*c.route.Objective) && c.mayRetry()
	}
	if silence > streamSilenceTimeout {
		return c.mayRetry()
	}
	targetActivity := c.entry.fleet.lastActivity(c.service, x.choice.ID)
	return silence > targetSilenceTimeout && runTime-targetActivity > targetSilenceTimeout && c.mayRetry()
}

func (x *exchange) recordActivity() {
	x.lastActivity.Store(int64(time.Since(x.start)))
	x.lastActivityRunTime.Store(int64(x.call.entry.fleet.recordActivity(x.call.service, x.choice.ID)))
}

// recordEvent records that an event arrived. Comments do not count as activity: a stalled
// target may send them to keep the connection.
func (x *exchange) recordEvent(ev event) {
	if ev.hasField {
		x.recordActivity()
	}
}

// receive handles a response whose head has arrived.
func (x *exchange) receive(resp *http.Response) (attempts.Outcome, *bufferedResponse) {
	c := x.call
	reply := platform.DecodeReply(resp)
	x.recordActivity()
	c.record.replyReceived(reply)
	if reply.OpenRequests >= 0 {
		c.entry.fleet.recordReportedLoad(c.service, x.choice.ID, reply.OpenRequests)
	}
	if !x.isOwnAnswer(reply) {
		c.entry.log.WithField("request", c.info.AttemptID).WithField("answered", reply.AttemptID).
			WithField("target", string(x.choice.ID)).Warn("response belongs to another attempt")
		x.conn.reset()
		x.breakage = breakageOtherAttempt
		return attempts.Lost, nil
	}
	x.recordRateLimit(reply)
	if reply.NotRun {
		x.misdirected = reply.Misdirected
		x.breakage = refusalBreakage(reply)
		x.discardResponse(resp, reply)
		return attempts.NotRun, nil
	}
	if c.route.Kind == catalog.Streaming && reply.Status == http.StatusOK {
		return x.forwardStream(resp, reply), nil
	}
	return x.forwardBuffered(resp, reply)
}

// isOwnAnswer reports whether a response belongs to this attempt. On a connection that was
// used before, a late copy of an earlier response may arrive in its place, so one that does
// not name the attempt counts only on a new connection.
func (x *exchange) isOwnAnswer(reply platform.Reply) bool {
	if reply.AttemptID == "" {
		return !x.conn.reused
	}
	return reply.AttemptID == x.call.info.AttemptID
}

// discardResponse reads the rest of a response that is not forwarded and keeps the
// connection, unless the rest is long or does not arrive soon: the caller waits for the next
// attempt.
func (x *exchange) discardResponse(resp *http.Response, reply platform.Reply) {
	const maxDiscardBytes = 64 << 10
	const discardTimeout = 50 * time.Millisecond
	_ = x.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardBytes+1))
	if err != nil || n > maxDiscardBytes {
		_ = x.conn.Close()
		return
	}
	x.releaseConn(resp, reply)
}

// releaseConn keeps the connection for other attempts after a complete response, unless the
// target closes it or has too few connections.
func (x *exchange) releaseConn(resp *http.Response, reply platform.Reply) {
	if resp.Close || !x.call.entry.fleet.keepsIdleConns(x.call.service) {
		_ = x.conn.Close()
		return
	}
	x.call.entry.conns.putIdle(x.conn, reply.IdleTimeout)
}

// forwardBuffered reads a response to its end and forwards it, unless it is unusable or
// reports a failure of the target. A response is unusable, and the attempt Lost, if it breaks
// off, is larger than maxResponseBytes or than what the buffers of all responses have left, has a content encoding, is a success or redirect
// without the target's stamp, has a status that implies that the request has not run, or would
// follow the events of a stream. Any other response with a status of 500 or above is returned with Failed; the caller gets it if
// no other attempt follows.
func (x *exchange) forwardBuffered(resp *http.Response, reply platform.Reply) (attempts.Outcome, *bufferedResponse) {
	buffered := &bufferedResponse{status: reply.Status, header: platform.AnswerHeaders(resp.Header)}
	buffered.body = newChunkBuffer(&x.call.entry.buffers)
	outcome := x.forwardBody(resp, reply, buffered)
	if outcome == attempts.Failed {
		return outcome, buffered
	}
	buffered.release()
	return outcome, nil
}

// forwardBody does what forwardBuffered does. It reads the body into buffered.
func (x *exchange) forwardBody(resp *http.Response, reply platform.Reply, buffered *bufferedResponse) attempts.Outcome {
	c := x.call
	if err := buffered.body.readAll(resp.Body, maxResponseBytes); err != nil {
		return x.abort(err)
	}
	if reply.HasContentEncoding {
		x.conn.reset()
		x.breakage = unusableBreakage(reply)
		return attempts.Lost
	}
	x.releaseConn(resp, reply)
	switch {
	case !reply.HasStamp && reply.Status < http.StatusBadRequest:
		x.breakage = breakageNoStamp
		return attempts.Lost
	case impliesNotRun(reply.Status):
		// The response lacks the target's mark that the attempt has not run, so its status
		// must not promise that to the caller.
		x.breakage = breakageUnmarkedRefusal
		return attempts.Lost
	case reply.Status >= http.StatusInternalServerError:
		return attempts.Failed
	case c.headSent:
		// The caller has the beginning of a stream, which only a stream continues.
		x.breakage = breakageNoStream
		return attempts.Lost
	}
	c.entry.fleet.recordResponse(c.service, x.choice.ID, time.Since(x.start))
	c.writeResponse(buffered)
	return attempts.Completed
}

// impliesNotRun reports whether a status tells callers that the request has not run. A
// response with StatusMisdirectedRequest counts as marked (Reply.NotRun) and is handled
// before.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
