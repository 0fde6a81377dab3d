package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
)

const (
	openTimeout = time.Second
	sendTimeout = 2 * time.Second
	// connPollInterval is the interval at which a query checks for a new connection.
	connPollInterval = 10 * time.Millisecond
)

// exchange is one stream of one attempt.
type exchange struct {
	// id is 0 if the state machine does not await any message of the exchange.
	id           uint64
	target       contract.MachineID
	request      contract.RequestID
	firstMessage contract.Message
	// needsNewConn is set if the connection must be replaced first, unless it is new.
	// waitsForConn is set if the exchange waits until the target is connected.
	needsNewConn, waitsForConn bool

	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	stream *link.Stream
	closed bool
}

// exchanges runs the exchanges of all attempts.
type exchanges struct {
	links     *links
	keys      *keyClaims
	loop      *eventLoop
	responses *responseBuffers
	ctx       context.Context
	wg        sync.WaitGroup

	mu   sync.Mutex
	byID map[uint64]*exchange
}

func newExchanges(ctx context.Context, responses *responseBuffers) *exchanges {
	return &exchanges{ctx: ctx, responses: responses, byID: map[uint64]*exchange{}}
}

// startExchange starts an exchange, which opens a stream and sends the first message.
func (x *exchanges) startExchange(e *exchange) {
	e.ctx, e.cancel = context.WithCancel(x.ctx)
	x.mu.Lock()
	if e.id != 0 {
		x.byID[e.id] = e
	}
	x.mu.Unlock()
	x.wg.Add(1)
	go func() {
		defer x.wg.Done()
		x.runExchange(e)
	}()
}

// remove removes and returns the exchange with the given id, or nil if there is none.
func (x *exchanges) remove(id uint64) *exchange {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.byID[id]
	delete(x.byID, id)
	return e
}

// closeExchange ends an exchange and closes its stream.
func (x *exchanges) closeExchange(id uint64) {
	if e := x.remove(id); e != nil {
		e.close()
	}
}

// cancelExchange sends Cancel on the stream of an exchange, if it is open, and closes the
// exchange.
func (x *exchanges) cancelExchange(id uint64, attempt contract.AttemptID) {
	e := x.remove(id)
	if e == nil {
		return
	}
	e.mu.Lock()
	s := e.stream
	e.mu.Unlock()
	if s == nil {
		e.close()
		return
	}
	x.wg.Add(1)
	go func() {
		defer x.wg.Done()
		_ = s.SetWriteDeadline(time.Now().Add(sendTimeout))
		_ = s.Send(contract.Message{Kind: contract.KindCancel, Cancel: &contract.Cancel{Attempt: attempt}})
		e.close()
	}()
}

func (e *exchange) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.cancel()
	if e.stream != nil {
		e.stream.Close()
	}
}

// setStream stores the stream of the exchange. It returns false if the exchange has been
// closed meanwhile.
func (e *exchange) setStream(s *link.Stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	e.stream = s
	return true
}

// runExchange opens the stream, sends the first message and passes on the messages
// received.
func (x *exchanges) runExchange(e *exchange) {
	if e.id == 0 {
		defer e.close()
	}
	s, err := x.openStream(e)
	if err != nil {
		x.loop.step(dispatch.ExchangeBroken{Exchange: e.id, Reason: linkReason(err), Unsent: true})
		return
	}
	if !e.setStream(s) {
		s.Reset()
		return
	}
	if e.firstMessage.Kind == contract.KindStart && !x.keys.mayStart(e.request) {
		x.loop.step(dispatch.ExchangeBroken{Exchange: e.id, Reason: contract.ReasonKeyUnresolved, Unsent: true})
		return
	}
	_ = s.SetWriteDeadline(time.Now().Add(sendTimeout))
	if err := s.Send(e.firstMessage); err != nil {
		x.reportBroken(e, err)
		return
	}
	if e.id == 0 {
		awaitReply(s)
		return
	}
	x.readMessages(e, s)
}

func (x *exchanges) openStream(e *exchange) (*link.Stream, error) {
	ctx, cancel := context.WithTimeout(e.ctx, openTimeout)
	defer cancel()
	conn, err := x.getConn(ctx, e)
	if err != nil {
		return nil, err
	}
	return conn.Open(ctx)
}

// getConn returns the connection to the target of an exchange. If there is none, it fails
// at once, or waits for one until ctx ends if the exchange says so.
func (x *exchanges) getConn(ctx context.Context, e *exchange) (*link.Conn, error) {
	if e.needsNewConn {
		x.links.replaceConn(e.target)
	}
	for {
		if conn, ok := x.links.pool.Get(e.target); ok {
			return conn, nil
		}
		if !e.waitsForConn {
			return nil, link.ErrClosed
		}
		select {
		case <-ctx.Done():
			return nil, link.ErrClosed
		case <-time.After(connPollInterval):
		}
	}
}

// readMessages passes received messages to the state machine until the exchange ends.
func (x *exchanges) readMessages(e *exchange, s *link.Stream) {
	for {
		m, err := s.Recv()
		if err != nil {
			x.reportBroken(e, err)
			return
		}
		x.loop.step(dispatch.MessageReceived{Exchange: e.id, Message: m})
		if e.ctx.Err() != nil {
			return
		}
		x.waitForCaller(e)
	}
}

// waitForCaller blocks while the caller's response buffer is full, so that no further
// messages are read. It reports the start and the end of the wait to the state machine.
func (x *exchanges) waitForCaller(e *exchange) {
	b := x.responses.get(e.request)
	if b == nil || !b.isFull() {
		return
	}
	x.loop.step(dispatch.CallerSlow{Request: e.request, Slow: true})
	for b.isFull() {
		select {
		case <-e.ctx.Done():
			return
		case <-b.drained:
		}
	}
	x.loop.step(dispatch.CallerSlow{Request: e.request, Slow: false})
}

// reportBroken reports to the state machine that the stream broke, unless the exchange
// was closed on purpose.
func (x *exchanges) reportBroken(e *exchange, err error) {
	if e.ctx.Err() != nil && x.ctx.Err() == nil {
		return
	}
	x.loop.step(dispatch.ExchangeBroken{Exchange: e.id, Reason: linkReason(err)})
}

// awaitReply waits for a reply and discards it. Closing the stream earlier could prevent
// the message sent on it from arriving.
func awaitReply(s *link.Stream) {
	_ = s.SetReadDeadline(time.Now().Add(sendTimeout))
	_, _ = s.Recv()
}

// linkReason returns the reason that corresponds to an error of the link.
func linkReason(err error) contract.Reason {
	switch {
	case errors.Is(err, link.ErrSilent):
		return contract.ReasonLinkSilent
	case errors.Is(err, link.ErrFrame):
		return contract.ReasonBadFrame
	default:
		return contract.ReasonLinkDown
	}
}
