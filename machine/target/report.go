package target

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/machine/target/backend"
	"mimosastand.example/mimosastand/machine/target/coldstart"
	"mimosastand.example/mimosastand/machine/target/gate"
)

// plainBoot stands for the boot identity of a plain service, which names none.
const plainBoot = "plain"

// reportLoop reads the back end's reports.
func (p *Process) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	seq, missing := uint64(0), 0
	for missing < missingReports {
		seq++
		switch {
		case p.engine != nil:
			p.reportEngine(ctx)
		case p.reportPlain(ctx, seq):
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
	p.withoutReports()
}

// missingReports is how many answers without a report in a row show that a
// plain service gives none.
const missingReports = 3

// withoutReports lets the limit go by the settings and by what is in flight.
func (p *Process) withoutReports() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings.Limits.ReportsLoad = false
	p.stepLocked(gate.Configured{Settings: p.settings})
}

func (p *Process) reportEngine(ctx context.Context) {
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

// reportPlain reads the load of a plain service. It returns false if the service
// answered without a report.
func (p *Process) reportPlain(ctx context.Context, seq uint64) bool {
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
