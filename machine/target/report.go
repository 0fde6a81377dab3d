package target

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/machine/target/backend"
	"mimosastand.example/mimosastand/machine/target/coldstart"
	"mimosastand.example/mimosastand/machine/target/gate"
)

// plainBoot is the boot identity used for a plain service, which reports none.
const plainBoot = "plain"

// reportLoop reads the back end's reports until ctx ends, or until a plain service is
// found to give none.
func (p *Process) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	seq, missing := uint64(0), 0
	for missing < maxMissingReports {
		seq++
		switch {
		case p.engine != nil:
			p.readEngineReport(ctx)
		case p.readPlainReport(ctx, seq):
			missing = 0
		default:
			missing++
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	p.disableReports()
}

// maxMissingReports is the number of consecutive answers without a report after which a
// plain service is taken to give none.
const maxMissingReports = 3

// disableReports makes the limit depend on the settings and the work in flight only.
func (p *Process) disableReports() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings.Limits.ReportsLoad = false
	p.stepLocked(gate.Configured{Settings: p.settings})
}

func (p *Process) readEngineReport(ctx context.Context) {
	r, err := p.engine.Report(ctx)
	if err != nil {
		p.scope.Counter("report_failures").Inc(1)
		return
	}
	p.step(gate.Reported{Report: coldstart.Report{
		Boot: r.Boot, Seq: r.Seq, Digest: r.Digest, Warm: r.Warm,
		Running: r.Running, Limit: r.Limit, Age: r.Age(),
	}})
}

// readPlainReport reads the load of a plain service and passes it to the gate. It returns
// false if the service answered without a report.
func (p *Process) readPlainReport(ctx context.Context, seq uint64) bool {
	load, err := p.plain.Report(ctx)
	if errors.Is(err, backend.ErrNoReport) {
		return false
	}
	if err != nil {
		p.scope.Counter("report_failures").Inc(1)
		return true
	}
	p.step(gate.Reported{Report: coldstart.Report{
		Boot: plainBoot, Seq: seq, Warm: true, Running: load.Running, Limit: load.Limit,
	}})
	return true
}
