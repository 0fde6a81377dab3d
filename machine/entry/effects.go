package entry

import (
	"context"
	"sync"

	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
)

// effects carries out what the state machine wants.
type effects struct {
	ctx       context.Context
	loop      *loop
	callers   *callers
	exchanges *exchanges
	links     *links
	settings  Settings
	keys      *keys
	scope     tally.Scope
	wg        sync.WaitGroup
}

// execute implements executor.
func (x *effects) execute(e dispatch.Effect) {
	switch e := e.(type) {
	case dispatch.SendStart:
		x.start(e)
	case dispatch.SendQuery:
		x.query(e)
	case dispatch.SendCancel:
		x.exchanges.abort(e.Exchange, e.Attempt)
	case dispatch.EndExchange:
		x.exchanges.end(e.Exchange)
	case dispatch.Deliver:
		if c := x.callers.get(e.Request); c != nil {
			c.deliver(e)
		}
	case dispatch.Finish:
		if c := x.callers.get(e.Request); c != nil {
			c.finish(e)
		}
	case dispatch.SetPeers:
		x.links.setPeers(e.Peers)
	case dispatch.PullSettings:
		x.settings.Observe(e.AtLeast)
	case dispatch.Count:
		x.count(e)
	default:
		x.executeKey(e)
	}
}

func (x *effects) executeKey(e dispatch.Effect) {
	switch e := e.(type) {
	case dispatch.ClaimKey:
		x.background(func() { x.loop.step(x.keys.claim(x.ctx, e)) })
	case dispatch.ResolveKey:
		x.background(func() { x.keys.resolve(x.ctx, e) })
	}
}

func (x *effects) background(f func()) {
	x.wg.Add(1)
	go func() {
		defer x.wg.Done()
		f()
	}()
}

func (x *effects) start(e dispatch.SendStart) {
	x.exchanges.begin(&exchange{
		id:      e.Exchange,
		target:  e.Target,
		request: e.Start.Attempt.Request,
		first:   contract.Message{Kind: contract.KindStart, Start: &e.Start},
	})
}

func (x *effects) query(e dispatch.SendQuery) {
	x.exchanges.begin(&exchange{
		id:      e.Exchange,
		target:  e.Target,
		request: e.Query.Attempt.Request,
		first:   contract.Message{Kind: contract.KindQuery, Query: &e.Query},
		fresh:   e.NewConnection,
		wait:    true,
	})
}

var counterNames = map[dispatch.Counter]string{
	dispatch.CountEjection: "ejections",
	dispatch.CountQuery:    "queries",
	dispatch.CountSpill:    "spills",
}

func (x *effects) count(e dispatch.Count) {
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
