package direct

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/internal/explain"
	"mimosastand.example/mimosastand/internal/logs"
	"mimosastand.example/mimosastand/platform"
)

// unsoundWeightsPage is the page that names the lines about a load, with an example of one with a bad
// piece.
const unsoundWeightsPage = "../../../docs/operations/unsound-weights.md"

// captureLines returns the lines that are logged while f runs. It may not be used by parallel tests.
func captureLines(t *testing.T, f func()) []explain.Line {
	t.Helper()
	logger := log.Log.(*log.Logger)
	handler, level := logger.Handler, logger.Level
	defer func() { logger.Handler, logger.Level = handler, level }()
	var out bytes.Buffer
	bounded, err := logs.Setup(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	f()
	bounded.Close(time.Second)
	t.Log("\n" + out.String())
	lines, err := explain.ReadLines(&out)
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

// findLine returns the index of the first line from i on that has the message and the fields of
// want; -1 if there is none. A value of want that ends in "*" matches every value that begins so.
func findLine(lines []explain.Line, i int, message string, want map[string]string) int {
	for ; i < len(lines); i++ {
		if lines[i].Message == message && hasFields(lines[i], want) {
			return i
		}
	}
	return -1
}

func hasFields(l explain.Line, want map[string]string) bool {
	for name, value := range want {
		got, ok := l.Fields[name]
		prefix, isPrefix := strings.CutSuffix(value, "*")
		if !ok || got != value && !(isPrefix && strings.HasPrefix(got, prefix)) {
			return false
		}
	}
	return true
}

// loadWithBadPiece returns the lines of a process beside an engine that accepts the order to load
// version 2 after piece 3 has turned bad.
func loadWithBadPiece(t *testing.T) []explain.Line {
	return captureLines(t, func() {
		e := newLoadingEngine(t)
		target := newTargetOf(t, e)
		target.reconciler.reconcile(t.Context())
		e.onOrder = func(n int) {
			if n == 1 {
				e.setStaged(3, []byte("bad"))
			}
		}
		announce(t, target, 2)
		reconcileUntil(t, target, e, 2)
	})
}

// Guards against loads that the logs do not show (inc2): the lines of a load with a bad piece come
// in this order and name the load, the digests and the piece.
func TestLinesOfLoadWithBadPiece(t *testing.T) {
	digests := newCandidate(t, 2).set.Fingerprint()
	lines := loadWithBadPiece(t)
	i := 0
	for _, want := range []struct {
		message string
		fields  map[string]string
	}{
		{"engine changed", map[string]string{"first": "true", "proved": "true", "address": "127.0.0.1:*", "born": "1", "orders": "0", "version": "1"}},
		{"pieces staged", map[string]string{"version": "m.2", "pieces": "8", "born": "1", "orders": "0", "ms": "*"}},
		{"load order accepted", map[string]string{"version": "m.2", "born": "1", "orders": "0", "verified_ms": "*", "ms": "*", "digests": digests}},
		{"engine changed", map[string]string{"first": "false", "proved": "false", "born": "1", "orders": "1", "version": "2"}},
		{"loaded weights are not sound; the engine gets no requests", map[string]string{
			"version": "m.2", "born": "1", "orders": "1", "pieces": "8", "digests": digests, "ms": "*", "error": "piece 3 has 3 bytes and the digest *",
		}},
		{"staged piece unreadable or corrupt; staging it again", map[string]string{
			"version": "m.2", "born": "1", "orders": "1", "piece": "3", "error": "piece 3 has 3 bytes and the digest *",
		}},
		{"unsound weights given up", map[string]string{"version": "m.2", "born": "1", "orders": "1"}},
		{"load order accepted", map[string]string{"version": "m.2", "born": "1", "orders": "2"}},
		{"loaded weights proved", map[string]string{"version": "m.2", "born": "1", "orders": "3", "pieces": "8", "digests": digests, "ms": "*"}},
	} {
		found := findLine(lines, i, want.message, want.fields)
		if found < 0 {
			t.Fatalf("no line %q with %v after line %d", want.message, want.fields, i)
		}
		i = found + 1
	}
}

// TestPageShowsLinesOfLoadWithBadPiece checks that the lines of the example on the page come in the
// same order in such a load, with the same fields.
func TestPageShowsLinesOfLoadWithBadPiece(t *testing.T) {
	page, err := os.ReadFile(unsoundWeightsPage)
	if err != nil {
		t.Fatal(err)
	}
	example, err := explain.ReadLines(bytes.NewReader(page))
	if err != nil {
		t.Fatal(err)
	}
	if len(example) < 9 {
		t.Fatalf("the page has an example of %d lines, want those of a whole load", len(example))
	}
	lines := loadWithBadPiece(t)
	i := 0
	for _, want := range example {
		fields := map[string]string{}
		for name := range want.Fields {
			fields[name] = "*"
		}
		for _, name := range []string{"born", "orders", "version", "result", "piece"} {
			if value, ok := want.Fields[name]; ok {
				fields[name] = value
			}
		}
		found := findLine(lines, i, want.Message, fields)
		if found < 0 {
			t.Fatalf("no line %q with the fields %v after line %d", want.Message, want.Fields, i)
		}
		// The place in the code, which some errors have, is not on the page.
		delete(lines[found].Fields, "source")
		if len(lines[found].Fields) != len(want.Fields) {
			t.Errorf("line %q has the fields %v, the page shows %v", want.Message, lines[found].Fields, want.Fields)
		}
		i = found + 1
	}
}

// Guards against calls that may still take effect and look like refused ones (inc2, H2), and against a
// bad piece that does not tell that it is one of another version.
func TestLinesTellEffectOfFailedCalls(t *testing.T) {
	for name, c := range map[string]struct {
		hook    func(t *testing.T, e *loadingEngine)
		message string
		fields  map[string]string
	}{
		"order without an answer": {func(_ *testing.T, e *loadingEngine) {
			e.onOrder = func(n int) {
				if n == 1 {
					time.Sleep(platform.OrderTimeout + 200*time.Millisecond)
				}
			}
		}, "load order failed", map[string]string{"result": "uncertain", "version": "m.2", "born": "1", "orders": "0", "ms": "1*"}},
		// Another order is accepted first, which leaves version 1 as it is.
		"order refused": {func(_ *testing.T, e *loadingEngine) {
			e.onOrder = func(n int) {
				if n == 1 {
					e.mu.Lock()
					e.orders++
					e.mu.Unlock()
				}
			}
		}, "load order failed", map[string]string{"result": "conflict", "version": "m.2", "born": "1", "orders": "0"}},
		"write without an answer": {func(_ *testing.T, e *loadingEngine) {
			e.onPut = func(n, _ int) {
				if n == 3 {
					time.Sleep(stallTime)
				}
			}
		}, "staging piece failed", map[string]string{"result": "uncertain", "version": "m.2", "born": "1", "orders": "0", "piece": "2"}},
		"order to give up weights refused": {func(_ *testing.T, e *loadingEngine) {
			e.onOrder = func(n int) {
				switch n {
				case 1:
					e.setStaged(3, []byte("bad"))
				case 2:
					e.mu.Lock()
					e.accept(2, testLayers)
					e.mu.Unlock()
				}
			}
		}, "unsound weights not given up", map[string]string{"result": "conflict", "version": "m.2", "born": "1", "orders": "1"}},
		"write of a bad piece without an answer": {func(_ *testing.T, e *loadingEngine) {
			e.onOrder = func(n int) {
				if n == 1 {
					e.setStaged(3, []byte("bad"))
				}
			}
			e.onPut = func(n, _ int) {
				if n == stagedPieces+1 {
					time.Sleep(stallTime)
				}
			}
		}, "staged piece could not be verified; load order postponed", map[string]string{
			"version": "m.2", "born": "1", "orders": "1", "piece": "3", "error": "staging it again: uncertain*",
		}},
		"piece of another version": {func(t *testing.T, e *loadingEngine) {
			e.onOrder = func(n int) {
				if n == 1 {
					e.setStaged(3, versionPiece(2, 3))
				}
			}
		}, "loaded weights are not sound; the engine gets no requests", map[string]string{"version": "m.3", "error": "piece 3 has *"}},
	} {
		t.Run(name, func(t *testing.T) {
			lines := captureLines(t, func() {
				e := newLoadingEngine(t)
				target := newTargetOf(t, e)
				target.reconciler.reconcile(t.Context())
				c.hook(t, e)
				announce(t, target, 2)
				version := int64(2)
				if c.fields["version"] == "m.3" {
					version = 3
					announce(t, target, version)
				}
				reconcileUntil(t, target, e, version)
			})
			i := findLine(lines, 0, c.message, c.fields)
			if i < 0 {
				t.Fatalf("no line %q with %v", c.message, c.fields)
			}
			if text := lines[i].Fields["error"]; c.fields["version"] == "m.3" && !strings.Contains(text, "of version m.2") {
				t.Errorf("error %q does not tell that the piece is of version m.2", text)
			}
		})
	}
}

// TestCallResultTellsEffect checks which errors of calls to the engine mean that the call may still take
// effect.
func TestCallResultTellsEffect(t *testing.T) {
	for want, err := range map[string]error{
		"uncertain": platform.ErrUncertain, "unavailable": platform.ErrUnavailable, "conflict": platform.ErrConflict, "refused": platform.ErrFormat,
	} {
		if got := callResult(err); got != want {
			t.Errorf("callResult(%v) = %q, want %q", err, got, want)
		}
	}
}

// Guards against a bad piece that no line names, since pieces were staged meanwhile (inc2): such a proof
// names what was read all the same.
func TestProofAfterStagingTellsWhatWasRead(t *testing.T) {
	for name, c := range map[string]struct {
		piece []byte
		want  string
	}{
		"sound":     {versionPiece(2, 3), "sound"},
		"bad piece": {[]byte("bad"), "piece 3 has 3 bytes and the digest *"},
	} {
		lines := captureLines(t, func() {
			e := newLoadingEngine(t)
			r, candidate := newOrderingReconciler(t, e, &testClock{})
			e.setStaged(3, c.piece)
			r.proveCandidate(t.Context(), weightsState{born: 1, orders: 1, version: 2}, candidate)
		})
		want := map[string]string{"read": c.want, "error": errStagedSince.Error()}
		if findLine(lines, 0, "loaded weights are not sound; the engine gets no requests", want) < 0 {
			t.Errorf("%s: no line of a proof with %v", name, want)
		}
	}
}

// Guards against pieces that are staged again and not counted (inc2).
func TestPiecesStagedAgainAreCounted(t *testing.T) {
	e := newLoadingEngine(t)
	r, c := newOrderingReconciler(t, e, &testClock{})
	scope := tally.NewTestScope("", nil)
	r.target.meters = newMeters(scope)
	e.setStaged(3, []byte("bad"))
	e.setStaged(5, []byte("bad"))
	if !r.verifyAllStaged(t.Context(), c, r.log) {
		t.Fatal("the pieces could not be verified")
	}
	counter := scope.Snapshot().Counters()["target.pieces_restaged+result=ok"]
	if counter == nil || counter.Value() != 2 {
		t.Errorf("pieces_restaged = %v, want 2 pieces", counter)
	}
}
