package fleet

import (
	"net/http"
	"strings"
	"testing"
)

// Guards against a false report of the soak (seed 1001): an engine that loaded weights while
// it drained listed itself as ready again.
func TestDrainingEngineStaysDrainingAfterLoad(t *testing.T) {
	store := NewStore()
	defer store.Close()
	e := &Engine{ID: "i", Service: ModelService, Model: Model, Slots: 1}
	if err := e.Start(store, 1); err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	e.Publish("draining")
	resp, err := http.Post("http://"+e.Address()+"/-/order", "application/json", strings.NewReader(`{"op":"start","version":2}`))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if listed := string(store.topic(TopicTargets).values["i"]); !strings.Contains(listed, `"draining"`) || e.Version() != 2 {
		t.Errorf("listed %s with version %d, want draining with version 2", listed, e.Version())
	}
}
