package entry

import (
	"context"
	"sync"

	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
)

// effectExecutor executes the effects of the state machine.
type effectExecutor struct {
	ctx       context.Context
	loop      *eventLoop
	responses *responseBuffers
	exchanges *exchanges
	links     *links
	settings  Settings
	keys      *keyClaims
	scope     tally.Scope
	wg        sync.WaitGroup
}

// execute implements executor.
func (x *effectExecutor) execute(e dispatch.Effect) {
	switch e := e.(type) {
	case dispatch.SendStart:
		x.sendStart(e)
	case dispatch.SendQuery:
		x.sendQuery(e)
	case dispatch.SendCancel:
		x.exchanges.cancelExchange(e.Exchange, e.Attempt)
	case dispatch.EndExchange:
		x.exchanges.closeExchange(e.Exchange)
	case dispatch.Deliver:
		if b := x.responses.get(e.Request); b != nil {
			b.deliver(e)
		}
	case dispatch.Finish:
		if b := x.responses.get(e.Request); b != nil {
			b.finish(e)
		}
	case dispatch.SetPeers:
		x.links.setPeers(e.Peers)
	case dispatch.PullSettings:
		x.settings.Observe(e.AtLeast)
	case dispatch.Count:
		x.countMetric(e)
	default:
		x.executeKeyEffect(e)
	}
}

// executeKeyEffect executes the effects on idempotency keys. They wait for the log, so
// they run in the background.
func (x *effectExecutor) executeKeyEffect(e dispatch.Effect) {
	switch e := e.(type) {
	case dispatch.ClaimKey:
		x.runInBackground(func() { x.loop.step(x.keys.claim(x.ctx, e)) })
	case dispatch.ResolveKey:
		x.runInBackground(func() { x.keys.resolve(x.ctx, e) })
	}
}

func (x *effectExecutor) runInBackground(f func()) {
	x.wg.Add(1)
	go func() {
		defer x.wg.Done()
		f()
	}()
}

func (x *effectExecutor) sendStart(e dispatch.SendStart) {
	x.exchanges.startExchange(&exchange{
		id:           e.Exchange,
		target:       e.Target,
		request:      e.Start.Attempt.Request,
		firstMessage: contract.Message{Kind: contract.KindStart, Start: &e.Start},
	})
}

func (x *effectExecutor) sendQuery(e dispatch.SendQuery) {
	x.exchanges.startExchange(&exchange{
		id:           e.Exchange,
		target:       e.Target,
		request:      e.Query.Attempt.Request,
		firstMessage: contract.Message{Kind: contract.KindQuery, Query: &e.Query},
		needsNewConn: e.NewConnection,
		waitsForConn: true,
	})
}

// counterNames holds the metric names of the counters without labels.
var counterNames = map[dispatch.Counter]string{
	dispatch.CountEjection: "ejections",
	dispatch.CountQuery:    "queries",
	dispatch.CountSpill:    "spills",
}

func (x *effectExecutor) countMetric(e dispatch.Count) {
	switch e.Counter {
	case dispatch.CountRefusal:
		metrics.CountRefusal(x.scope, e.Reason)
	case dispatch.CountRetry:
		metrics.CountRetry(x.scope, e.Reason)
	case dispatch.CountMove:
		x.scope.Tagged(map[string]string{"reason": string(e.Reason)}).Counter("moves").Inc(1)
	case dispatch.CountIgnored:
		metrics.CountIgnored(x.scope, e.Reason)
	default:
		x.scope.Counter(counterNames[e.Counter]).Inc(1)
	}
}
