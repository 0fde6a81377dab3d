package target

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/machine/target/answers"
	"mimosastand.example/mimosastand/machine/target/backend"
	"mimosastand.example/mimosastand/machine/target/gate"
)

const (
	// plainOverrun is how long a call that may not be repeated may run beyond
	// its caller's deadline, so that its effect becomes known.
	plainOverrun = 30 * time.Second
	// plainLinger is how long a plain service counts as working on a call whose
	// reply was lost.
	plainLinger    = 5 * time.Second
	plainTries     = 3
	plainRetryWait = 50 * time.Millisecond
	cancelRetry    = 500 * time.Millisecond
	readBytes      = 32 << 10
)

// stopError is the cause with which the gate ends work.
type stopError struct{ reason contract.Reason }

// Error implements error.
func (e stopError) Error() string { return "target: stopped: " + string(e.reason) }

// run accepts an attempt and starts its work. The caller holds mu.
func (p *Process) run(e gate.Run) {
	id := e.Start.Attempt
	f := p.feeds[id]
	if f == nil {
		f = newFeed(id)
		p.feeds[id] = f
	}
	deadline := e.Deadline
	if p.plain != nil && !e.Start.Idempotent {
		deadline = deadline.Add(plainOverrun)
	}
	ctx, stop := context.WithCancelCause(p.ctx)
	ctx, release := context.WithDeadlineCause(ctx, deadline, stopError{reason: contract.ReasonDeadline})
	f.record = p.gate.Answers().Get(id)
	f.stop = stop
	f.accepted = &contract.Accept{Attempt: id, Load: p.gate.Load(e.From)}
	f.signal()
	w := &worker{p: p, feed: f, start: e.Start}
	p.workers.Go(func() {
		defer release()
		defer stop(nil)
		w.work(ctx)
	})
}

// worker runs one attempt on the back end.
type worker struct {
	p     *Process
	feed  *feed
	start contract.Start
	first bool
}

func (w *worker) work(ctx context.Context) {
	w.p.mu.Lock()
	reason := w.p.gate.Sendable(time.Now(), w.start.Attempt)
	w.p.mu.Unlock()
	if reason != "" {
		w.end(notRun(reason, gate.FaultNone))
		return
	}
	if w.p.engine != nil {
		w.generate(ctx)
		return
	}
	w.call(ctx)
}

func (w *worker) end(e gate.Ended) {
	e.Attempt = w.start.Attempt
	w.p.step(e)
}

func notRun(reason contract.Reason, fault gate.Fault) gate.Ended {
	return gate.Ended{Outcome: contract.OutcomeNotRun, Reason: reason, Fault: fault}
}

// modelCall is the body of a model call.
type modelCall struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

func (w *worker) generate(ctx context.Context) {
	var call modelCall
	if err := json.Unmarshal(w.start.Body, &call); err != nil {
		w.end(notRun(contract.ReasonBadRequest, gate.FaultNone))
		return
	}
	end, err := w.p.engine.Generate(ctx, backend.GenerateRequest{
		ID: w.start.Attempt.String(), Prompt: call.Prompt, MaxTokens: call.MaxTokens,
		Priority: int(w.start.Priority), ResumeAt: w.start.ResumeAt, Digest: w.start.Weights,
	}, func(t backend.Token) error {
		return w.append(ctx, answers.Frame{At: t.At, Data: []byte(t.Text)})
	})
	if err == nil {
		w.end(gate.Ended{Outcome: contract.OutcomeDone, Weights: end.Digest})
		return
	}
	ended := w.modelError(ctx, err)
	w.end(ended)
	if ended.Lingers {
		w.cancelUntilReleased()
	}
}

// modelError tells what an error says about whether the engine ran the work.
func (w *worker) modelError(ctx context.Context, err error) gate.Ended {
	switch {
	case errors.Is(err, backend.ErrDigestMismatch):
		return notRun(contract.ReasonWeightsMismatch, gate.FaultNone)
	case errors.Is(err, backend.ErrOverloaded):
		return notRun(contract.ReasonColdStart, gate.FaultOverloaded)
	case errors.Is(err, backend.ErrBadCall):
		return notRun(contract.ReasonBadRequest, gate.FaultNone)
	case errors.Is(err, backend.ErrNotSent):
		return notRun(stopReason(ctx, contract.ReasonBackendDown), gate.FaultConnection)
	}
	ended := gate.Ended{Reason: contract.ReasonTruncatedAnswer, Fault: gate.FaultConnection, Lingers: true}
	if ctx.Err() != nil {
		ended.Reason = stopReason(ctx, ended.Reason)
		ended.Fault = gate.FaultNone
	}
	return ended
}

// stopReason returns why ctx ended, or otherwise.
func stopReason(ctx context.Context, otherwise contract.Reason) contract.Reason {
	var stopped stopError
	if errors.As(context.Cause(ctx), &stopped) {
		return stopped.reason
	}
	return otherwise
}

// cancelUntilReleased asks the engine to stop until it has, or until the engine
// is known to be gone.
func (w *worker) cancelUntilReleased() {
	id := w.start.Attempt
	for w.p.lingers(id) {
		err := w.p.engine.Cancel(w.p.ctx, id.String())
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
		select {
		case <-time.After(cancelRetry):
		case <-w.p.ctx.Done():
			return
		}
	}
	w.p.step(gate.Released{Attempt: id})
}

func (p *Process) lingers(id contract.AttemptID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gate.IsLingering(id)
}

// append adds a frame to the answer. It waits while the answer is full and a
// stream has yet to read it.
func (w *worker) append(ctx context.Context, f answers.Frame) error {
	for {
		w.p.mu.Lock()
		if !w.first {
			w.first = true
			w.p.stepLocked(gate.FirstToken{Attempt: w.start.Attempt})
		}
		ok := w.p.gate.Answers().Append(w.feed.record, f, w.feed.consumed())
		if ok {
			w.feed.signal()
		}
		w.p.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-w.feed.room:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func (w *worker) call(ctx context.Context) {
	reply, err := w.callRetried(ctx)
	switch {
	case errors.Is(err, backend.ErrBadCall):
		w.end(notRun(contract.ReasonBadRequest, gate.FaultNone))
	case errors.Is(err, backend.ErrNotSent):
		w.end(notRun(stopReason(ctx, contract.ReasonBackendDown), gate.FaultConnection))
	case err != nil:
		w.end(lostReply(ctx, contract.ReasonBackendError))
	default:
		w.reply(ctx, reply)
	}
}

// lostReply ends a call that the service may have taken.
func lostReply(ctx context.Context, reason contract.Reason) gate.Ended {
	return gate.Ended{
		Reason: stopReason(ctx, reason), Fault: gate.FaultConnection,
		Lingers: true, LingerFor: plainLinger,
	}
}

// callRetried repeats a call only while no connection to the service was made,
// so that nothing of the call was written.
func (w *worker) callRetried(ctx context.Context) (backend.Reply, error) {
	call := backend.Call{
		Method: w.start.Method, Path: w.start.Path, ContentType: w.start.ContentType,
		Body: w.start.Body, Request: w.start.Attempt.Request, Key: w.start.Key,
		Idempotent: w.start.Idempotent,
	}
	for try := 1; ; try++ {
		reply, err := w.p.plain.Call(ctx, call)
		if !errors.Is(err, backend.ErrNotSent) || errors.Is(err, backend.ErrBadCall) || try == plainTries {
			return reply, err
		}
		metrics.CountRetry(w.p.scope, contract.ReasonBackendDown)
		select {
		case <-time.After(plainRetryWait):
		case <-ctx.Done():
			return reply, err
		}
	}
}

// readBuffers holds the buffers that answers of plain services are read into.
var readBuffers = sync.Pool{New: func() any { return new([readBytes]byte) }}

func (w *worker) reply(ctx context.Context, reply backend.Reply) {
	defer func() { _ = reply.Body.Close() }()
	buffer := readBuffers.Get().(*[readBytes]byte)
	defer readBuffers.Put(buffer)
	data := buffer[:]
	at := uint64(0)
	for {
		n, err := reply.Body.Read(data)
		if n > 0 {
			if failed := w.append(ctx, answers.Frame{At: at, Data: data[:n]}); failed != nil {
				w.end(lostReply(ctx, contract.ReasonTruncatedAnswer))
				return
			}
			at += uint64(n)
		}
		if errors.Is(err, io.EOF) {
			w.end(gate.Ended{Outcome: contract.OutcomeDone, Status: reply.Status, ContentType: reply.ContentType})
			return
		}
		if err != nil {
			w.end(lostReply(ctx, contract.ReasonTruncatedAnswer))
			return
		}
	}
}
