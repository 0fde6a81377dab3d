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
	// connPoll is how often a query looks for a new connection.
	connPoll = 10 * time.Millisecond
)

// exchange is one stream of one attempt.
type exchange struct {
	id      uint64
	target  contract.MachineID
	request contract.RequestID
	first   contract.Message
	// fresh asks for a new connection, wait for one that is not there yet.
	fresh, wait bool

	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	stream *link.Stream
	ended  bool
}

// exchanges runs the streams of attempts.
type exchanges struct {
	links   *links
	keys    *keys
	loop    *loop
	callers *callers
	ctx     context.Context
	wg      sync.WaitGroup

	mu   sync.Mutex
	byID map[uint64]*exchange
}

func newExchanges(ctx context.Context, callers *callers) *exchanges {
	return &exchanges{ctx: ctx, callers: callers, byID: map[uint64]*exchange{}}
}

// begin starts an exchange with its first message.
func (x *exchanges) begin(e *exchange) {
	e.ctx, e.cancel = context.WithCancel(x.ctx)
	x.mu.Lock()
	if e.id != 0 {
		x.byID[e.id] = e
	}
	x.mu.Unlock()
	x.wg.Add(1)
	go func() {
		defer x.wg.Done()
		x.run(e)
	}()
}

func (x *exchanges) take(id uint64) *exchange {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.byID[id]
	delete(x.byID, id)
	return e
}

// end closes an exchange's stream.
func (x *exchanges) end(id uint64) {
	if e := x.take(id); e != nil {
		e.close()
	}
}

// abort sends Cancel and closes the stream.
func (x *exchanges) abort(id uint64, attempt contract.AttemptID) {
	e := x.take(id)
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
	e.ended = true
	e.cancel()
	if e.stream != nil {
		e.stream.Close()
	}
}

// adopt stores the stream; it reports false if the exchange ended meanwhile.
func (e *exchange) adopt(s *link.Stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return false
	}
	e.stream = s
	return true
}

func (x *exchanges) run(e *exchange) {
	if e.id == 0 {
		defer e.close()
	}
	s, err := x.open(e)
	if err != nil {
		x.loop.step(dispatch.ExchangeBroken{Exchange: e.id, Reason: reasonOf(err), Unsent: true})
		return
	}
	if !e.adopt(s) {
		s.Reset()
		return
	}
	if e.first.Kind == contract.KindStart && !x.keys.mayStart(e.request) {
		x.loop.step(dispatch.ExchangeBroken{Exchange: e.id, Reason: contract.ReasonKeyUnresolved, Unsent: true})
		return
	}
	_ = s.SetWriteDeadline(time.Now().Add(sendTimeout))
	if err := s.Send(e.first); err != nil {
		x.broken(e, err)
		return
	}
	if e.id == 0 {
		forgotten(s)
		return
	}
	x.read(e, s)
}

func (x *exchanges) open(e *exchange) (*link.Stream, error) {
	ctx, cancel := context.WithTimeout(e.ctx, openTimeout)
	defer cancel()
	conn, err := x.connection(ctx, e)
	if err != nil {
		return nil, err
	}
	return conn.Open(ctx)
}

func (x *exchanges) connection(ctx context.Context, e *exchange) (*link.Conn, error) {
	if e.fresh {
		x.links.renew(e.target)
	}
	for {
		if conn, ok := x.links.pool.Get(e.target); ok {
			return conn, nil
		}
		if !e.wait {
			return nil, link.ErrClosed
		}
		select {
		case <-ctx.Done():
			return nil, link.ErrClosed
		case <-time.After(connPoll):
		}
	}
}

// read passes messages on until the exchange ends.
func (x *exchanges) read(e *exchange, s *link.Stream) {
	for {
		m, err := s.Recv()
		if err != nil {
			x.broken(e, err)
			return
		}
		x.loop.step(dispatch.MessageReceived{Exchange: e.id, Message: m})
		if e.ctx.Err() != nil {
			return
		}
		x.holdBack(e)
	}
}

// holdBack stops reading while the caller has too much waiting for it.
func (x *exchanges) holdBack(e *exchange) {
	c := x.callers.get(e.request)
	if c == nil || !c.full() {
		return
	}
	x.loop.step(dispatch.CallerSlow{Request: e.request, Slow: true})
	for c.full() {
		select {
		case <-e.ctx.Done():
			return
		case <-c.room:
		}
	}
	x.loop.step(dispatch.CallerSlow{Request: e.request, Slow: false})
}

func (x *exchanges) broken(e *exchange, err error) {
	if e.ctx.Err() != nil && x.ctx.Err() == nil {
		return
	}
	x.loop.step(dispatch.ExchangeBroken{Exchange: e.id, Reason: reasonOf(err)})
}

// forgotten waits for the reply to a message that nobody waits for, so that it
// surely arrives before the stream is closed.
func forgotten(s *link.Stream) {
	_ = s.SetReadDeadline(time.Now().Add(sendTimeout))
	_, _ = s.Recv()
}

// reasonOf turns an error of the link into a reason.
func reasonOf(err error) contract.Reason {
	switch {
	case errors.Is(err, link.ErrSilent):
		return contract.ReasonLinkSilent
	case errors.Is(err, link.ErrFrame):
		return contract.ReasonBadFrame
	default:
		return contract.ReasonLinkDown
	}
}
