package fleet

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"

	"mimosastand.example/mimosastand/internal/explain"
	"mimosastand.example/mimosastand/internal/logs"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

// captureLogs directs the lines of all processes of a test to a buffer. The returned function ends that
// and returns the lines. The test may not be parallel, and calls it before it makes its rig.
func captureLogs(t *testing.T) (end func() []explain.Line) {
	t.Helper()
	logger := log.Log.(*log.Logger)
	handler, level := logger.Handler, logger.Level
	t.Cleanup(func() { logger.Handler, logger.Level = handler, level })
	var out bytes.Buffer
	bounded, err := logs.Setup(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	return func() []explain.Line {
		t.Helper()
		bounded.Close(time.Second)
		lines, err := explain.ReadLines(&out)
		if err != nil {
			t.Fatal(err)
		}
		return lines
	}
}

// Guards against answers whose load cannot be found (WHOLE, inc2): from the identifier of a request the logs
// of a fleet lead to the proof of the weights that answered it, and all its processes log the same digests
// of that version.
func TestLogsLeadFromRequestToLoad(t *testing.T) {
	endLogs := captureLogs(t)
	r := newRig(t)
	e, _ := r.startEntry("entry-1", r.store.Address())
	r.startTarget("target-1", r.engines[0])
	r.startTarget("target-2", r.engines[1])
	r.store.AnnounceVersion(2)
	r.eventually("both engines have version 2", func() bool {
		return r.engines[0].Version() == 2 && r.engines[1].Version() == 2
	})
	served := map[string]string{}
	r.eventually("both engines have served a request", func() bool {
		got := r.call(e, http.MethodPost, "/chat/x", "prompt", nil)
		if got.status == http.StatusOK {
			served[got.stamp] = got.id
		}
		return len(served) == len(r.engines)
	})
	time.Sleep(knownWithin)
	lines := endLogs()
	checkDigests(t, lines)
	for stamp, id := range served {
		checkExplanation(t, lines, stamp, id)
	}
}

// checkExplanation checks that the explanation of a request names the process that proved the weights on which
// its answer with a stamp was made.
func checkExplanation(t *testing.T, lines []explain.Line, stamp, id string) {
	t.Helper()
	var explanation strings.Builder
	if err := explain.Request(&explanation, lines, id); err != nil {
		t.Fatal(err)
	}
	t.Log(explanation.String())
	process := "target-1"
	if strings.Contains(stamp, "i-m1") {
		process = "target-2"
	}
	if want := process + " had proved " + standins.Model + ".2 of that engine"; !strings.Contains(explanation.String(), want) {
		t.Errorf("the explanation of the request with stamp %q does not say %q", stamp, want)
	}
}

// checkDigests checks that all lines about the load of version 2 have the same digests.
func checkDigests(t *testing.T, lines []explain.Line) {
	t.Helper()
	var first explain.Line
	for message, want := range map[string]int{"weights whole": 1, "pieces received": 2, "load order accepted": 2, "loaded weights proved": 2} {
		found := 0
		for _, l := range lines {
			if l.Message != message || l.Fields["version"] != standins.Model+".2" {
				continue
			}
			found++
			if first.Fields == nil {
				first = l
			}
			if digests := l.Fields["digests"]; digests == "" || digests != first.Fields["digests"] {
				t.Errorf("%s logged %q with the digests %q, %s logged %q", l.Machine, message, digests, first.Machine, first.Fields["digests"])
			}
			if message == "pieces received" && l.Fields["entry"] != "entry-1" {
				t.Errorf("line %q of %s with %v, want the entry that sent the pieces", message, l.Machine, l.Fields)
			}
		}
		if found < want {
			t.Errorf("%d lines %q about version 2, want %d", found, message, want)
		}
	}
}
