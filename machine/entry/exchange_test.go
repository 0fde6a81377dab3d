package entry

import (
	"context"
	"testing"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link/pool"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
)

// TestForgottenExchangeLeavesNothing checks that an exchange that nobody waits
// for ends its context also when its target cannot be reached.
func TestForgottenExchangeLeavesNothing(t *testing.T) {
	peers := pool.New(nil, pool.Options{})
	t.Cleanup(peers.Close)
	x := newExchanges(context.Background(), newCallers())
	x.links = &links{pool: peers}
	x.loop = newLoop(dispatch.Config{}, nil)
	t.Cleanup(x.loop.stop)
	e := &exchange{target: "t1", first: contract.Message{Kind: contract.KindQuery, Query: &contract.Query{}}}
	x.begin(e)
	x.wg.Wait()
	if e.ctx.Err() == nil {
		t.Fatal("the context of the exchange lives on")
	}
}
