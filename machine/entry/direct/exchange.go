package direct

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/machine/entry/hedging"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

const (
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
	// spareBuffers is how many events of one stream are under way in such buffers at a time: one
	// that is read, one that waits and one that is sent. Others wait in the backlog.
	spareBuffers = 3
)

// exchange is one attempt on one connection. It runs in a goroutine of its own and hands what
// arrives to the request, so that the request can wait for more than one attempt.
type exchange struct {
	call   *call
	choice placement.Choice
	start  time.Time
	conn   *conn
	// parts receives what arrives for the caller. abandoned is closed when nobody receives
	// any more.
	parts     chan part
	abandoned chan struct{}
	cancel    context.CancelFunc
	// spare holds buffers of events that can be used again, backlog the parts for which parts has
	// no room.
	spare   chan *chunkBuffer
	backlog backlog
	// stopReset keeps the end of the context from resetting conn. It reports false if that
	// has happened.
	stopReset func() bool
	// resumes is set if the target is to go on with a stream after the event resumeAfter.
	// pinned is the only version of the weights that may go on; 0 means any.
	resumes     bool
	resumeAfter int64
	pinned      int64
	// expectedVersion is the version that the attempt insists on; 0 means any.
	expectedVersion int64
	// version is the last one that an event of the answer gave; 0 if none did.
	version int64
	// head is the head of the response and reply what it says, once there is one. rest holds
	// the blank lines after the last event of a stream.
	head        *http.Response
	rest        event
	reply       platform.Reply
	misdirected bool
	// breakage is why the attempt brought no usable response, err the error behind it if
	// there is one.
	breakage breakage
	err      error
	// silent is set once the target has counted as silent, callerGone if the caller takes no more of
	// the answer, givenUp if the request became known to crash targets, and otherVersion if the answer
	// is of another version of the weights than the one that the caller has.
	silent, callerGone, givenUp, otherVersion bool
	// ended is set once the end of the attempt has been recorded.
	ended bool
	// replaced is set once another attempt has taken over, outpaced if that was since the target was slow.
	replaced, outpaced bool
	// outpaces is set for a hedge that was started since the target of the first attempt is slow, until it
	// is known what became of it. hedgeRefusal is the last rule by which the attempt got no such hedge.
	outpaces     bool
	hedgeRefusal hedging.Refusal
	// begunAt is when the answer began, after the process had run for begunRunTime; proven is set
	// once the attempt has shown that its prompt does not crash the target.
	begunAt      time.Time
	begunRunTime time.Duration
	proven       bool
	// lastActivity is when something was last received, in nanoseconds since start;
	// lastActivityRunTime is the run time of the process at that moment, in nanoseconds.
	lastActivity        atomic.Int64
	lastActivityRunTime atomic.Int64
	// startRunTime is the run time of the process when the attempt started.
	startRunTime time.Duration
}

func newExchange(c *call, choice placement.Choice) *exchange {
	x := &exchange{
		call: c, choice: choice, start: time.Now(),
		parts: make(chan part, 1), abandoned: make(chan struct{}), spare: make(chan *chunkBuffer, spareBuffers), cancel: func() {}, stopReset: func() bool { return true },
		backlog: backlog{moved: make(chan struct{}, 1)},
		resumes: c.headSent || c.info.HasLastEvent, resumeAfter: c.lastEvent, pinned: c.pinnedVersion,
	}
	x.reply.OpenRequests = -1
	x.startRunTime = c.entry.fleet.runTime()
	x.lastActivityRunTime.Store(int64(x.startRunTime))
	return x
}

// begin runs the attempt in a goroutine until it ends or is abandoned.
func (x *exchange) begin(ctx context.Context) {
	ctx, x.cancel = context.WithCancel(ctx)
	go func() {
		end := part{ended: true, outcome: attempts.Lost}
		defer func() { x.emit(end) }()
		defer x.recoverPanic()
		end.outcome, end.response = x.run(ctx)
		end.head, end.event = x.head, x.rest
	}()
}

// abandon ends the attempt, of which no further part is received. The context ends first: an attempt
// that notices that it is abandoned would otherwise end without resetting its connection.
func (x *exchange) abandon() {
	x.cancel()
	close(x.abandoned)
	x.discardParts()
}

// run makes the attempt. Events of a stream are handed on as they arrive; any other complete
// response is returned, also one that reports a failure of the target.
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
	if time.Since(x.start) > maxChoiceAge || !x.stillAdmits() || x.isTooOld() {
		// The process stood still since, or the target wants no requests any more, or its weights are
		// too old by now. What it has loaded instead, if anything, is not known to be sound.
		conn.reset()
		x.breakage = breakageStaleChoice
		return attempts.NotSent, nil
	}
	x.stopReset = context.AfterFunc(ctx, conn.reset)
	defer x.stopReset()
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
	x.expectedVersion = c.entry.fleet.expectedVersion(c.service, x.pinned, x.choice.Version)
	attempt := platform.Attempt{
		Target:      x.choice.ID,
		Remaining:   time.Until(c.deadline),
		Priority:    c.targetPriority(),
		Resume:      x.resumes,
		ResumeAfter: x.resumeAfter,
		Version:     x.expectedVersion,
	}
	if c.team != nil {
		attempt.Team = string(c.team.Name)
	}
	return attemptRequest{
		method: c.r.Method,
		uri:    c.r.RequestURI,
		host:   c.r.Host,
		header: attempt.ForwardedHeaders(c.r.Header),
		body:   c.body.data,
	}
}

// targetPriority returns the priority that targets are told; -1 for none.
func (c *call) targetPriority() int {
	if !c.isRanked {
		return -1
	}
	return min(max(c.rank, 0), maxRank)
}

// isSilent reports whether the target has sent nothing for too long. A time in which this
// process stood still does not count, since what arrived meanwhile has not been read yet.
func (x *exchange) isSilent() bool {
	c := x.call
	runTime := c.entry.fleet.runTime()
	silence := runTime - time.Duration(x.lastActivityRunTime.Load())
	if silence <= x.minSilence() {
		return false
	}
	if c.route.Kind != catalog.Streaming || silence > streamSilenceTimeout {
		return true
	}
	targetActivity := c.entry.fleet.lastActivity(c.service, x.choice.ID)
	return runTime-targetActivity > targetSilenceTimeout
}

// minSilence returns for how long the target may be silent on this attempt before it can count as
// silent.
func (x *exchange) minSilence() time.Duration {
	if x.call.route.Kind == catalog.Streaming {
		return targetSilenceTimeout
	}
	return max(minIdempotentTimeout, idempotentTimeoutObjectives*x.call.route.Objective)
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
	x.reply, x.head = reply, resp
	x.recordActivity()
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
	x.recordPace(reply)
	x.recordRateLimit(reply)
	x.recordBackoff(reply)
	x.recordLeaving(reply)
	if reply.NotRun {
		x.misdirected = reply.Misdirected
		x.breakage = refusalBreakage(reply)
		x.discardResponse(resp, reply)
		return attempts.NotRun, nil
	}
	if c.route.Kind == catalog.Streaming && reply.Status == http.StatusOK {
		return x.readStream(resp, reply), nil
	}
	return x.readBuffered(resp, reply)
}

// maxStandstill is the longest time for which the process may stand still during an attempt whose pace and
// delay count: the answer may have waited unread for so long, while paces hold for some hundred milliseconds.
const maxStandstill = 200 * time.Millisecond

// hasStoodStill reports whether the process has stood still for longer than maxStandstill since the
// attempt started.
func (x *exchange) hasStoodStill() bool {
	ran := x.call.entry.fleet.runTime() - x.startRunTime
	return time.Since(x.start)-ran > maxStandstill
}

// recordPace records the pace that the target reported, if the report is not old by now.
func (x *exchange) recordPace(reply platform.Reply) {
	if reply.Pace > 0 && !x.hasStoodStill() {
		x.call.entry.fleet.recordPace(x.call.service, x.choice.ID, reply.Pace)
	}
}

// recordResponse records the time to the first event, or to the complete response if it is no stream, and
// compares it with the prediction. A time in which the process stood still says nothing on predictions.
func (x *exchange) recordResponse(delay time.Duration) {
	c := x.call
	c.entry.fleet.recordResponse(c.service, x.choice, delay)
	if x.hasStoodStill() {
		return
	}
	c.entry.fleet.recordDelay(c.service, x.choice, delay)
	c.entry.meters.recordPrediction(c.service, x.choice.FirstEventDelay, delay, c.route.Objective)
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
// target closes it or has too few connections, or the end of the context resets it.
func (x *exchange) releaseConn(resp *http.Response, reply platform.Reply) {
	conn := x.conn
	x.conn = nil
	if !x.stopReset() || resp.Close || !x.call.entry.fleet.keepsIdleConns(x.call.service) {
		_ = conn.Close()
		return
	}
	x.call.entry.conns.putIdle(conn, reply.IdleTimeout)
}
