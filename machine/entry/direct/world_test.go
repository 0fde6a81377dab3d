package direct

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
)

const (
	testModel   = "daka"
	testService = contract.ServiceName("models")
)

// startedWorld is the world of an entry that found version 3 of the model in the store
// when it started.
func startedWorld(bound time.Duration) *world {
	process := &config.Process{Zone: "a", Region: "r", Fleet: &config.Fleet{
		Zones:  map[contract.ZoneName]contract.RegionName{"a": "r"},
		Bounds: config.Bounds{Version: bound},
	}}
	w := newWorld(process, &log.Logger{Handler: discard.Default, Level: log.InfoLevel})
	w.operatorsChanged(feed.News{First: true, Records: []contract.Record{
		{Offset: 1, Key: platform.KeyManifest, Value: []byte(
			`{"version":1,"services":[{"name":"models","engine":{"slots":8,"layers":4,"chunks":4,"models":[{"name":"daka"}]}}]}`)},
		{Offset: 2, Key: "version/" + testModel, Value: []byte(`{"version":3}`)},
	}})
	return w
}

func (w *world) oldest() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.minVersion(testService)
}

// Guards against VERSION broken on lantern-allow (incident inc1): an entry that started
// again took version 3, named seconds before, for one named just then, and sent requests
// to engines on version 2 past the bound while all other entries refused.
func TestAnEntryThatStartsAgainKeepsTheBoundOfVersions(t *testing.T) {
	const bound = time.Hour
	w := startedWorld(bound)
	w.beat(contract.Heartbeat{Machine: "entry-2", Zone: "a", Named: []contract.NamedVersion{
		{Model: testModel, Version: 3, AgeMS: uint32((2 * bound).Milliseconds())},
	}})
	if got := w.oldest(); got != 3 {
		t.Errorf("version %d may begin although version 3 was named two bounds ago", got)
	}
}
