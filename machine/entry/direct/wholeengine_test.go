package direct

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/zone/placement"
)

// listingWith returns the entry of the target list of an engine that lists models and layers.
func listingWith(models, layers string) contract.Record {
	return contract.Record{Offset: 1, Key: "x", Value: fmt.Appendf(nil,
		`{"service":"models","address":"x:1","zone":"a","state":"ready","slots":8,"born":1,"seq_no":1,"stage":"both","models":%s,"layers":%s}`, models, layers)}
}

// isPlaced reports whether an entry would send a request now.
func (fs *fleetState) isPlaced() bool {
	_, refusal := fs.pickTarget(testService, placement.Requirements{}, time.Second)
	return refusal == placement.Placed
}

// Guards against answers from an engine that lacks layers or holds layers of two versions (WHOLE, inc2,
// H5): the numbers of layers were added up, and the newest of their versions counted. The model has 4.
func TestListedEngineThatIsNotWholeGetsNoRequests(t *testing.T) {
	for name, c := range map[string]struct {
		models, layers string
		want           bool
	}{
		"whole":                      {`[{"name":"daka","version":3}]`, `[{"from":0,"to":4,"version":3}]`, true},
		"whole, one range":           {`[{"name":"daka","version":3}]`, `{"from":0,"to":4,"version":3}`, true},
		"whole, two ranges":          {`[{"name":"daka","version":3}]`, `[{"from":2,"to":4,"version":3},{"from":0,"to":2,"version":3}]`, true},
		"whole, in the model":        {`[{"name":"daka","version":3,"layers":[{"from":0,"to":4,"version":3}]}]`, `null`, true},
		"none":                       {`[]`, `null`, false},
		"first layers":               {`[{"name":"daka","version":3}]`, `{"from":0,"to":1,"version":3}`, false},
		"last layers":                {`[{"name":"daka","version":3}]`, `{"from":1,"to":4,"version":3}`, false},
		"gap":                        {`[{"name":"daka","version":3}]`, `[{"from":0,"to":2,"version":3},{"from":3,"to":4,"version":3}]`, false},
		"overlap, as many as whole":  {`[{"name":"daka","version":3}]`, `[{"from":0,"to":2,"version":3},{"from":0,"to":2,"version":3}]`, false},
		"two versions":               {`[{"name":"daka","version":3}]`, `[{"from":0,"to":2,"version":2},{"from":2,"to":4,"version":3}]`, false},
		"two versions overlap":       {`[{"name":"daka","version":3}]`, `[{"from":0,"to":4,"version":3},{"from":3,"to":4,"version":2}]`, false},
		"layers of another version":  {`[{"name":"daka","version":3}]`, `{"from":0,"to":4,"version":2}`, false},
		"more layers than the model": {`[{"name":"daka","version":3}]`, `{"from":0,"to":8,"version":3}`, false},
		"halves of two models": {
			`[{"name":"daka","version":3,"layers":[{"from":0,"to":2,"version":3}]},{"name":"other","version":3,"layers":[{"from":2,"to":4,"version":3}]}]`, `null`, false},
	} {
		t.Run(name, func(t *testing.T) {
			fs := newStartedState(time.Hour, 3)
			fs.applyTargetRecords(feed.Update{Records: []contract.Record{listingWith(c.models, c.layers)}})
			if got := fs.isPlaced(); got != c.want {
				t.Errorf("a request is sent = %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against answers from a part of the weights (WHOLE, inc2, H5): the process beside the engine has
// no manifest yet, which has the number of layers of the model.
func TestReportedEngineThatIsNotWholeGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for layers, want := range map[uint32]bool{1: false, 4: true, 8: false} {
			fs := newStartedState(time.Hour, 3)
			fs.applyTargetRecords(feed.Update{Records: []contract.Record{listingOf("x", 1)}})
			engine := contract.EngineStatus{Address: "x:1", Born: 1, Up: true, Version: 3, Layers: layers}
			fs.applyHeartbeat(contract.Heartbeat{Machine: "target-1", Engine: &engine})
			if got := fs.isPlaced(); got != want {
				t.Errorf("%d of 4 layers: a request is sent = %v, want %v", layers, got, want)
			}
		}
	})
}
