package claims

import (
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"mimosastand.example/mimosastand/contract"
)

// TestScenarios runs the sessions in testdata with several entries, a log and targets.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newSimCluster()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.out.Reset()
			s.command(t, d)
			return s.out.String()
		})
		if len(s.violations) > 0 {
			t.Error(s.violations)
		}
	})
}

// command executes one command of a scenario.
func (s *simCluster) command(t *testing.T, d *datadriven.TestData) {
	arg := func(name string) string {
		var value string
		d.MaybeScanArgs(t, name, &value)
		return value
	}
	e := s.entries[arg("entry")]
	request := contract.RequestID(arg("req"))
	switch d.Cmd {
	case "entry":
		s.addEntry(arg("name"))
	case "target":
		s.addTarget(arg("name"))
	case "claim":
		s.claim(arg("entry"), string(request), arg("key"), arg("body"))
	case "run":
		s.sendAttempt(e, request, s.targets[arg("target")])
	case "begin":
		s.sendAttempt(e, request, s.targets[arg("target")])
		s.targets[arg("target")].running[request] = true
	case "finish":
		delete(s.targets[arg("target")].running, request)
	case "resolve":
		outcomes := map[string]contract.Outcome{"done": contract.OutcomeDone, "not-run": contract.OutcomeNotRun, "unknown": contract.OutcomeUnknown}
		s.resolve(e, request, outcomes[arg("outcome")])
	case "give-up":
		s.runStep(e, func() { e.machine.GiveUp(s.now(), request) })
	case "log":
		s.logMode = arg("mode")
	case "copy":
		var n int
		d.ScanArgs(t, "offset", &n)
		s.copyRecord(n)
	case "kill":
		if e != nil {
			e.dead = true
		} else {
			s.targets[arg("target")].dead = true
		}
	case "pause":
		e.paused = true
	case "resume":
		s.resume(e)
	case "retention":
		d.ScanArgs(t, "records", &s.retention)
	case "max-body":
		d.ScanArgs(t, "bytes", &s.maxBody)
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
		s.queue.RunFor(parsed)
	}
}

// copyRecord appends a copy of a record, as a late duplicate of an append does.
func (s *simCluster) copyRecord(offset int) {
	s.log = append(s.log, LogRecord{Offset: contract.Offset(len(s.log) + 1), Time: s.now(), Data: s.log[offset-1].Data})
	s.printf("log %d: copy of %d", len(s.log), offset)
	for _, name := range s.entryNames {
		s.deliverRecords(s.entries[name])
	}
}
