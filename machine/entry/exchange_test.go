package entry

import (
	"context"
	"testing"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link/pool"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
)

// TestUnawaitedExchangeReleasesContext checks that an exchange whose messages the state
// machine does not await cancels its context even if its target cannot be reached.
func TestUnawaitedExchangeReleasesContext(t *testing.T) {
	peers := pool.New(nil, pool.Options{})
	t.Cleanup(peers.Close)
	x := newExchanges(context.Background(), newResponseBuffers())
	x.links = &links{pool: peers}
	x.loop = newEventLoop(dispatch.Config{}, nil)
	t.Cleanup(x.loop.stopTimer)
	e := &exchange{target: "t1", firstMessage: contract.Message{Kind: contract.KindQuery, Query: &contract.Query{}}}
	x.startExchange(e)
	x.wg.Wait()
	if e.ctx.Err() == nil {
		t.Fatal("context of the ended exchange has no error, want it cancelled")
	}
}
