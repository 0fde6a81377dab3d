package direct

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
	"mimosastand.example/mimosastand/zone/poison"
)

// newPlainState returns the state of an entry that knows one target of the plain service.
func newPlainState(slots int) *fleetState {
	fs := newEmptyState(config.Bounds{})
	fs.applyOperatorRecords(feed.Update{Records: []contract.Record{{Offset: 1, Key: platform.KeyManifest, Value: []byte(
		`{"version":1,"services":[{"name":"plain"}]}`)}}})
	fs.setEntries(entryNames(1))
	fs.applyTargetRecords(feed.Update{Records: []contract.Record{{Offset: 1, Key: "target-0", Value: fmt.Appendf(nil,
		`{"service":"plain","address":"10.0.0.1:80","zone":"a","state":"ready","slots":%d,"seq_no":1,"born":1}`, slots)}}})
	return fs
}

// Guards against a request that waits for room and is sent although it has become known meanwhile
// that it crashes targets.
func TestWaitingRequestIsRefusedOnceItIsBlamed(t *testing.T) {
	for name, freeTarget := range map[string]bool{"target stays full": false, "target has room again": true} {
		synctest.Test(t, func(t *testing.T) {
			const waited = 300 * time.Millisecond
			fs := newPlainState(1)
			refusal := placement.Placed
			for refusal == placement.Placed {
				_, refusal = fs.pickTarget(limitedService, placement.Requirements{}, time.Hour)
			}
			if refusal != placement.Full {
				t.Fatalf("%s: pickTarget() = %d, want Full", name, refusal)
			}
			c := &call{
				entry: &Entry{fleet: fs}, service: limitedService, arrived: time.Now(), deadline: time.Now().Add(time.Minute),
				route: &catalog.Route{Objective: 10 * time.Second},
			}
			c.suspect = poison.NewRequest(limitedService, nil)
			c.suspect.Whole = poison.WholeOf(limitedService, poison.Identity{URI: "/bad"})
			time.AfterFunc(waited, func() {
				fs.applyHeartbeat(contract.Heartbeat{Machine: "peer", PoisonVerdicts: []contract.PoisonVerdict{
					{Parts: []uint64{uint64(c.suspect.Whole)}, Observation: 1, Blamed: true},
				}})
				if freeTarget {
					fs.recordAttemptEnd(limitedService, "target-0")
				}
			})
			_, reason, retryAfter := c.placeAttempt(context.Background())
			if took := time.Since(c.arrived); reason != contract.ReasonPoisonedPrompt || retryAfter < time.Minute || took > waited+2*placementInterval {
				t.Errorf("%s: placeAttempt() = %q, return after %v, after %v; want poisoned_prompt, minutes and %v", name, reason, retryAfter, took, waited)
			}
		})
	}
}
