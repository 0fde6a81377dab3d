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
	// maxAnswerBytes bounds an answer that is passed on whole.
	maxAnswerBytes = 8 << 20
	// targetSilence is how long a target with streams under way may send nothing on
	// any of them; streamSilence bounds the pause of one stream.
	targetSilence = 900 * time.Millisecond
	streamSilence = 1600 * time.Millisecond
	// plainSilence is the least time that an idempotent call waits for its answer
	// before it is sent elsewhere, plainObjectives how many objectives it waits.
	plainSilence    = 250 * time.Millisecond
	plainObjectives = 3
	// watchInterval is the time between two looks at a silent exchange.
	watchInterval = 50 * time.Millisecond
)

// answer is a target's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// exchange is one attempt on one connection.
type exchange struct {
	call   *call
	choice placement.Choice
	start  time.Time
	conn   *conn
	// silent tells that the exchange was cut because the target sent nothing.
	silent      bool
	misdirected bool
	// broke is how a lost attempt broke off, err the error if there is one.
	broke breakage
	err   error
	// heard is when something last came, in nanoseconds since start; heardRan is for
	// how long the process had run then, in nanoseconds.
	heard    atomic.Int64
	heardRan atomic.Int64
	quiet    atomic.Bool
}

func newExchange(c *call, choice placement.Choice) *exchange {
	x := &exchange{call: c, choice: choice, start: time.Now()}
	x.heardRan.Store(int64(c.entry.world.ran()))
	return x
}

func (x *exchange) run(ctx context.Context) (attempts.Outcome, *answer) {
	c := x.call
	maxIdle := time.Hour
	if !c.route.IsRepeatable() {
		maxIdle = onceIdle
	}
	conn, err := c.entry.upstream.get(ctx, x.choice.Address, maxIdle)
	if err != nil {
		x.broken(err)
		return attempts.NotSent, nil
	}
	x.conn = conn
	stop := context.AfterFunc(ctx, conn.abandon)
	defer stop()
	defer x.watch()()
	resp, err := conn.send(x.request(), c.deadline)
	if err != nil {
		lost := x.cut(err)
		if isLost(err) {
			return lost, nil
		}
		return attempts.NotSent, nil
	}
	return x.receive(resp)
}

func (x *exchange) request() attemptRequest {
	c := x.call
	attempt := platform.Attempt{
		Target:      x.choice.ID,
		Left:        time.Until(c.deadline),
		Priority:    -1,
		Resume:      c.begun || c.info.HasLastEvent,
		ResumeAfter: c.last,
		Version:     c.entry.world.expected(c.service, c.version, x.choice.Version),
	}
	c.story.expected = attempt.Version
	if c.team != nil {
		attempt.Team = string(c.team.Name)
	}
	return attemptRequest{
		method: c.r.Method,
		uri:    c.r.RequestURI,
		host:   c.r.Host,
		header: attempt.Forward(c.r.Header),
		body:   c.body,
	}
}

// watch cuts the exchange when the target falls silent; the result ends it.
func (x *exchange) watch() (stop func()) {
	c := x.call
	if !c.route.IsRepeatable() {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			if x.isSilent() {
				x.quiet.Store(true)
				x.conn.abandon()
				return
			}
		}
	}()
	return func() { close(done) }
}

// isSilent reports whether the target has sent nothing for too long. A time in which
// this process stood still does not count: what came meanwhile is still to be read.
func (x *exchange) isSilent() bool {
	c := x.call
	ran := c.entry.world.ran()
	pause := ran - time.Duration(x.heardRan.Load())
	if c.route.Kind != catalog.Streaming {
		return pause > max(plainSilence, plainObjectives*c.route.Objective) && c.sent+1 < c.route.MaxAttempts
	}
	if pause > streamSilence {
		return true
	}
	last := c.entry.world.lastHeard(c.service, x.choice.ID)
	return pause > targetSilence && ran-last > targetSilence
}

func (x *exchange) hear() {
	x.heard.Store(int64(time.Since(x.start)))
	x.heardRan.Store(int64(x.call.entry.world.heard(x.call.service, x.choice.ID)))
}

// receive takes in an answer whose head has come.
func (x *exchange) receive(resp *http.Response) (attempts.Outcome, *answer) {
	c := x.call
	reply := platform.DecodeReply(resp)
	x.hear()
	c.story.replied(reply)
	if reply.Requests >= 0 {
		c.entry.world.reported(c.service, x.choice.ID, reply.Requests)
	}
	if reply.ID != "" && reply.ID != c.info.ID {
		c.entry.log.WithField("request", c.info.ID).WithField("answered", reply.ID).
			WithField("target", string(x.choice.ID)).Warn("answer of another attempt")
		x.conn.abandon()
		x.broke = brokeOther
		return attempts.Lost, nil
	}
	if reply.NotRun {
		x.misdirected = reply.Misdirected
		x.broke = refusal(reply)
		x.finish(resp, reply)
		return attempts.NotRun, nil
	}
	if c.route.Kind == catalog.Streaming && reply.Status == http.StatusOK {
		return x.stream(resp, reply), nil
	}
	return x.whole(resp, reply)
}

// finish reads the rest of an answer that is not passed on and keeps the connection.
func (x *exchange) finish(resp *http.Response, reply platform.Reply) {
	const most = 64 << 10
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, most))
	if err != nil || resp.Close {
		_ = x.conn.Close()
		return
	}
	x.call.entry.upstream.put(x.conn, reply.IdleLimit)
}

// whole reads an answer to its end and passes a good one on.
func (x *exchange) whole(resp *http.Response, reply platform.Reply) (attempts.Outcome, *answer) {
	c := x.call
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return x.cut(err), nil
	}
	if len(body) > maxAnswerBytes || reply.Encoded {
		x.conn.abandon()
		x.broke = unusable(reply)
		return attempts.Lost, nil
	}
	if resp.Close {
		_ = x.conn.Close()
	} else {
		c.entry.upstream.put(x.conn, reply.IdleLimit)
	}
	a := &answer{status: reply.Status, header: platform.AnswerHeaders(resp.Header), body: body}
	switch {
	case !reply.Stamped && reply.Status < http.StatusBadRequest:
		x.broke = brokeUnstamped
		return attempts.Lost, nil
	case isPromise(reply.Status):
		// The target did not say that it has not run the attempt, so that its status
		// must not promise that to the caller.
		x.broke = brokePromise
		return attempts.Lost, nil
	case reply.Status >= http.StatusInternalServerError:
		return attempts.Failed, a
	}
	c.entry.world.answered(c.service, x.choice.ID, time.Since(x.start))
	c.passOn(a)
	return attempts.Completed, nil
}

// isPromise reports whether a status tells callers that the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
