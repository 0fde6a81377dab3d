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
	// plainOverrunLimit is how long a call that is not idempotent may run beyond its
	// caller's deadline, so that its result becomes known.
	plainOverrunLimit = 30 * time.Second
	// plainLingerTimeout is how long a plain service counts as working on a call whose
	// reply was lost.
	plainLingerTimeout  = 5 * time.Second
	maxPlainTries       = 3
	plainRetryDelay     = 50 * time.Millisecond
	cancelRetryInterval = 500 * time.Millisecond
	readBufferBytes     = 32 << 10
)

// stopError is the cancellation cause of an attempt's context.
type stopError struct{ reason contract.Reason }

// Error implements error.
func (e stopError) Error() string { return "target: stopped: " + string(e.reason) }

// startWorker accepts an attempt and starts a worker for it. The caller holds mu.
func (p *Process) startWorker(e gate.Run) {
	id := e.Start.Attempt
	f := p.feeds[id]
	if f == nil {
		f = newFeed(id)
		p.feeds[id] = f
	}
	deadline := e.Deadline
	if p.plain != nil && !e.Start.Idempotent {
		deadline = deadline.Add(plainOverrunLimit)
	}
	ctx, stop := context.WithCancelCause(p.ctx)
	ctx, release := context.WithDeadlineCause(ctx, deadline, stopError{reason: contract.ReasonDeadline})
	f.record = p.gate.Answers().Get(id)
	f.stop = stop
	f.accept = &contract.Accept{Attempt: id, Load: p.gate.Load(e.From)}
	f.wakeReaders()
	w := &worker{p: p, feed: f, start: e.Start}
	p.workers.Go(func() {
		defer release()
		defer stop(nil)
		w.execute(ctx)
	})
}

// worker runs one attempt on the back end.
type worker struct {
	p             *Process
	feed          *feed
	start         contract.Start
	gotFirstToken bool
}

func (w *worker) execute(ctx context.Context) {
	w.p.mu.Lock()
	reason := w.p.gate.Sendable(time.Now(), w.start.Attempt)
	w.p.mu.Unlock()
	if reason != "" {
		w.finish(endNotRun(reason, gate.FaultNone))
		return
	}
	if w.p.engine != nil {
		w.generate(ctx)
		return
	}
	w.callPlain(ctx)
}

func (w *worker) finish(e gate.Ended) {
	e.Attempt = w.start.Attempt
	w.p.step(e)
}

func endNotRun(reason contract.Reason, fault gate.Fault) gate.Ended {
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
		w.finish(endNotRun(contract.ReasonBadRequest, gate.FaultNone))
		return
	}
	end, err := w.p.engine.Generate(ctx, backend.GenerateRequest{
		ID: w.start.Attempt.String(), Prompt: call.Prompt, MaxTokens: call.MaxTokens,
		Priority: int(w.start.Priority), ResumeAt: w.start.ResumeAt, Digest: w.start.Weights,
	}, func(t backend.Token) error {
		return w.appendFrame(ctx, answers.Frame{At: t.At, Data: []byte(t.Text)})
	})
	if err == nil {
		w.finish(gate.Ended{Outcome: contract.OutcomeDone, Weights: end.Digest})
		return
	}
	ended := w.endOfFailedGeneration(ctx, err)
	w.finish(ended)
	if ended.Lingers {
		w.cancelUntilReleased()
	}
}

// endOfFailedGeneration returns the end of an attempt whose call of the engine failed with
// err. The outcome is not run only if the error proves that the engine did not start the
// work, and unknown otherwise.
func (w *worker) endOfFailedGeneration(ctx context.Context, err error) gate.Ended {
	switch {
	case errors.Is(err, backend.ErrDigestMismatch):
		return endNotRun(contract.ReasonWeightsMismatch, gate.FaultNone)
	case errors.Is(err, backend.ErrOverloaded):
		return endNotRun(contract.ReasonColdStart, gate.FaultOverloaded)
	case errors.Is(err, backend.ErrBadCall):
		return endNotRun(contract.ReasonBadRequest, gate.FaultNone)
	case errors.Is(err, backend.ErrNotSent):
		return endNotRun(stopReason(ctx, contract.ReasonBackendDown), gate.FaultConnection)
	}
	ended := gate.Ended{Reason: contract.ReasonTruncatedAnswer, Fault: gate.FaultConnection, Lingers: true}
	if ctx.Err() != nil {
		ended.Reason = stopReason(ctx, ended.Reason)
		ended.Fault = gate.FaultNone
	}
	return ended
}

// stopReason returns the reason for which ctx was stopped, or fallback if it was not.
func stopReason(ctx context.Context, fallback contract.Reason) contract.Reason {
	var stopped stopError
	if errors.As(context.Cause(ctx), &stopped) {
		return stopped.reason
	}
	return fallback
}

// cancelUntilReleased sends cancel requests to the engine until it confirms one, until it
// refuses connections, or until the unit no longer lingers. The unit is then released.
func (w *worker) cancelUntilReleased() {
	id := w.start.Attempt
	for w.p.isLingering(id) {
		err := w.p.engine.Cancel(w.p.ctx, id.String())
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
		select {
		case <-time.After(cancelRetryInterval):
		case <-w.p.ctx.Done():
			return
		}
	}
	w.p.step(gate.Released{Attempt: id})
}

func (p *Process) isLingering(id contract.AttemptID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gate.IsLingering(id)
}

// appendFrame appends a frame to the answer. It waits while the answer is full and a stream
// still has to read it.
func (w *worker) appendFrame(ctx context.Context, f answers.Frame) error {
	for {
		w.p.mu.Lock()
		if !w.gotFirstToken {
			w.gotFirstToken = true
			w.p.stepLocked(gate.FirstToken{Attempt: w.start.Attempt})
		}
		ok := w.p.gate.Answers().Append(w.feed.record, f, w.feed.consumed())
		if ok {
			w.feed.wakeReaders()
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

func (w *worker) callPlain(ctx context.Context) {
	reply, err := w.callWithRetry(ctx)
	switch {
	case errors.Is(err, backend.ErrBadCall):
		w.finish(endNotRun(contract.ReasonBadRequest, gate.FaultNone))
	case errors.Is(err, backend.ErrNotSent):
		w.finish(endNotRun(stopReason(ctx, contract.ReasonBackendDown), gate.FaultConnection))
	case err != nil:
		w.finish(endOfLostReply(ctx, contract.ReasonBackendError))
	default:
		w.copyReply(ctx, reply)
	}
}

// endOfLostReply returns the end of a call that the service may have executed.
func endOfLostReply(ctx context.Context, reason contract.Reason) gate.Ended {
	return gate.Ended{
		Reason: stopReason(ctx, reason), Fault: gate.FaultConnection,
		Lingers: true, LingerFor: plainLingerTimeout,
	}
}

// callWithRetry calls the service. It retries only if no connection to the service was
// established, so that no part of the call was written.
func (w *worker) callWithRetry(ctx context.Context) (backend.Reply, error) {
	call := backend.Call{
		Method: w.start.Method, Path: w.start.Path, ContentType: w.start.ContentType,
		Body: w.start.Body, Request: w.start.Attempt.Request, Key: w.start.Key,
		Idempotent: w.start.Idempotent,
	}
	for try := 1; ; try++ {
		reply, err := w.p.plain.Call(ctx, call)
		if !errors.Is(err, backend.ErrNotSent) || errors.Is(err, backend.ErrBadCall) || try == maxPlainTries {
			return reply, err
		}
		metrics.CountRetry(w.p.scope, contract.ReasonBackendDown)
		select {
		case <-time.After(plainRetryDelay):
		case <-ctx.Done():
			return reply, err
		}
	}
}

// readBuffers is a pool of buffers for reading the answers of plain services.
var readBuffers = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}

func (w *worker) copyReply(ctx context.Context, reply backend.Reply) {
	defer func() { _ = reply.Body.Close() }()
	buffer := readBuffers.Get().(*[readBufferBytes]byte)
	defer readBuffers.Put(buffer)
	data := buffer[:]
	at := uint64(0)
	for {
		n, err := reply.Body.Read(data)
		if n > 0 {
			if failed := w.appendFrame(ctx, answers.Frame{At: at, Data: data[:n]}); failed != nil {
				w.finish(endOfLostReply(ctx, contract.ReasonTruncatedAnswer))
				return
			}
			at += uint64(n)
		}
		if errors.Is(err, io.EOF) {
			w.finish(gate.Ended{Outcome: contract.OutcomeDone, Status: reply.Status, ContentType: reply.ContentType})
			return
		}
		if err != nil {
			w.finish(endOfLostReply(ctx, contract.ReasonTruncatedAnswer))
			return
		}
	}
}
