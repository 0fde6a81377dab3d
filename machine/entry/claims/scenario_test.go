package claims

import (
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"mimosastand.example/mimosastand/contract"
)

// TestScenarios runs whole sessions of several entries, a log and targets.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		w := newWorld()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			w.out.Reset()
			w.command(t, d)
			return w.out.String()
		})
		if len(w.faults) > 0 {
			t.Error(w.faults)
		}
	})
}

// command runs one line of a scenario.
func (w *world) command(t *testing.T, d *datadriven.TestData) {
	arg := func(name string) string {
		var s string
		d.MaybeScanArgs(t, name, &s)
		return s
	}
	e := w.entries[arg("entry")]
	request := contract.RequestID(arg("req"))
	switch d.Cmd {
	case "entry":
		w.addEntry(arg("name"))
	case "target":
		w.addTarget(arg("name"))
	case "claim":
		w.claim(arg("entry"), string(request), arg("key"), arg("body"))
	case "run":
		w.run(e, request, w.targets[arg("target")])
	case "begin":
		w.run(e, request, w.targets[arg("target")])
		w.targets[arg("target")].running[request] = true
	case "finish":
		delete(w.targets[arg("target")].running, request)
	case "resolve":
		outcomes := map[string]contract.Outcome{"done": contract.OutcomeDone, "not-run": contract.OutcomeNotRun, "unknown": contract.OutcomeUnknown}
		w.resolve(e, request, outcomes[arg("outcome")])
	case "give-up":
		w.on(e, func() { e.m.GiveUp(w.now(), request) })
	case "log":
		w.logMode = arg("mode")
	case "copy":
		var n int
		d.ScanArgs(t, "offset", &n)
		w.copyRecord(n)
	case "kill":
		if e != nil {
			e.dead = true
		} else {
			w.targets[arg("target")].dead = true
		}
	case "pause":
		e.paused = true
	case "resume":
		w.resume(e)
	case "retention":
		d.ScanArgs(t, "records", &w.retention)
	case "max-body":
		d.ScanArgs(t, "bytes", &w.maxBody)
	case "advance":
	default:
		d.Fatalf(t, "unknown command")
	}
	var duration string
	d.MaybeScanArgs(t, "for", &duration)
	if duration != "" {
		parsed, err := time.ParseDuration(duration)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		w.queue.RunFor(parsed)
	}
}

// copyRecord appends a copy of a record, as a late duplicate of an append does.
func (w *world) copyRecord(offset int) {
	w.log = append(w.log, LogRecord{Offset: contract.Offset(len(w.log) + 1), Time: w.now(), Data: w.log[offset-1].Data})
	w.printf("log %d: copy of %d", len(w.log), offset)
	for _, name := range w.names {
		w.deliver(w.entries[name])
	}
}
